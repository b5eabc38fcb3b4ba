#include "systems/placement_system.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

placement_system::start_choice placement_system::choose_by_fair_share(
    monotonic_time now)
{
    team_row* urgent = find_least_served(task_class::urgent);
    start_choice slow = choose_slow();
    if (urgent != nullptr && slow.team != nullptr &&
        is_underserved(*slow.team, *urgent))
        return {slow.team, slow.from, placement_rule::share_debt};
    if (urgent != nullptr)
    {
        team_row* late = find_longest_wait(*urgent, now);
        if (late != nullptr)
            return {late, task_class::urgent, placement_rule::long_wait};
        return {urgent, task_class::urgent, placement_rule::urgent_first};
    }
    if (slow.team != nullptr && targets_.get_free_slots() > get_headroom())
        return slow;
    return {};
}

placement_system::start_choice placement_system::choose_slow()
{
    team_row* slow = find_least_served(task_class::slow);
    team_row* non_preemptible = find_least_served(task_class::non_preemptible);
    start_choice from_slow{
        slow, task_class::slow, placement_rule::spare_capacity};
    start_choice from_non_preemptible{non_preemptible,
        task_class::non_preemptible, placement_rule::spare_capacity};
    if (slow == nullptr || non_preemptible == nullptr)
        return non_preemptible == nullptr ? from_slow : from_non_preemptible;
    if (team_row* starved = find_starved_non_preemptible())
        return {starved, task_class::non_preemptible,
            placement_rule::spare_capacity};
    auto cap = std::max(
        1U, static_cast<std::uint32_t>(targets_.get_usable_slots() *
                                       policy_.max_non_preemptible_fraction));
    if (non_preemptible_running_ >= cap &&
        !is_underserved(*non_preemptible, *slow))
        return from_slow;
    if (slow != non_preemptible)
        return shares_.get_projected_usage(non_preemptible->account) <
                       shares_.get_projected_usage(slow->account)
                   ? from_non_preemptible
                   : from_slow;
    return *non_preemptible->get_queue(task_class::non_preemptible).begin() <
                   *slow->get_queue(task_class::slow).begin()
               ? from_non_preemptible
               : from_slow;
}

placement_system::start_choice placement_system::choose_first_come(
    monotonic_time)
{
    start_choice best;
    monotonic_time earliest = monotonic_time::max();
    for (auto& [id, team] : teams_)
    {
        for (task_class from :
            {task_class::urgent, task_class::slow, task_class::non_preemptible})
        {
            const task_order& queue = team.get_queue(from);
            if (queue.empty() || team.is_without_grant ||
                team.is_blocked[static_cast<std::size_t>(from)])
                continue;
            if (from != task_class::urgent &&
                targets_.get_free_slots() <= get_headroom())
                continue;
            if (std::get<0>(*queue.begin()) >= earliest)
                continue;
            earliest = std::get<0>(*queue.begin());
            best = {&team, from, placement_rule::first_come};
        }
    }
    return best;
}

placement_system::team_row* placement_system::find_least_served(task_class from)
{
    auto kind =
        from == task_class::urgent ? queue_kind::urgent : queue_kind::slow;
    if (count_waiting(kind) == 0)
        return nullptr;
    team_row* best = nullptr;
    double best_rank = 0.0;
    for (auto& [id, team] : teams_)
    {
        if (!may_start_from(team, from))
            continue;
        double rank = shares_.get_projected_usage(team.account);
        if (best != nullptr && rank >= best_rank)
            continue;
        best = &team;
        best_rank = rank;
    }
    return best;
}

bool placement_system::may_start_from(
    const team_row& team, task_class from) const
{
    return !team.get_queue(from).empty() && !team.is_without_grant &&
           !team.is_blocked[static_cast<std::size_t>(from)];
}

