#include "main/entry_node.hpp"

namespace cowslippass
{

std::optional<pool_summary> entry_node::summarize(const pool_id& pool) const
{
    auto runner = find_runner(pool);
    bool is_owner =
        peers_.find_owner(pool, config_.data_centre) == node_.session;
    if (!runner || !is_owner)
        return std::nullopt;
    const placement_system& placement = runner->get_placement();
    pool_summary out;
    out.pool = pool;
    out.free_slots = placement.count_free_slots();
    out.waiting = placement.count_waiting(queue_kind::urgent);
    out.targets = runner->count_targets();
    return out;
}

std::map<team_id, std::uint32_t> entry_node::count_waiting() const
{
    std::map<team_id, std::uint32_t> out;
    for (const auto& [pool, runner] : runners_)
        for (const auto& [id, team] : node_.state.get_teams())
        {
            std::uint32_t n = runner->get_placement().count_waiting(id);
            if (n > 0)
                out[id] += n;
        }
    return out;
}

std::vector<pool_summary> entry_node::summarize_own_pools() const
{
    std::vector<pool_summary> out;
    for (const auto& [pool, runner] : runners_)
        if (auto it = summarize(pool))
            out.push_back(*it);
    return out;
}

peer_summary entry_node::make_summary(bool is_local) const
{
    peer_summary out;
    out.session = node_.session;
    out.version = node_.state.get_version();
    out.freshness_age = node_.get_freshness_age();
    out.is_platform_reachable = table_.is_reachable();
    out.has_unresolved_change = node_.has_unresolved_change;
    out.is_leaving = node_.is_leaving;
    out.is_admitted = node_.is_admitted();
    // Local peers hear of each pool from its owner; remote ones talk to two
    // entries only, which speak for their whole data centre.
    out.pools = is_local ? summarize_own_pools() : router_.summarize_pools();
    auto waiting = count_waiting();
    for (const auto& [id, team] : node_.state.get_teams())
    {
        team_summary it;
        it.team = id;
        if (waiting.contains(id))
            it.waiting = waiting.at(id);
        if (node_.session.get() != 0)
        {
            it.running = grants_.get_ledger().get_in_use(id).get();
            it.granted = grants_.get_ledger().get_held(id).get();
        }
        // 72 teams make most of a summary, and most of them are idle.
        if (it.waiting + it.running + it.granted > 0)
            out.teams.push_back(std::move(it));
    }
    if (is_local)
        leaving_.describe(out);
    return out;
}

http_response entry_node::report_readiness() const
{
    if (node_.is_leaving)
        return {503, {}, "leaving\n"};
    if (node_.session.get() == 0)
        return {503, {}, "not registered yet\n"};
    return {200, {}, "ready\n"};
}

http_response entry_node::report_metrics()
{
    node_.metrics.set("cowslippass_config_version",
        static_cast<double>(node_.state.get_version().get()));
    node_.metrics.set("cowslippass_waiting_bytes",
        static_cast<double>(node_.waiting.get_bytes().get()));
    auto age = node_.get_freshness_age();
    if (age)
        node_.metrics.set("cowslippass_freshness_age_seconds",
            static_cast<double>(age->count()) / 1000);
    for (const auto& [pool, runner] : runners_)
    {
        const auto& placement = runner->get_placement();
        node_.metrics.set("cowslippass_free_slots",
            placement.count_free_slots(), {{"pool", pool.get()}});
    }
    std::map<queue_id, std::uint32_t> waiting;
    for (const auto& [pool, runner] : runners_)
        for (const auto& it : runner->list_tasks())
            waiting[it.queue] += it.target.get().empty();
    for (const auto& [id, queue] : node_.state.get_queues())
        node_.metrics.set(
            "cowslippass_waiting_tasks", waiting[id], {{"queue", id.get()}});
    node_.metrics.set("cowslippass_peer_connections",
        static_cast<double>(peers_.count_connections()));
    if (node_.session.get() != 0)
        for (const auto& [id, team] : node_.state.get_teams())
        {
            const auto& ledger = grants_.get_ledger();
            node_.metrics.set("cowslippass_granted_tasks",
                ledger.get_held(id).get(), {{"team", id.get()}});
            node_.metrics.set("cowslippass_running_tasks",
                ledger.get_in_use(id).get(), {{"team", id.get()}});
        }
    http_response out;
    out.headers["Content-Type"] = "text/plain; version=0.0.4";
    out.body = node_.metrics.format();
    return out;
}

} // namespace cowslippass
