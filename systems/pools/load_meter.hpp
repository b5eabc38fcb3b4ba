#pragma once

#include "core/core.hpp"

#include <map>

namespace cowslippass
{

/// Measures how much work comes in for each pool, as the number of cores that
/// would keep up with it. Recent work counts most.
class load_meter
{
public:
    /// @param memory after this time an arrival counts for 1/e.
    explicit load_meter(milliseconds memory) : memory_(memory) {}

    /// @param work in core-milliseconds.
    void add(const pool_id& pool, double work, boot_time now);

    /// @return cores.
    double get_rate(const pool_id& pool, boot_time now) const;

private:
    struct entry
    {
        double sum = 0; ///< As of `at`.
        boot_time at{};
    };

    double decay(const entry& it, boot_time now) const;

    milliseconds memory_;
    std::map<pool_id, entry> entries_;
};

} // namespace cowslippass
