#pragma once

#include "core/core.hpp"

namespace cowslippass
{

/// Token bucket that limits retries to a fraction of the successes, so that
/// retries do not multiply the load when all tasks of a pool fail.
class retry_budget
{
public:
    /// @param retry_ratio tokens added by each success; a retry costs one.
    /// @param capacity maximum number of tokens.
    explicit retry_budget(double retry_ratio = 0.1, double capacity = 20.0);

    /// Adds `retry_ratio` tokens.
    void on_success();

    /// Takes the token for one retry. One token is also added at most every
    /// 5 s, because a pool with little work could otherwise never retry.
    /// @return false when the budget is exhausted.
    bool try_acquire(monotonic_time now);

    double get_tokens() const { return tokens_; }

private:
    double retry_ratio_;
    double capacity_;
    double tokens_;
    monotonic_time last_time_refill_{};
};

} // namespace cowslippass
