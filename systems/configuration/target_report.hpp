#pragma once

#include "systems/workload/job_spec.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// What a target says of itself in the list of targets.
struct target_report
{
    target_id target;
    pool_id pool;
    std::string address; ///< IP:port.
    data_centre_id data_centre;
    bool is_draining = false;
    resources capacity;
    std::vector<std::string> labels; ///< Kind and rack among them.
    /// How long the target stays slow after its start.
    milliseconds warm_up_remaining{0};
    /// Start of this life, Unix milliseconds; 0 when it is not told.
    platform_time incarnation_start;
    std::uint64_t report_number = 0; ///< Rises with every report.
};

/// A target that was removed from the list, or changed.
struct target_change
{
    target_id target;
    std::optional<target_report> report; ///< Nothing: it is gone.
};

} // namespace cowslippass
