#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/workload/job.hpp"

#include <map>
#include <optional>

namespace cowslippass
{

/// @return the longest chain of estimated work over the steps that are not
///   done, of the occurrence that has most of it left.
milliseconds estimate_remaining_chain(const job& it);

/// @return how long after its submission a job is still in time: its chain
///   stretched as its queue allows, and the queue's own addition.
milliseconds get_time_allowed(const job_spec& spec, const queue_config& queue);

/// Callers profit from a late job up to this multiple of the time allowed.
constexpr int overdue_factor = 3;

/// Tells which of a team's jobs are within its share while the fleet is full:
/// as many a second as its weight.
class share_meter
{
public:
    /// Counts one submission.
    /// @return whether it is within the share.
    bool take(const team_id& team, double weight, boot_time now);

private:
    struct bucket
    {
        double tokens = 0;
        boot_time at{};
    };

    std::map<team_id, bucket> buckets_;
};

/// Learns how long tasks of a queue run against their estimates, and how far
/// the estimates can be trusted.
class estimate_meter
{
public:
    /// @param took from the decision to the end as it was noticed.
    void add(const queue_id& queue, milliseconds estimate, milliseconds took);

    /// @return by what to multiply an estimate so that most tasks end within
    ///   it; nothing while too little is known or the estimates say little.
    std::optional<double> get_factor(const queue_id& queue) const;

private:
    /// Of the logarithm of the time taken against the estimate.
    struct entry
    {
        std::uint64_t count = 0;
        double mean = 0;
        double deviation = 0; ///< Mean distance from the mean.
    };

    std::map<queue_id, entry> entries_;
};

/// Answers bursts beyond what a pool holds: when not all jobs can be in time,
/// room goes to those that can be, the most pressing first. Jobs
/// that are late anyway and those beyond their team's share take what is left,
/// overdue ones only what nobody else needs.
/// Sorts ascending.
struct job_urgency
{
    /// So late that its caller has no use of it any more.
    bool is_overdue = false;
    std::uint32_t priority = 0; ///< Of the queue.
    /// Its time has passed, or will have when its last step ends.
    bool is_late = false;
    bool is_beyond_share = false;
    bool is_new = true; ///< None of its tasks has started.
    boot_time deadline{};
    std::uint64_t order = 0; ///< Of acceptance.

    auto operator<=>(const job_urgency&) const = default;
};

} // namespace cowslippass
