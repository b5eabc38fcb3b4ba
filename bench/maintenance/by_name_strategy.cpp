#include "bench/maintenance/by_name_strategy.hpp"

#include "systems/maintenance_view.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

std::optional<maintenance_decision> finish_step(
    const member_view& it, std::uint32_t pass)
{
    bool is_ready = it.report == instance_report::ready;
    if (it.state == instance_state::rebooting && is_ready)
        return make_decision(it, maintenance_step::restore, "pass_done", pass);
    if (it.state == instance_state::failed && is_ready)
        return make_decision(it, maintenance_step::restore, "recovered");
    if (it.is_planned_drain() && it.report == instance_report::idle)
        return make_decision(it, maintenance_step::reboot, "pass_due");
    return std::nullopt;
}

instance_state get_state_after(const maintenance_decision& decision)
{
    return decision.step == maintenance_step::reboot
               ? instance_state::rebooting
               : instance_state::in_service;
}

} // namespace

by_name_strategy::by_name_strategy(std::uint32_t most_at_once)
    : most_at_once_(most_at_once)
{
}

std::vector<maintenance_decision> by_name_strategy::plan(
    const maintenance_input& input) const
{
    if (!input.is_fresh)
        return {};
    std::vector<maintenance_decision> out;
    maintenance_view view(input);
    for (member_view& it : view.get_members())
    {
        auto decision = finish_step(it, view.get_pass());
        if (!decision)
            continue;
        view.set_state(it, get_state_after(*decision));
        out.push_back(std::move(*decision));
    }
    auto under_way = std::ranges::count_if(
        view.get_members(), &member_view::is_in_maintenance);
    for (member_view& it : view.get_members())
    {
        if (under_way >= most_at_once_)
            break;
        const pool_view& pool = *it.pool;
        bool is_startable = it.is_due && !it.is_decided &&
                            it.state == instance_state::in_service &&
                            pool.can_take_out(it, pool.get_budget());
        if (!is_startable)
            continue;
        out.push_back(
            make_decision(it, maintenance_step::drain, "next_by_name"));
        view.set_state(it, instance_state::draining);
        ++under_way;
    }
    return out;
}

} // namespace cowslippass
