#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <optional>

namespace cowslippass
{

/// Limits the rate of events and allows bursts.
class token_bucket
{
public:
    /// @param per_second sustained rate, in events per second.
    /// @param burst maximum number of events at once.
    token_bucket(double per_second, double burst)
        : per_second_(per_second), burst_(burst), tokens_(burst)
    {
    }

    /// Takes a token for one event.
    /// @return false when the rate limit is reached.
    bool try_acquire(monotonic_time now)
    {
        if (last_refill_ && now > *last_refill_)
        {
            std::chrono::duration<double> passed = now - *last_refill_;
            tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
        }
        last_refill_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double tokens_;
    std::optional<monotonic_time> last_refill_;
};

} // namespace cowslippass
