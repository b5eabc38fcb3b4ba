#pragma once

#include "core/core.hpp"

#include <array>
#include <map>

namespace cowslippass
{

/// Detects a steady rise or fall of the arrival rate of work, as at the
/// beginning and the end of a queue's turn. A line is fitted to the arrivals of
/// the last two seconds; only the part of its slope that random arrivals
/// do not explain counts.
class arrival_trend
{
public:
    /// Records the arrival of one job.
    /// @param work its CPU time, in core-milliseconds.
    void add(const pool_id& pool, double work, boot_time now);

    /// @return how much the arrival rate changes, in cores per second; 0 for a
    ///   rate without a clear trend.
    double get_slope(const pool_id& pool, boot_time now) const;

private:
    static constexpr std::int64_t interval_ms = 100;
    /// Intervals of the fit; there is one more, for the current interval.
    static constexpr std::int64_t fitted_intervals = 20;

    /// Arrivals of one interval.
    struct interval
    {
        std::int64_t number = -1; ///< Since the clock's zero.
        double work = 0;          ///< In core-milliseconds.
        double sum_of_squares = 0;
    };

    using history = std::array<interval, fitted_intervals + 1>;

    static std::int64_t get_number(boot_time time);

    std::map<pool_id, history> pools_;
};

} // namespace cowslippass
