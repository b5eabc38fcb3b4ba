#include "systems/pools/arrival_rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// The last moments are this share of the memory.
constexpr double fast_share = 0.3;

} // namespace

arrival_rate_meter::arrival_rate_meter(milliseconds memory) : memory_(memory) {}

void arrival_rate_meter::decaying_sum::decay(boot_time now)
{
    double passed = std::chrono::duration<double, std::milli>(now - at).count();
    double left = std::exp(-passed / memory);
    sum *= left;
    squares *= left * left;
    at = now;
}

void arrival_rate_meter::decaying_sum::add(double work, boot_time now)
{
    decay(now);
    sum += work;
    squares += work * work;
}

void arrival_rate_meter::add(const pool_id& pool, double work, boot_time now)
{
    auto [it, is_new] = entries_.try_emplace(pool);
    if (is_new)
    {
        it->second.slow.memory = static_cast<double>(memory_.count());
        it->second.fast.memory = it->second.slow.memory * fast_share;
        it->second.slow.at = it->second.fast.at = now;
    }
    it->second.slow.add(work, now);
    it->second.fast.add(work, now);
}

double arrival_rate_meter::get_rate(const pool_id& pool, boot_time now) const
{
    auto it = entries_.find(pool);
    if (it == entries_.end())
        return 0;
    decaying_sum slow = it->second.slow;
    decaying_sum fast = it->second.fast;
    slow.decay(now);
    fast.decay(now);
    // Arrivals at random times spread by the root of their squares.
    double certain = fast.sum - std::sqrt(fast.squares);
    return std::max(slow.sum / slow.memory, certain / fast.memory);
}

} // namespace cowslippass
