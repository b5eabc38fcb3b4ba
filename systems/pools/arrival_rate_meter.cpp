#include "systems/pools/arrival_rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// Time constant of the fast average, relative to that of the slow one.
constexpr double fast_time_constant_ratio = 0.3;

} // namespace

arrival_rate_meter::arrival_rate_meter(milliseconds time_constant)
    : time_constant_(time_constant)
{
}

void arrival_rate_meter::decaying_sum::decay(boot_time now)
{
    double passed =
        std::chrono::duration<double, std::milli>(now - updated_at).count();
    double left = std::exp(-passed / time_constant);
    sum *= left;
    sum_of_squares *= left * left;
    updated_at = now;
}

void arrival_rate_meter::decaying_sum::add(double work, boot_time now)
{
    decay(now);
    sum += work;
    sum_of_squares += work * work;
}

void arrival_rate_meter::add(const pool_id& pool, double work, boot_time now)
{
    auto [it, is_new] = rates_.try_emplace(pool);
    if (is_new)
    {
        it->second.slow.time_constant =
            static_cast<double>(time_constant_.count());
        it->second.fast.time_constant =
            it->second.slow.time_constant * fast_time_constant_ratio;
        it->second.slow.updated_at = it->second.fast.updated_at = now;
    }
    it->second.slow.add(work, now);
    it->second.fast.add(work, now);
}

double arrival_rate_meter::get_rate(const pool_id& pool, boot_time now) const
{
    auto it = rates_.find(pool);
    if (it == rates_.end())
        return 0;
    decaying_sum slow = it->second.slow;
    decaying_sum fast = it->second.fast;
    slow.decay(now);
    fast.decay(now);
    // The standard deviation of a sum of random arrivals is the root of their
    // sum of squares. Only the part beyond it counts as a burst.
    double significant = fast.sum - std::sqrt(fast.sum_of_squares);
    return std::max(
        slow.sum / slow.time_constant, significant / fast.time_constant);
}

} // namespace cowslippass
