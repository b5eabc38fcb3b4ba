#include "systems/fleet_tables.hpp"

namespace cowslippass
{

namespace
{

query_table make_teams(const fleet_state& state)
{
    query_table out{"teams", {"team", "share", "limit"}, {}};
    for (const auto& [id, it] : state.get_teams())
        out.rows.push_back(
            {make_cell(id), make_cell(it.share), make_cell(it.limit)});
    return out;
}

query_table make_keys(const fleet_state& state)
{
    query_table out{"keys", {"key", "team"}, {}};
    for (const auto& [id, it] : state.get_keys())
        out.rows.push_back({make_cell(id), make_cell(it.team)});
    return out;
}

query_table make_operators(const fleet_state& state)
{
    query_table out{"operators", {"operator"}, {}};
    for (const auto& [id, it] : state.get_operators())
        out.rows.push_back({make_cell(id)});
    return out;
}

struct instance_counts
{
    std::uint64_t all = 0;
    std::uint64_t available = 0;
};

/// Counts in one pass, as a pass for each pool or data centre would be slow
/// with thousands of instances.
template <class Id, class GetGroup>
std::map<Id, instance_counts> count_instances(
    const fleet_state& state, GetGroup get_group)
{
    std::map<Id, instance_counts> out;
    for (const auto& [id, it] : state.get_instances())
    {
        instance_counts& counts = out[get_group(it)];
        ++counts.all;
        counts.available += state.is_available(it);
    }
    return out;
}

query_table make_pools(const fleet_state& state)
{
    auto counts = count_instances<pool_id>(
        state, [](const instance_row& it) { return it.pool; });
    query_table out{"pools",
        {"pool", "max_unavailable", "unavailable", "instances", "spare"}, {}};
    for (const auto& [id, it] : state.get_pools())
    {
        instance_counts n = counts[id];
        out.rows.push_back({make_cell(id), make_cell(it.max_unavailable),
            make_cell(n.all - n.available), make_cell(n.all), it.is_spare});
    }
    return out;
}

query_table make_queues(const fleet_state& state)
{
    query_table out{
        "queues", {"queue", "pool", "kind", "idempotent", "open", "team"}, {}};
    for (const auto& [id, it] : state.get_queues())
        out.rows.push_back({make_cell(id), make_cell(it.pool),
            get_name(it.kind), it.is_idempotent, it.is_open,
            make_cell(it.team.value_or(team_id()))});
    return out;
}

query_table make_data_centres(const fleet_state& state)
{
    auto counts = count_instances<data_centre_id>(state,
        [](const instance_row& it) { return it.description.data_centre; });
    query_table out{"data-centres",
        {"data_centre", "in_service", "instances", "available"}, {}};
    for (const auto& [id, it] : state.get_data_centres())
        out.rows.push_back({make_cell(id), it.is_in_service,
            make_cell(counts[id].all), make_cell(counts[id].available)});
    return out;
}

query_table make_instances(const fleet_state& state)
{
    query_table out{"instances",
        {"instance", "data_centre", "rack", "address", "pool", "state", "slots",
            "memory", "epoch", "maintained_pass", "for_maintenance"},
        {}};
    for (const auto& [id, it] : state.get_instances())
        out.rows.push_back(
            {make_cell(id), make_cell(it.description.data_centre),
                make_cell(it.description.rack), it.description.address,
                make_cell(it.pool), get_name(it.state),
                make_cell(it.description.slots),
                make_cell(it.description.memory), make_cell(it.epoch),
                make_cell(it.maintained_pass), it.is_for_maintenance});
    return out;
}

query_table make_sessions(const fleet_state& state)
{
    query_table out{"sessions",
        {"session", "entry", "data_centre", "http_address", "peer_address",
            "started_at"},
        {}};
    for (const auto& [id, it] : state.get_sessions())
        out.rows.push_back({make_cell(id), make_cell(it.started.entry),
            make_cell(it.started.data_centre), it.started.http_address,
            it.started.peer_address, make_cell(it.started_at)});
    return out;
}

} // namespace

const std::map<std::string, fleet_table_maker>& get_fleet_tables()
{
    static const std::map<std::string, fleet_table_maker> tables{
        {"teams", make_teams},
        {"keys", make_keys},
        {"operators", make_operators},
        {"pools", make_pools},
        {"queues", make_queues},
        {"data-centres", make_data_centres},
        {"instances", make_instances},
        {"sessions", make_sessions},
    };
    return tables;
}

} // namespace cowslippass
