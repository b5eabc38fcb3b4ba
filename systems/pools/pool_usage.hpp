#pragma once

#include "systems/scheduling/coordinator.hpp"

#include <map>

namespace cowslippass
{

/// Where the processors of a pool are, in thousandths of a core. The members
/// add up to the capacity of the pool's listed targets.
struct pool_usage
{
    std::int64_t worked = 0;  ///< Used by tasks that end.
    std::int64_t lasting = 0; ///< Used by long-running tasks.
    /// Free on targets with runs, but no waiting task fits there.
    std::int64_t stranded = 0;
    std::int64_t beside = 0; ///< Free on targets with runs, otherwise.
    std::int64_t idle = 0;   ///< Of targets without runs that may get work.
    /// Of targets without runs that may get no work: they are about to leave,
    /// do not answer or have not answered yet.
    std::int64_t closed = 0;
    /// Number of targets that nothing but long-running tasks keep.
    std::uint32_t lasting_targets = 0;

    std::int64_t get_used() const { return worked + lasting; }
    std::int64_t get_free() const { return stranded + beside + idle + closed; }
};

/// @param demands as coordinator::measure_demand() returns them.
/// @return the usage of each pool that has a listed target.
std::map<pool_id, pool_usage> measure_usage(const target_table& targets,
    const std::map<pool_id, pool_demand>& demands, boot_time now);

} // namespace cowslippass
