#pragma once

#include "systems/workload/job.hpp"

namespace cowslippass
{

/// Share of the runs in a pool that fail. It tells what failures at one target
/// mean: where most tasks fail everywhere, the target is not the cause.
class failure_baseline
{
public:
    /// @param is_failure otherwise the run was done.
    void add(bool is_failure);

    /// @return the share, never 0.
    double get_share() const { return share_; }

private:
    double share_ = 0.02;
};

/// What the runs at one incarnation of a target tell of it, compared with the
/// other targets of its pool. A new incarnation starts without evidence.
///
/// Failures are counted by a cumulative sum: each one adds the logarithm of how
/// much likelier it is at a target where half of all runs fail than in the rest
/// of the pool, each done run subtracts accordingly, and the sum never falls
/// below 0. Above a limit the target gets no work for a while, then one run at
/// a time until the sum is low again.
///
/// The speed of the running tasks is their progress compared with that expected
/// from the forecast of their run times.
class target_evidence
{
public:
    /// Records that a run ended by itself. Failures of one job count once until
    /// a run of another job ends, because a faulty job fails everywhere.
    /// @param baseline share of failures in the pool.
    /// @param may_suspend whether the target may be suspended; otherwise too
    ///   much of its pool is.
    void add_end(const job_id& job, bool is_failure, double baseline,
        bool may_suspend, boot_time now);

    /// Records how fast the running tasks progress at the moment.
    /// @param speed geometric mean of actual by expected progress.
    void set_speed(double speed, boot_time now);

    /// @return whether the target gets no work.
    bool is_suspended(boot_time now) const { return now < suspended_until_; }

    /// @return whether the target has to prove itself with one run at a time.
    bool is_on_probation(boot_time now) const;

    /// @return whether tasks are much slower than elsewhere.
    bool is_slow(boot_time now) const;

private:
    double failure_sum_ = 0;
    job_id last_failed_job_;
    boot_time suspended_until_{};
    unsigned suspensions_ = 0; ///< Since the sum was last 0.
    double speed_ = 1;
    boot_time speed_seen_at_{};
};

} // namespace cowslippass
