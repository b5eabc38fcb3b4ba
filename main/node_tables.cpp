#include "main/node_tables.hpp"

namespace cowslippass
{

query_table list_tasks(const node_context& node, const runner_map& runners)
{
    query_table out;
    out.name = "tasks";
    out.columns = {"task", "team", "queue", "request", "pool", "data_centre",
        "target", "state", "entry"};
    for (const auto& [pool, runner] : runners)
        for (const auto& it : runner->list_tasks())
        {
            bool is_waiting = it.target.get().empty();
            out.rows.push_back({make_cell(it.task), make_cell(it.team),
                make_cell(it.queue), make_cell(it.request), make_cell(pool),
                make_cell(node.config.data_centre), make_cell(it.target),
                query_cell(std::string(is_waiting ? "waiting" : "running")),
                make_cell(node.config.entry)});
        }
    return out;
}

query_table list_targets(const node_context& node, const runner_map& runners)
{
    query_table out;
    out.name = "targets";
    out.columns = {"target", "pool", "data_centre", "slots", "free_slots",
        "answering", "entry"};
    for (const auto& [pool, runner] : runners)
    {
        if (!runner->is_owned())
            continue;
        for (const auto& it : runner->list_targets())
            out.rows.push_back({make_cell(it.id), make_cell(pool),
                make_cell(node.config.data_centre),
                make_cell(std::uint64_t(it.slots)),
                make_cell(std::uint64_t(it.free_slots)),
                query_cell(it.is_answering), make_cell(node.config.entry)});
    }
    return out;
}

query_row make_entry_row(const node_context& node, session_id session,
    const std::string& state, const std::string& pools)
{
    const session_started_record& it =
        node.state.get_sessions().at(session).started;
    return {make_cell(it.entry), make_cell(session), make_cell(it.data_centre),
        it.http_address, it.peer_address, state, pools};
}

query_table list_own_entry(const node_context& node, const runner_map& runners)
{
    query_table out{"entries",
        {"entry", "session", "data_centre", "http_address", "peer_address",
            "state", "pools"},
        {}};
    std::string pools;
    for (const auto& [pool, runner] : runners)
        if (runner->is_owned())
            pools += (pools.empty() ? "" : ",") + pool.get();
    if (node.state.get_sessions().contains(node.session))
        out.rows.push_back(make_entry_row(
            node, node.session, node.is_leaving ? "leaving" : "live", pools));
    return out;
}

query_table list_grants(const node_context& node, const grant_keeper& grants)
{
    query_table out;
    out.name = "grants";
    out.columns = {"team", "limit", "held", "usable", "in_use", "session",
        "entry", "data_centre"};
    const grant_ledger& ledger = grants.get_ledger();
    for (const auto& [id, team] : node.state.get_teams())
        out.rows.push_back({make_cell(id), make_cell(team.limit),
            make_cell(ledger.get_held(id)), make_cell(ledger.get_usable(id)),
            make_cell(ledger.get_in_use(id)), make_cell(node.session),
            make_cell(node.config.entry), make_cell(node.config.data_centre)});
    return out;
}

} // namespace cowslippass
