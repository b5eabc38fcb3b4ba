#pragma once

#include "systems/workload/job_spec.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

/// State of an instance in the platform's list.
enum class instance_condition
{
    up,
    moving, ///< Changes its pool.
    in_maintenance,
    down
};

/// One entry of the platform's instance list.
struct platform_instance
{
    instance_id instance;
    pool_id pool;
    instance_condition condition = instance_condition::down;
    data_centre_id data_centre;
    std::vector<std::string> labels;
    resources capacity;
    /// Target that runs on the instance now; empty if none does.
    target_id target;
};

/// Outcome of an order to move or to maintain an instance.
enum class instance_order_outcome
{
    accepted,
    stale_fence, ///< The platform has seen a higher fencing token.
    busy,        ///< The instance is carrying out another order.
    not_in_wave, ///< The instance is not part of the maintenance wave.
    invalid,     ///< Rejected as malformed or impossible.
    refused,     ///< The order had no effect.
    no_answer    ///< The order may have taken effect, or may do so later.
};

/// @return the name in logs and metrics.
const char* to_string(instance_order_outcome outcome);

} // namespace cowslippass
