#pragma once

#include "systems/workload/job_spec.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

enum class instance_condition
{
    up,
    moving,
    in_maintenance,
    down
};

/// One instance as the platform lists it.
struct platform_instance
{
    instance_id instance;
    pool_id pool;
    instance_condition condition = instance_condition::down;
    data_centre_id data_centre;
    std::vector<std::string> labels;
    resources capacity;
    target_id target; ///< Its present life; empty when there is none.
};

enum class instance_order_outcome
{
    accepted,
    stale_fence,
    busy,
    not_in_wave,
    invalid,
    refused,  ///< Nothing was done.
    no_answer ///< It may have been done, or be done later.
};

const char* to_string(instance_order_outcome outcome);

} // namespace cowslippass
