#include "systems/retry_budget.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr milliseconds time_refill_interval{5000};

} // namespace

retry_budget::retry_budget(double retry_ratio, double capacity)
    : retry_ratio_(retry_ratio), capacity_(capacity), tokens_(capacity)
{
}

void retry_budget::on_success()
{
    tokens_ = std::min(capacity_, tokens_ + retry_ratio_);
}

bool retry_budget::try_acquire(monotonic_time now)
{
    if (now - last_time_refill_ >= time_refill_interval)
    {
        last_time_refill_ = now;
        tokens_ = std::min(capacity_, tokens_ + 1.0);
    }
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace cowslippass
