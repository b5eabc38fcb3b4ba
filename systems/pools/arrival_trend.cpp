#include "systems/pools/arrival_trend.hpp"

#include <cmath>

namespace cowslippass
{

namespace
{

/// Number of standard deviations that random arrivals explain.
constexpr double explained_deviations = 1.0;

} // namespace

std::int64_t arrival_trend::get_number(boot_time time)
{
    return std::chrono::floor<milliseconds>(time.time_since_epoch()).count() /
           interval_ms;
}

void arrival_trend::add(const pool_id& pool, double work, boot_time now)
{
    std::int64_t number = get_number(now);
    history& intervals = pools_[pool];
    interval& it =
        intervals[static_cast<std::size_t>(number) % intervals.size()];
    if (it.number != number)
        it = {number, 0, 0};
    it.work += work;
    it.sum_of_squares += work * work;
}

double arrival_trend::get_slope(const pool_id& pool, boot_time now) const
{
    auto found = pools_.find(pool);
    if (found == pools_.end())
        return 0;
    // The current interval is not complete.
    std::int64_t last = get_number(now) - 1;
    constexpr double middle = (fitted_intervals - 1) / 2.0;
    double sum_of_distances = 0;
    double covariance = 0;
    double variance = 0;
    for (std::int64_t i = 0; i < fitted_intervals; ++i)
    {
        std::int64_t number = last - i;
        const interval& it = found->second[static_cast<std::size_t>(number) %
                                           found->second.size()];
        double distance = middle - static_cast<double>(i);
        sum_of_distances += distance * distance;
        if (it.number != number)
            continue;
        covariance += distance * it.work;
        variance += distance * distance * it.sum_of_squares;
    }
    double slope = covariance / sum_of_distances;
    double deviation = std::sqrt(variance) / sum_of_distances;
    double clear =
        std::max(0.0, std::abs(slope) - explained_deviations * deviation);
    // From core-milliseconds per interval and interval to cores per second.
    constexpr double intervals_per_second = 1'000.0 / interval_ms;
    return std::copysign(clear, slope) / interval_ms * intervals_per_second;
}

} // namespace cowslippass
