#include "systems/team_shares.hpp"

#include <algorithm>
#include <utility>

namespace cowslippass
{

namespace
{

using seconds = std::chrono::duration<double>;

/// A contention period ends, and usage restarts at 0, when no task has waited
/// for this long. Shorter gaps occur within a burst.
constexpr seconds contention_gap{5.0};

/// A team that is ahead of its share is held back for at most this long.
/// Without this bound, long tasks that cannot be preempted would keep their
/// team from starting others for as long as they ran.
constexpr seconds max_lead{30.0};

/// A running task counts as if it had already run this much longer. Differences
/// in usage are corrected over about this time; a shorter time makes the number
/// of running tasks oscillate.
constexpr seconds running_task_projection{2.0};

constexpr milliseconds fair_slots_interval{100};

/// Longer intervals count only up to this length, because nothing is known
/// about the time in which the owner did not tick.
constexpr seconds max_update_gap{0.5};

/// Computes a weighted max-min fair division of the slots.
/// @return slots per unit of weight for a team whose demand is not met.
double compute_fair_slots_per_weight(
    const std::vector<team_shares::account*>& teams, double slots)
{
    std::vector<std::pair<double, double>> demands;
    double weight = 0.0;
    for (const auto* team : teams)
    {
        double demand =
            static_cast<double>(team->running_tasks + team->waiting_tasks);
        if (demand <= 0.0)
            continue;
        demands.emplace_back(demand / team->weight, team->weight);
        weight += team->weight;
    }
    std::sort(demands.begin(), demands.end());
    for (auto [demand, own] : demands)
    {
        if (demand > slots / weight)
            return slots / weight;
        slots -= demand * own;
        weight -= own;
    }
    // All demands are met, so any value from the largest demand on will do.
    return demands.empty() ? 1.0 : std::max(1.0, demands.back().first);
}

} // namespace

void team_shares::advance(monotonic_time now, bool is_contended)
{
    if (now <= last_advance_)
        return;
    if (is_contended)
    {
        // The first interval of a contention period begins at the last call.
        contention_clock_ += seconds(now - last_advance_).count();
        last_contended_ = now;
        is_in_contention_ = true;
    }
    else if (is_in_contention_ && now - last_contended_ > contention_gap)
    {
        ++contention_period_;
        usage_floor_ = 0.0;
        is_in_contention_ = false;
    }
    last_advance_ = now;
}

void team_shares::on_start(account& team)
{
    update_usage(team);
    ++team.running_tasks;
}

void team_shares::on_end(account& team)
{
    update_usage(team);
    if (team.running_tasks > 0)
        --team.running_tasks;
}

void team_shares::set_weight(account& team, double weight)
{
    update_usage(team);
    team.weighted_usage *= team.weight / weight;
    team.weight = weight;
}

void team_shares::raise_usage_floor(double weighted_usage)
{
    usage_floor_ = std::max(usage_floor_, weighted_usage);
}

void team_shares::raise_to_floor(account& team)
{
    update_usage(team);
    team.weighted_usage = std::max(team.weighted_usage, usage_floor_);
}

double team_shares::get_weighted_usage(account& team) const
{
    update_usage(team);
    return team.weighted_usage;
}

double team_shares::get_projected_usage(account& team) const
{
    return get_weighted_usage(team) +
           team.running_tasks * running_task_projection.count() / team.weight;
}

void team_shares::update_fair_slots(
    const std::vector<account*>& teams, double slots, monotonic_time now)
{
    if (now - last_fair_slots_update_ < fair_slots_interval)
        return;
    double passed_s = std::min(
        seconds(now - last_fair_slots_update_).count(), max_update_gap.count());
    last_fair_slots_update_ = now;
    fair_slots_per_weight_ = compute_fair_slots_per_weight(teams, slots);
    for (account* team : teams)
    {
        double demand =
            static_cast<double>(team->running_tasks + team->waiting_tasks);
        team->fair_slots =
            std::min(demand, fair_slots_per_weight_ * team->weight);
        double missing = team->fair_slots - team->running_tasks;
        team->deficit = std::max(0.0, team->deficit + missing * passed_s);
        // A team whose tasks all run has no deficit.
        if (team->waiting_tasks == 0)
            team->deficit = 0.0;
    }
}

double team_shares::get_deficit_s(const account& team)
{
    return team.fair_slots > 0.0 ? team.deficit / team.fair_slots : 0.0;
}

void team_shares::update_usage(account& team) const
{
    if (team.contention_period != contention_period_)
    {
        team.contention_period = contention_period_;
        team.weighted_usage = 0.0;
        team.settled_at = contention_clock_;
    }
    team.weighted_usage += team.running_tasks *
                           (contention_clock_ - team.settled_at) / team.weight;
    team.settled_at = contention_clock_;
    double highest = usage_floor_ + max_lead.count() * fair_slots_per_weight_;
    team.weighted_usage = std::min(team.weighted_usage, highest);
}

} // namespace cowslippass
