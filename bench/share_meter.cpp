#include "bench/share_meter.hpp"

#include <algorithm>

namespace cowslippass::bench
{

namespace
{

/// @return the level up to which all demands are met within `slots`.
double find_level(std::vector<double> demands, double slots)
{
    std::sort(demands.begin(), demands.end());
    double left = slots;
    std::size_t count = demands.size();
    for (double demand : demands)
    {
        double part = left / count;
        if (demand > part)
            return part;
        left -= demand;
        --count;
    }
    return slots;
}

} // namespace

void share_meter::add_sample(const std::vector<double>& demands,
    const std::vector<double>& used, double slots, double seconds)
{
    if (slots <= 0.0)
        return;
    double level = find_level(demands, slots);
    double equal_part = slots / teams_.size();
    for (std::size_t i = 0; i < teams_.size(); ++i)
    {
        team& team = teams_[i];
        double fair = std::min(demands[i], level);
        team.behind = std::max(0.0, team.behind + (fair - used[i]) * seconds);
        // Nothing is owed to a team whose work all runs.
        if (demands[i] <= used[i])
            team.behind = 0.0;
        double behind_s = team.behind / equal_part;
        team.length_s = behind_s > 1.0 ? team.length_s + seconds : 0.0;
        worst_s_ = std::max(worst_s_, behind_s);
        longest_s_ = std::max(longest_s_, team.length_s);
    }
}

} // namespace cowslippass::bench