placement_system::team_row* placement_system::find_largest_deficit(
    task_class from)
{
    team_row* best = nullptr;
    double largest_s = 0.0;
    for (auto& [id, team] : teams_)
    {
        double deficit_s = team_shares::get_deficit_s(team.account);
        if (deficit_s <= largest_s || !may_start_from(team, from))
            continue;
        best = &team;
        largest_s = deficit_s;
    }
    return best;
}

placement_system::team_row* placement_system::find_starved_non_preemptible()
{
    // Compares deficits instead of projected usage: a team that has just begun
    // to wait has a low usage but no deficit.
    team_row* non_preemptible =
        find_largest_deficit(task_class::non_preemptible);
    if (non_preemptible == nullptr)
        return nullptr;
    std::chrono::duration<double> deficit(
        team_shares::get_deficit_s(non_preemptible->account));
    if (deficit <= policy_.non_preemptible_lag_limit)
        return nullptr;
    team_row* slow = find_largest_deficit(task_class::slow);
    bool is_first = slow == nullptr || team_shares::get_deficit_s(
                                           slow->account) <= deficit.count();
    return is_first ? non_preemptible : nullptr;
}

placement_system::team_row* placement_system::find_longest_wait(
    team_row& least_served, monotonic_time now)
{
    team_row* best = nullptr;
    monotonic_time earliest = now - policy_.urgent_wait_limit;
    for (auto& [id, team] : teams_)
    {
        const task_order& queue = team.get_queue(task_class::urgent);
        if (queue.empty() || team.is_without_grant || team.is_blocked[0] ||
            std::get<0>(*queue.begin()) >= earliest ||
            is_underserved(least_served, team))
            continue;
        earliest = std::get<0>(*queue.begin());
        best = &team;
    }
    return best;
}

bool placement_system::is_underserved(
    const team_row& team, const team_row& other) const
{
    double deficit_s = team_shares::get_deficit_s(team.account);
    return milliseconds(policy_.share_lag_limit) <
               std::chrono::duration<double>(deficit_s) &&
           team_shares::get_deficit_s(other.account) < deficit_s;
}

void placement_system::start_from_queue(
    const start_choice& chosen, context& ctx)
{
    team_row& team = *chosen.team;
    int tries = policy_.lookahead_tasks;
    for (const time_key& key : team.get_queue(chosen.from))
    {
        if (tries-- == 0)
            break;
        task_row& row = *std::get<2>(key);
        auto where = targets_.choose(row.task);
        if (where.target == nullptr)
        {
            reserve_if_due(row, ctx.now);
            continue;
        }
        if (take_grant(team, ctx))
            start(row, where, chosen.rule, ctx);
        return;
    }
    team.is_blocked[static_cast<std::size_t>(chosen.from)] = true;
}

void placement_system::start_reserved(context& ctx)
{
    const placement_task* task = targets_.get_reserved_task();
    if (task == nullptr)
        return;
    task_row& row = *find_task(task->id);
    auto where = targets_.choose_reserved(*task);
    if (where.target != nullptr && take_grant(*row.team, ctx))
        start(row, where, placement_rule::reservation, ctx);
}

void placement_system::reserve_if_due(const task_row& row, monotonic_time now)
{
    bool is_due = policy_.is_reservation_enabled &&
                  row.task.kind == queue_kind::slow &&
                  now - row.task.arrival >= policy_.reservation_delay;
    if (is_due && targets_.exceeds_free_memory(row.task))
        targets_.reserve(row.task);
}

std::uint32_t placement_system::get_headroom() const
{
    auto highest = static_cast<std::uint32_t>(
        std::ceil(targets_.get_usable_slots() * policy_.headroom));
    // Slots that stay free reduce the share of every team, so few are kept free
    // while few urgent tasks run.
    std::uint32_t wanted = 1 + targets_.get_urgent_tasks() / 2;
    return policy_.is_headroom_adaptive ? std::min(highest, wanted) : highest;
}

} // namespace cowslippass
