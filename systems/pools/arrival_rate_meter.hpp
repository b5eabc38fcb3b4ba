#pragma once

#include "core/core.hpp"

#include <map>

namespace cowslippass
{

/// Measures the arrival rate of work for each pool, as the number of cores that
/// would keep up with it. Two exponentially decaying averages are combined. The
/// fast one detects bursts that begin within a fraction of a second; it decides
/// alone as soon as it exceeds what random arrivals explain.
class arrival_rate_meter
{
public:
    /// @param time_constant the age at which the weight of an arrival is 1/e.
    explicit arrival_rate_meter(milliseconds time_constant);

    /// Records the arrival of one job or task.
    /// @param work its CPU time, in core-milliseconds.
    void add(const pool_id& pool, double work, boot_time now);

    /// @return the arrival rate, in cores; 0 for a pool without arrivals.
    double get_rate(const pool_id& pool, boot_time now) const;

private:
    /// Exponentially decaying sums of the work that arrived.
    struct decaying_sum
    {
        double time_constant = 1;  ///< In milliseconds.
        double sum = 0;            ///< In core-milliseconds.
        double sum_of_squares = 0; ///< Of the work of each arrival.
        boot_time updated_at{};

        void decay(boot_time now);
        void add(double work, boot_time now);
    };

    struct pool_rate
    {
        decaying_sum slow;
        decaying_sum fast;
    };

    milliseconds time_constant_;
    std::map<pool_id, pool_rate> rates_;
};

} // namespace cowslippass
