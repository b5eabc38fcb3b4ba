#include "systems/placement_system.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

placement_system::pick placement_system::pick_by_shares(monotonic_time now)
{
    team_row* urgent = find_neediest(lane::urgent);
    pick slow = pick_slow();
    if (urgent != nullptr && slow.team != nullptr &&
        is_owed(*slow.team, *urgent))
        return {slow.team, slow.from, placement_rule::share_debt};
    if (urgent != nullptr)
    {
        team_row* late = find_longest_wait(*urgent, now);
        if (late != nullptr)
            return {late, lane::urgent, placement_rule::long_wait};
        return {urgent, lane::urgent, placement_rule::urgent_first};
    }
    if (slow.team != nullptr && targets_.count_free() > get_headroom())
        return slow;
    return {};
}

placement_system::pick placement_system::pick_slow()
{
    team_row* slow = find_neediest(lane::slow);
    team_row* fixed = find_neediest(lane::fixed);
    pick from_slow{slow, lane::slow, placement_rule::spare_capacity};
    pick from_fixed{fixed, lane::fixed, placement_rule::spare_capacity};
    if (slow == nullptr || fixed == nullptr)
        return fixed == nullptr ? from_slow : from_fixed;
    if (team_row* owed = find_owed_fixed())
        return {owed, lane::fixed, placement_rule::spare_capacity};
    auto cap = std::max(1U, static_cast<std::uint32_t>(
                                targets_.count_usable() * policy_.fixed_part));
    if (fixed_running_ >= cap && !is_owed(*fixed, *slow))
        return from_slow;
    if (slow != fixed)
        return shares_.get_rank(fixed->account) <
                       shares_.get_rank(slow->account)
                   ? from_fixed
                   : from_slow;
    return *fixed->get_queue(lane::fixed).begin() <
                   *slow->get_queue(lane::slow).begin()
               ? from_fixed
               : from_slow;
}

placement_system::pick placement_system::pick_first_come(monotonic_time)
{
    pick best;
    monotonic_time earliest = monotonic_time::max();
    for (auto& [id, team] : teams_)
    {
        for (lane from : {lane::urgent, lane::slow, lane::fixed})
        {
            const task_order& queue = team.get_queue(from);
            if (queue.empty() || team.is_without_grant ||
                team.is_blocked[static_cast<std::size_t>(from)])
                continue;
            if (from != lane::urgent && targets_.count_free() <= get_headroom())
                continue;
            if (std::get<0>(*queue.begin()) >= earliest)
                continue;
            earliest = std::get<0>(*queue.begin());
            best = {&team, from, placement_rule::first_come};
        }
    }
    return best;
}

placement_system::team_row* placement_system::find_neediest(lane from)
{
    auto kind = from == lane::urgent ? queue_kind::urgent : queue_kind::slow;
    if (count_waiting(kind) == 0)
        return nullptr;
    team_row* best = nullptr;
    double best_rank = 0.0;
    for (auto& [id, team] : teams_)
    {
        if (!may_start_from(team, from))
            continue;
        double rank = shares_.get_rank(team.account);
        if (best != nullptr && rank >= best_rank)
            continue;
        best = &team;
        best_rank = rank;
    }
    return best;
}

bool placement_system::may_start_from(const team_row& team, lane from) const
{
    return !team.get_queue(from).empty() && !team.is_without_grant &&
           !team.is_blocked[static_cast<std::size_t>(from)];
}

placement_system::team_row* placement_system::find_most_behind(lane from)
{
    team_row* best = nullptr;
    double most_s = 0.0;
    for (auto& [id, team] : teams_)
    {
        double behind_s = team_shares::get_behind_s(team.account);
        if (behind_s <= most_s || !may_start_from(team, from))
            continue;
        best = &team;
        most_s = behind_s;
    }
    return best;
}

placement_system::team_row* placement_system::find_owed_fixed()
{
    // The rank follows the time that was served and not what is missing; a
    // team that just came has a low rank and is behind by nothing.
    team_row* fixed = find_most_behind(lane::fixed);
    if (fixed == nullptr)
        return nullptr;
    std::chrono::duration<double> behind(
        team_shares::get_behind_s(fixed->account));
    if (behind <= policy_.fixed_tolerance)
        return nullptr;
    team_row* slow = find_most_behind(lane::slow);
    bool is_first = slow == nullptr ||
                    team_shares::get_behind_s(slow->account) <= behind.count();
    return is_first ? fixed : nullptr;
}

placement_system::team_row* placement_system::find_longest_wait(
    team_row& neediest, monotonic_time now)
{
    team_row* best = nullptr;
    monotonic_time earliest = now - policy_.urgent_patience;
    for (auto& [id, team] : teams_)
    {
        const task_order& queue = team.get_queue(lane::urgent);
        if (queue.empty() || team.is_without_grant || team.is_blocked[0] ||
            std::get<0>(*queue.begin()) >= earliest || is_owed(neediest, team))
            continue;
        earliest = std::get<0>(*queue.begin());
        best = &team;
    }
    return best;
}

bool placement_system::is_owed(
    const team_row& team, const team_row& other) const
{
    double behind_s = team_shares::get_behind_s(team.account);
    return milliseconds(policy_.share_tolerance) <
               std::chrono::duration<double>(behind_s) &&
           team_shares::get_behind_s(other.account) < behind_s;
}

void placement_system::start_from(const pick& chosen, context& ctx)
{
    team_row& team = *chosen.team;
    int tries = policy_.look_ahead;
    for (const time_key& key : team.get_queue(chosen.from))
    {
        if (tries-- == 0)
            break;
        task_row& row = *std::get<2>(key);
        auto where = targets_.choose(row.task);
        if (where.target == nullptr)
        {
            consider_reservation(row, ctx.now);
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
    const placement_task* task = targets_.get_reserved();
    if (task == nullptr)
        return;
    task_row& row = *find_task(task->id);
    auto where = targets_.choose_reserved(*task);
    if (where.target != nullptr && take_grant(*row.team, ctx))
        start(row, where, placement_rule::reservation, ctx);
}

void placement_system::consider_reservation(
    const task_row& row, monotonic_time now)
{
    bool is_due = policy_.reserves && row.task.kind == queue_kind::slow &&
                  now - row.task.arrival >= policy_.reserve_after;
    if (is_due && targets_.is_too_large_now(row.task))
        targets_.reserve(row.task);
}

std::uint32_t placement_system::get_headroom() const
{
    auto highest = static_cast<std::uint32_t>(
        std::ceil(targets_.count_usable() * policy_.headroom));
    // Slots kept free cost every team a part of its share, so few are kept
    // while little urgent work runs.
    std::uint32_t wanted = 1 + targets_.count_urgent() / 2;
    return policy_.is_headroom_adaptive ? std::min(highest, wanted) : highest;
}

} // namespace cowslippass
