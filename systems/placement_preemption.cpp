#include "systems/placement_system.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Urgent tasks wait this long before they preempt slow tasks. In most cases a
/// task ends sooner and frees a slot.
constexpr milliseconds preempt_after{20};

/// Running tasks of a team that are examined in the search for a victim that
/// frees enough memory.
constexpr std::uint32_t max_victims_examined = 16;

} // namespace

void placement_system::preempt(context& ctx)
{
    if (count_waiting(queue_kind::urgent) == 0 && slots_being_freed_ == 0)
        return;
    reserve_grants(ctx);
    std::uint32_t needed = count_needed_slots(ctx.now);
    while (slots_being_freed_ > needed &&
           !(throttled_.empty() && checkpointing_.empty()))
        resume_victim(ctx);
    advance_preemptions(ctx);
    if (slots_being_freed_ >= needed)
        return;
    ranked_teams victims =
        rank_teams([](const team_row& team) { return !team.victims.empty(); });
    std::reverse(victims.begin(), victims.end());
    if (victims.empty())
        return;
    ranked_teams urgent = rank_teams([](const team_row& team)
        { return !team.get_queue(task_class::urgent).empty(); });
    for (auto& [rank, team] : urgent)
    {
        std::uint32_t count = team->unused_grants;
        while (slots_being_freed_ < needed && count-- > 0)
            if (!preempt_for(*team, victims, ctx))
                break;
    }
}

placement_system::ranked_teams placement_system::rank_teams(
    bool (*is_included)(const team_row&))
{
    ranked_teams ranked;
    for (auto& [id, team] : teams_)
        if (is_included(team))
            ranked.emplace_back(
                shares_.get_projected_usage(team.account), &team);
    // Equal teams stay in the order of their ids, so that runs are
    // reproducible.
    std::stable_sort(ranked.begin(), ranked.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    return ranked;
}

bool placement_system::is_urgent_overdue(
    const team_row& team, monotonic_time now)
{
    const task_order& queue = team.get_queue(task_class::urgent);
    return !queue.empty() && now - std::get<0>(*queue.begin()) >= preempt_after;
}

void placement_system::reserve_grants(context& ctx)
{
    std::size_t most = slots_being_freed_;
    for (const auto& [id, team] : teams_)
        most += team.victims.size();
    for (auto& [id, team] : teams_)
    {
        if (!is_urgent_overdue(team, ctx.now) || team.is_without_grant)
            continue;
        std::size_t wanted =
            std::min(most, team.get_queue(task_class::urgent).size());
        while (team.unused_grants < wanted && take_new_grant(team, ctx))
            ++team.unused_grants;
    }
}

std::uint32_t placement_system::count_needed_slots(monotonic_time now) const
{
    std::size_t needed = 0;
    for (const auto& [id, team] : teams_)
        if (is_urgent_overdue(team, now))
            needed += std::min<std::size_t>(
                team.unused_grants, team.get_queue(task_class::urgent).size());
    return static_cast<std::uint32_t>(needed);
}

bool placement_system::preempt_for(
    team_row& urgent, const ranked_teams& victims, context& ctx)
{
    const task_order& queue = urgent.get_queue(task_class::urgent);
    const task_row& head = *std::get<2>(*queue.begin());
    std::uint32_t candidates = 0;
    task_row* victim = choose_victim(urgent, head, victims, candidates);
    if (victim == nullptr)
        return false;
    add_decision(*victim, placement_action::throttle,
        placement_rule::urgent_waits, candidates, ctx);
    victim->team->victims.erase({victim->started, victim->sequence, victim});
    victim->is_freeing_slot = true;
    ++slots_being_freed_;
    set_preemption_step(
        *victim, task_state::throttled, ctx.now + policy_.checkpoint_delay);
    return true;
}

placement_system::task_row* placement_system::choose_victim(team_row& urgent,
    const task_row& head, const ranked_teams& victims,
    std::uint32_t& candidates)
{
    for (auto& [rank, team] : victims)
    {
        // Tasks of an underserved team are not preempted for another team.
        bool is_protected = team != &urgent && is_underserved(*team, urgent);
        if (is_protected)
            continue;
        if (task_row* victim = choose_victim_of(*team, head, candidates))
            return victim;
    }
    return nullptr;
}

placement_system::task_row* placement_system::choose_victim_of(
    team_row& team, const task_row& head, std::uint32_t& candidates)
{
    std::uint32_t examined = 0;
    // The task that started last loses the least work.
    for (auto it = team.victims.rbegin(); it != team.victims.rend(); ++it)
    {
        if (examined++ == max_victims_examined)
            return nullptr;
        ++candidates;
        task_row& row = *std::get<2>(*it);
        if (placement_targets::would_fit(
                *row.target, head.task, row.task.memory))
            return &row;
    }
    return nullptr;
}

void placement_system::advance_preemptions(context& ctx)
{
    auto next = [&](task_order& steps) -> task_row*
    {
        bool is_due = !steps.empty() && std::get<0>(*steps.begin()) <= ctx.now;
        return is_due ? std::get<2>(*steps.begin()) : nullptr;
    };
    while (task_row* row = next(throttled_))
    {
        add_decision(*row, placement_action::checkpoint,
            placement_rule::urgent_waits, 1, ctx);
        set_preemption_step(*row, task_state::checkpointing,
            ctx.now + policy_.checkpoint_timeout);
    }
    while (task_row* row = next(checkpointing_))
        stop_victim(*row,
            row->is_checkpointed ? placement_rule::checkpoint_done
                                 : placement_rule::checkpoint_overdue,
            ctx);
}

void placement_system::resume_victim(context& ctx)
{
    const task_order& steps = throttled_.empty() ? checkpointing_ : throttled_;
    task_row& row = *std::get<2>(*steps.rbegin());
    end_preemption(row);
    row.state = task_state::running;
    row.is_checkpointed = false;
    add_victim(row);
    add_decision(
        row, placement_action::resume, placement_rule::urgent_served, 1, ctx);
}

void placement_system::add_victim(task_row& row)
{
    // A task that is not idempotent must not run again after a stop.
    if (get_task_class(row.task) == task_class::slow && !row.is_cancelled)
        row.team->victims.emplace(row.started, row.sequence, &row);
}

void placement_system::set_preemption_step(
    task_row& row, task_state state, monotonic_time next_step_at)
{
    throttled_.erase({row.next_step_at, row.sequence, &row});
    checkpointing_.erase({row.next_step_at, row.sequence, &row});
    row.state = state;
    row.next_step_at = next_step_at;
    task_order& steps =
        state == task_state::throttled ? throttled_ : checkpointing_;
    steps.emplace(next_step_at, row.sequence, &row);
}

void placement_system::end_preemption(task_row& row)
{
    throttled_.erase({row.next_step_at, row.sequence, &row});
    checkpointing_.erase({row.next_step_at, row.sequence, &row});
    slots_being_freed_ -= row.is_freeing_slot ? 1 : 0;
    row.is_freeing_slot = false;
}

void placement_system::stop_victim(
    task_row& row, placement_rule rule, context& ctx)
{
    add_decision(row, placement_action::stop, rule, 1, ctx);
    end_preemption(row);
    row.team->victims.erase({row.started, row.sequence, &row});
    bool was_starting = row.state == task_state::starting;
    if (!was_starting)
        row.state = task_state::stopping;
    // A task that is being stopped will free its slot soon.
    row.is_freeing_slot = true;
    ++slots_being_freed_;
}

} // namespace cowslippass
