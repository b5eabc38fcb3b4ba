#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/workload/job.hpp"

#include <map>
#include <optional>
#include <span>

namespace cowslippass
{

/// @param run_times expected run time of a task of each step.
/// @return the expected time on the critical path through the steps that are
///   not done; the maximum over the job's occurrences.
milliseconds estimate_remaining_critical_path(
    const job& it, std::span<const milliseconds> run_times);

/// @param run_times expected run time of a task of each step.
/// @return how long after its submission a job still counts as in time: the
///   expected time on its critical path times the queue's stretch factor, plus
///   the queue's deadline allowance.
milliseconds get_time_allowed(const job_spec& spec,
    std::span<const milliseconds> run_times, const queue_config& queue);

/// @param factor of estimate_calibrator.
/// @return the estimate with the factor, bounded like all times of a job.
milliseconds correct_estimate(milliseconds estimate, double factor);

/// Callers still profit from a late job up to this multiple of the time
/// allowed; after that, the job is overdue.
constexpr int overdue_factor = 3;

/// Token bucket for each team: tells which submissions are within the team's
/// share, which is as many submissions a second as its weight. Jobs beyond the
/// share start after the others when capacity is short.
class team_share_limiter
{
public:
    /// Counts one submission.
    /// @param weight submissions a second within the team's share.
    /// @return whether the submission is within the share.
    bool take(const team_id& team, double weight, boot_time now);

    /// @return whether a submission now would be within the share.
    bool has_room(const team_id& team, double weight, boot_time now) const;

private:
    struct bucket
    {
        double tokens = 0;
        boot_time refilled_at{};
    };

    static double refill(const bucket& own, double weight, boot_time now);

    std::map<team_id, bucket> buckets_;
};

/// Learns for each queue how the run times of its tasks compare with their
/// estimates, and how accurate the estimates are.
class estimate_calibrator
{
public:
    /// @param took time from the scheduling decision until the coordinator
    ///   learned of the end.
    void add(const queue_id& queue, milliseconds estimate, milliseconds took);

    /// @return the factor to multiply an estimate by, so that most tasks end
    ///   within the product; nothing while there are too few samples or the
    ///   estimates are too inaccurate.
    std::optional<double> get_correction_factor(const queue_id& queue) const;

private:
    /// Statistics of the logarithm of time taken divided by estimate.
    struct entry
    {
        std::uint64_t count = 0;
        double mean = 0;
        double deviation = 0; ///< Mean absolute distance from the mean.
    };

    std::map<queue_id, entry> entries_;
};

/// Sort key of waiting jobs; the smallest starts first. When a burst exceeds
/// the capacity of a pool and not all jobs can end in time, the capacity goes
/// to those that can, earliest deadline first. Jobs that will be late anyway
/// and those beyond their team's share get the remaining capacity; overdue jobs
/// get only what no other job needs.
struct job_urgency
{
    /// So late that its caller has no use for it any more.
    bool is_overdue = false;
    std::uint32_t priority = 0; ///< Priority of the queue; 0 goes first.
    /// The deadline has passed, or will have passed when the last step ends.
    bool is_late = false;
    bool is_left_out = false;   ///< Of its pool's feasible set.
    bool exceeds_share = false; ///< Beyond its team's share of submissions.
    bool is_new = true;         ///< None of its tasks has started.
    boot_time deadline{};
    std::uint64_t acceptance_number = 0; ///< Order of acceptance.

    auto operator<=>(const job_urgency&) const = default;
};

} // namespace cowslippass
