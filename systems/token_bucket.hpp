#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <optional>

namespace cowslippass
{

/// Limits a rate of events, with room for a burst.
class token_bucket
{
public:
    /// @param per_second long-term rate.
    /// @param burst most events at once.
    token_bucket(double per_second, double burst)
        : per_second_(per_second), burst_(burst), tokens_(burst)
    {
    }

    /// @return whether one more event may happen at `now`; counts it.
    bool try_acquire(monotonic_time now)
    {
        if (last_ && now > *last_)
        {
            std::chrono::duration<double> passed = now - *last_;
            tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
        }
        last_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double tokens_;
    std::optional<monotonic_time> last_;
};

} // namespace cowslippass
