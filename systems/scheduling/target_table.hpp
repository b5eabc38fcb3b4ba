#pragma once

#include "systems/configuration/target_report.hpp"
#include "systems/scheduling/target_evidence.hpp"
#include "systems/scheduling/target_protocol.hpp"

#include <map>
#include <optional>
#include <set>

namespace cowslippass
{

/// What the coordinator knows of one target and its current incarnation.
struct target_entry
{
    target_report report;
    /// The platform's list of targets contains it.
    bool is_listed = false;
    /// It has answered a poll with the coordinator's fencing token, so that
    /// the coordinator knows what runs there.
    bool has_reported = false;
    /// Gets no work until this time, because it did not answer or refused.
    boot_time back_off_until{};
    /// Set while the back-off is due to a request without an answer: when it
    /// was noticed. A status that was polled later ends the back-off.
    std::optional<boot_time> unanswered_at;
    /// Gets no work, because its instance is about to leave its pool.
    bool is_cordoned = false;
    /// An order to its instance that is on its way may end it at any time.
    bool may_end = false;
    /// Gets no work, because operators have evacuated its data centre.
    bool is_evacuated = false;

    resources used;         ///< Sum over all runs that it may be executing.
    resources long_running; ///< The part of `used` of long-running tasks.
    std::set<task_name> runs;

    /// Start of the incarnation that answered last.
    platform_time incarnation_start;
    /// The target's clock in its first answer, from which on it refuses the
    /// requests of former coordinators.
    target_time first_clock;
    /// Number of the last end report of this incarnation that was processed.
    std::uint64_t last_end_number = 0;
    /// From this time on, all leases that any coordinator granted at the
    /// target have expired.
    boot_time last_lease_end{};
    unsigned consecutive_failures = 0; ///< Polls in a row without an answer.
    /// Moving average of the time that it takes to answer a start, in
    /// milliseconds; 0 before the first one.
    double start_ms = 0;
    /// What the runs of this incarnation tell of it.
    target_evidence evidence;

    bool is_idle() const { return runs.empty(); }

    /// @return whether it may get work.
    bool is_eligible(boot_time now) const;

    resources get_free() const { return report.capacity - used; }

    bool has_label(const std::string& label) const;
};

using target_table = std::map<target_id, target_entry>;

} // namespace cowslippass
