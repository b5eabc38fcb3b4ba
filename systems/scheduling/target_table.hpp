#pragma once

#include "systems/configuration/target_report.hpp"
#include "systems/scheduling/target_orders.hpp"

#include <map>
#include <set>

namespace cowslippass
{

/// One life of one target as the coordinator knows it.
struct target_entry
{
    target_report report;
    /// Named in the platform's list now.
    bool is_listed = false;
    /// It has answered under the coordinator's fence number, so that what
    /// runs there is known.
    bool is_known = false;
    /// Gets no work until this time, as it did not answer or refused.
    boot_time set_aside_until{};
    /// Gets no work, as its instance is about to leave its pool.
    bool is_cordoned = false;
    /// The targets in a data centre that operators have evacuated.
    bool is_evacuated = false;

    resources used; ///< Of every run that may be there.
    std::set<task_name> runs;

    /// Start of the life that the last answer came from.
    platform_time born;
    std::uint64_t last_end = 0; ///< Highest end that was taken note of.
    /// When all leases that anybody granted here have run out for certain.
    boot_time quiet_after{};
    unsigned failures = 0; ///< Calls in a row without an answer.

    bool is_idle() const { return runs.empty(); }

    /// @return whether it may get work.
    bool is_eligible(boot_time now) const;

    resources get_free() const { return report.capacity - used; }

    bool has_label(const std::string& label) const;
};

using target_table = std::map<target_id, target_entry>;

} // namespace cowslippass
