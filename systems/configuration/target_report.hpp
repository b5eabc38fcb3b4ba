#pragma once

#include "systems/workload/job_spec.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// A target's report on itself in the platform's list of targets.
struct target_report
{
    target_id target;
    pool_id pool;
    std::string address; ///< IP:port.
    data_centre_id data_centre;
    bool is_draining = false; ///< Takes no new work.
    resources capacity;       ///< Of the whole target, also of what is in use.
    std::vector<std::string> labels; ///< Include its kind and its rack.
    /// How much longer the target runs slowly after its start.
    milliseconds warm_up_remaining{0};
    /// Start of this incarnation of the target; 0 when it is not reported.
    platform_time incarnation_start;
    std::uint64_t report_number = 0; ///< Increases with each report.
};

/// A change of one target in the list: added, changed or removed.
struct target_change
{
    target_id target;
    std::optional<target_report> report; ///< Not set when it was removed.
};

} // namespace cowslippass
