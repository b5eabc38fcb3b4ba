#include "systems/pools/load_meter.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// The last moments are this share of the memory.
constexpr double fast_share = 0.3;

} // namespace

load_meter::load_meter(milliseconds memory) : memory_(memory) {}

void load_meter::fading_sum::fade(boot_time now)
{
    double passed = std::chrono::duration<double, std::milli>(now - at).count();
    double left = std::exp(-passed / memory);
    sum *= left;
    squares *= left * left;
    at = now;
}

void load_meter::fading_sum::add(double work, boot_time now)
{
    fade(now);
    sum += work;
    squares += work * work;
}

void load_meter::add(const pool_id& pool, double work, boot_time now)
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

double load_meter::get_rate(const pool_id& pool, boot_time now) const
{
    auto it = entries_.find(pool);
    if (it == entries_.end())
        return 0;
    fading_sum slow = it->second.slow;
    fading_sum fast = it->second.fast;
    slow.fade(now);
    fast.fade(now);
    // Arrivals at random times spread by the root of their squares.
    double certain = fast.sum - std::sqrt(fast.squares);
    return std::max(slow.sum / slow.memory, certain / fast.memory);
}

} // namespace cowslippass
