#include "systems/routing.hpp"

#include <array>

namespace cowslippass
{

namespace
{

bool can_serve(const route_candidate& it)
{
    return it.is_in_service && it.has_owner && it.targets > 0;
}

/// @return free slots less waiting tasks; negative under a backlog.
std::int64_t get_spare_slots(const route_candidate& it)
{
    return std::int64_t(it.free_slots) - std::int64_t(it.waiting);
}

} // namespace

std::string get_name(route_rule rule)
{
    static constexpr std::array<const char*, 4> names{
        "local", "remote_free", "remote_only", "no_target"};
    return names[static_cast<std::size_t>(rule)];
}

route choose_route(const std::vector<route_candidate>& candidates)
{
    route out;
    const route_candidate* local = nullptr;
    const route_candidate* remote = nullptr;
    for (const auto& it : candidates)
    {
        if (!can_serve(it))
            continue;
        ++out.candidates;
        if (it.is_local)
        {
            local = &it;
            continue;
        }
        bool is_better = !remote ||
                         get_spare_slots(it) > get_spare_slots(*remote) ||
                         (get_spare_slots(it) == get_spare_slots(*remote) &&
                             it.data_centre < remote->data_centre);
        if (is_better)
            remote = &it;
    }
    if (!local && !remote)
        return out;
    if (!local)
    {
        out.rule = route_rule::remote_only;
        out.data_centre = remote->data_centre;
        return out;
    }
    bool is_remote_free = remote && remote->is_known &&
                          local->free_slots == 0 && local->waiting > 0 &&
                          get_spare_slots(*remote) > 0;
    out.rule = is_remote_free ? route_rule::remote_free : route_rule::local;
    out.data_centre = is_remote_free ? remote->data_centre : local->data_centre;
    return out;
}

} // namespace cowslippass
