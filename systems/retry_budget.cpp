#include "systems/retry_budget.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr milliseconds earn_interval{5000};

} // namespace

retry_budget::retry_budget(double fraction, double capacity)
    : fraction_(fraction), capacity_(capacity), tokens_(capacity)
{
}

void retry_budget::on_success()
{
    tokens_ = std::min(capacity_, tokens_ + fraction_);
}

bool retry_budget::try_take(monotonic_time now)
{
    if (now - last_earned_ >= earn_interval)
    {
        last_earned_ = now;
        tokens_ = std::min(capacity_, tokens_ + 1.0);
    }
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

} // namespace cowslippass
