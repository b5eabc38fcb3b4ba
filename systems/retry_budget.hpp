#pragma once

#include "core/core.hpp"

namespace cowslippass
{

/// Token bucket that keeps retries a fraction of successes, so that failures
/// of a whole pool do not multiply its load.
class retry_budget
{
public:
    /// @param fraction retries earned by each success.
    /// @param capacity most retries that can be saved up.
    explicit retry_budget(double fraction = 0.1, double capacity = 20.0);

    void on_success();

    /// Takes one retry. Besides the successes, one retry every 5 s is earned
    /// by time, as a pool with little work could otherwise never retry.
    /// @return false when the budget is used up.
    bool try_acquire(monotonic_time now);

    double get_tokens() const { return tokens_; }

private:
    double retry_ratio_;
    double capacity_;
    double tokens_;
    monotonic_time last_time_refill_{};
};

} // namespace cowslippass
