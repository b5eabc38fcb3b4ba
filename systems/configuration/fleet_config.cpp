#include "systems/configuration/fleet_config.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

template <class Id, class Value>
const Value* find_or_null(const std::map<Id, Value>& table, const Id& id)
{
    auto it = table.find(id);
    return it == table.end() ? nullptr : &it->second;
}

} // namespace

const queue_config* fleet_config::find_queue(const queue_id& queue) const
{
    return find_or_null(queues, queue);
}

const pool_config* fleet_config::find_pool(const pool_id& pool) const
{
    return find_or_null(pools, pool);
}

const team_config* fleet_config::find_team(const team_id& team) const
{
    return find_or_null(teams, team);
}

const queue_config* fleet_config::find_queue_by_route(
    std::string_view host, std::string_view path) const
{
    const queue_config* out = nullptr;
    for (const auto& [id, it] : queues)
        if (it.host == host && path.starts_with(it.path_prefix) &&
            (!out || it.path_prefix.size() > out->path_prefix.size()))
            out = &it;
    return out;
}

const team_config* fleet_config::find_team_by_key(std::string_view key) const
{
    const team_config* out = nullptr;
    // The loop has no early exit: the running time must not tell which key
    // matched.
    for (const auto& [id, it] : teams)
        for (const std::string& candidate : it.keys)
            if (is_equal_constant_time(candidate, key))
                out = &it;
    return out;
}

std::optional<pool_id> fleet_config::find_standby_pool() const
{
    auto it = std::ranges::find_if(
        pools, [](const auto& pool) { return pool.second.is_standby; });
    if (it == pools.end())
        return std::nullopt;
    return it->first;
}

} // namespace cowslippass
