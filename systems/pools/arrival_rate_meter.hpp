#pragma once

#include "core/core.hpp"

#include <map>

namespace cowslippass
{

/// Answers bursts that begin within a fraction of a second: measures how much
/// work comes in for each pool, as the number of cores that would keep up with
/// it. The last moments count alone as soon as there is more in them than
/// chance explains.
class arrival_rate_meter
{
public:
    /// @param memory after this time an arrival counts for 1/e.
    explicit arrival_rate_meter(milliseconds memory);

    /// @param work in core-milliseconds.
    void add(const pool_id& pool, double work, boot_time now);

    /// @return cores.
    double get_rate(const pool_id& pool, boot_time now) const;

private:
    /// Sums in which what is older counts less.
    struct decaying_sum
    {
        double memory = 1; ///< In milliseconds.
        double sum = 0;
        double squares = 0;
        boot_time at{};

        void decay(boot_time now);
        void add(double work, boot_time now);
    };

    struct entry
    {
        decaying_sum slow;
        decaying_sum fast;
    };

    milliseconds memory_;
    std::map<pool_id, entry> entries_;
};

} // namespace cowslippass
