#include "systems/team_shares.hpp"

#include <algorithm>
#include <utility>

namespace cowslippass
{

namespace
{

using seconds = std::chrono::duration<double>;

/// Accounts are closed when no work waited for so long. Shorter gaps occur
/// within one burst.
constexpr seconds period_gap{5.0};

/// A team that is ahead is held back for at most so long. Without the bound,
/// long tasks that cannot be stopped would shut their team out for as long
/// as they ran.
constexpr seconds max_lead{30.0};

/// A running task counts as if it had run for so long already. Differences
/// in served time are corrected over about this time; a shorter one makes
/// the number of running tasks swing.
constexpr seconds projection{2.0};

constexpr milliseconds level_interval{100};

/// An owner that did not tick for longer knows nothing about that time.
constexpr seconds longest_level_gap{0.5};

/// @return slots for a weight of 1 when every team gets what it asks for up
///   to its part of what the others leave.
double find_level(const std::vector<team_shares::account*>& teams, double slots)
{
    std::vector<std::pair<double, double>> demands;
    double weight = 0.0;
    for (const auto* team : teams)
    {
        double demand = static_cast<double>(team->running + team->waiting);
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
    // Everybody gets all; the last demand is as good a level as any.
    return demands.empty() ? 1.0 : std::max(1.0, demands.back().first);
}

} // namespace

void team_shares::advance(monotonic_time now, bool is_contended)
{
    if (now <= last_now_)
        return;
    if (is_contended)
    {
        // The first interval of a period begins at the last call.
        clock_ += seconds(now - last_now_).count();
        last_contended_ = now;
        is_period_open_ = true;
    }
    else if (is_period_open_ && now - last_contended_ > period_gap)
    {
        ++period_;
        floor_ = 0.0;
        is_period_open_ = false;
    }
    last_now_ = now;
}

void team_shares::on_start(account& team)
{
    settle(team);
    ++team.running;
}

void team_shares::on_end(account& team)
{
    settle(team);
    if (team.running > 0)
        --team.running;
}

void team_shares::set_weight(account& team, double weight)
{
    settle(team);
    team.served *= team.weight / weight;
    team.weight = weight;
}

void team_shares::raise_floor(double served)
{
    floor_ = std::max(floor_, served);
}

void team_shares::join(account& team)
{
    settle(team);
    team.served = std::max(team.served, floor_);
}

double team_shares::get_served(account& team) const
{
    settle(team);
    return team.served;
}

double team_shares::get_rank(account& team) const
{
    return get_served(team) + team.running * projection.count() / team.weight;
}

void team_shares::update_level(
    const std::vector<account*>& teams, double slots, monotonic_time now)
{
    if (now - last_level_ < level_interval)
        return;
    double passed_s =
        std::min(seconds(now - last_level_).count(), longest_level_gap.count());
    last_level_ = now;
    slots_per_weight_ = find_level(teams, slots);
    for (account* team : teams)
    {
        double demand = static_cast<double>(team->running + team->waiting);
        team->fair_slots = std::min(demand, slots_per_weight_ * team->weight);
        double missing = team->fair_slots - team->running;
        team->behind = std::max(0.0, team->behind + missing * passed_s);
        // Nothing is owed to a team whose work all runs.
        if (team->waiting == 0)
            team->behind = 0.0;
    }
}

double team_shares::get_behind_s(const account& team)
{
    return team.fair_slots > 0.0 ? team.behind / team.fair_slots : 0.0;
}

void team_shares::settle(account& team) const
{
    if (team.period != period_)
    {
        team.period = period_;
        team.served = 0.0;
        team.seen = clock_;
    }
    team.served += team.running * (clock_ - team.seen) / team.weight;
    team.seen = clock_;
    double highest = floor_ + max_lead.count() * slots_per_weight_;
    team.served = std::min(team.served, highest);
}

} // namespace cowslippass
