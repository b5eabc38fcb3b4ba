#include "systems/spare_exchange.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

bool is_lost(const member_view* member)
{
    return member->state == instance_state::failed &&
           member->report == instance_report::lost;
}

/// @return members that an exchange would bring below the budget again.
std::uint32_t get_need(const pool_view& pool)
{
    if (pool.is_spare() || pool.get_excess() == 0)
        return 0;
    auto lost = std::ranges::count_if(pool.members, is_lost);
    return std::min(pool.get_excess(), static_cast<std::uint32_t>(lost));
}

} // namespace

member_view* spare_exchange::find_most_needed(const data_centre_id& near)
{
    pool_view* most = nullptr;
    double most_share = 0;
    for (auto& [id, pool] : view_.get_pools())
    {
        std::uint32_t need = get_need(pool);
        double share = need == 0 ? 0.0
                                 : static_cast<double>(need) /
                                       static_cast<double>(pool.members.size());
        if (share <= most_share)
            continue;
        most = &pool;
        most_share = share;
    }
    if (!most)
        return nullptr;
    auto is_near = [&](const member_view* it)
    { return is_lost(it) && it->get_data_centre() == near; };
    auto found = std::ranges::find_if(most->members, is_near);
    if (found == most->members.end())
        found = std::ranges::find_if(most->members, is_lost);
    return *found;
}

bool spare_exchange::try_replace_lost(member_view& drained)
{
    // An instance in a data centre that is out would not serve either.
    bool is_usable = drained.pool->is_spare() && !drained.is_data_centre_out;
    member_view* lost =
        is_usable ? find_most_needed(drained.get_data_centre()) : nullptr;
    if (!lost)
        return false;
    const pool_id& spare = drained.row->pool;
    out_.push_back({*drained.id, spare, maintenance_step::exchange,
        "budget_exceeded_by_lost_instances",
        {instance_moved_record{*drained.id, lost->row->pool},
            instance_moved_record{*lost->id, spare},
            // A move puts an instance in service.
            instance_state_record{
                *lost->id, instance_state::failed, {}, false}}});
    view_.exchange(drained, *lost);
    return true;
}

std::uint32_t spare_exchange::count_needed()
{
    std::uint32_t n = 0;
    for (const auto& [id, pool] : view_.get_pools())
        n += get_need(pool);
    return n;
}

std::uint32_t spare_exchange::count_draining()
{
    return static_cast<std::uint32_t>(std::ranges::count_if(view_.get_members(),
        [&](const member_view& it)
        {
            return it.is_planned_drain() && !it.is_data_centre_out &&
                   it.pool->is_spare();
        }));
}

member_view* spare_exchange::find_spare()
{
    member_view* best = nullptr;
    for (auto& [id, pool] : view_.get_pools())
    {
        if (!pool.is_spare())
            continue;
        for (member_view* it : pool.members)
        {
            bool is_usable = it->state == instance_state::in_service &&
                             !it->is_decided && !it->is_data_centre_out &&
                             pool.can_take_out(*it, pool.get_budget());
            // An instance that is not due need not be drained again soon.
            if (is_usable && (!best || (best->is_due && !it->is_due)))
                best = it;
        }
    }
    return best;
}

void spare_exchange::start_drains()
{
    std::uint32_t needed = count_needed();
    std::uint32_t draining = needed == 0 ? 0 : count_draining();
    for (; draining < needed; ++draining)
    {
        member_view* it = find_spare();
        if (!it)
            return;
        out_.push_back(
            make_decision(*it, maintenance_step::drain, "spare_needed"));
        view_.set_state(*it, instance_state::draining);
    }
}

} // namespace cowslippass
