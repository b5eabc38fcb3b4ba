#pragma once

#include "core/core.hpp"
#include "systems/job_row.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// A live job as read: its value and the version of its row.
struct live_job
{
    job_row value;
    row_version version;
};

/// A transition: the transaction, and the row's value once it committed.
struct job_change
{
    transaction request;
    job_row next;
};

/// Transitions of one slow job. Each is conditioned on the row version read,
/// so that of several entries with the same row only one succeeds. A final
/// state moves the row to `ended/` in the same transaction; the job is in
/// exactly one of the two places at any time. After a lost reply the caller
/// reads both rows back before it goes on.
///
/// A function returns nothing when the job's state does not allow the change.
class job_machine
{
public:
    static constexpr std::uint32_t most_attempts = 5;

    /// The payload must be stored before; the caller gets its 202 answer
    /// after the commit.
    /// @param data_centre that is to run the job.
    static job_change accept(const job_order& order,
        const data_centre_id& data_centre = data_centre_id());

    /// Hands a queued job to another data centre.
    static std::optional<job_change> move(
        const live_job& job, const data_centre_id& data_centre);

    /// Records an attempt before its start is sent. A job whose delay has not
    /// passed is the caller's to hold back.
    static std::optional<job_change> start(const live_job& job,
        session_id session, const instance_id& target, const task_id& task,
        target_time start_before);

    /// @param result object name; the result is stored before.
    static std::optional<job_change> finish(
        const live_job& job, const std::string& result);

    /// The attempt ran, or may have run, without a result: the job is queued
    /// again after a delay, or parked after the last attempt.
    static std::optional<job_change> fail_attempt(
        const live_job& job, const std::string& reason);

    /// The attempt is proved not to have run; it does not count.
    /// Also for an attempt that the system itself stopped.
    static std::optional<job_change> withdraw_attempt(const live_job& job);

    static std::optional<job_change> park(
        const live_job& job, const std::string& reason);

    /// The task of a running job has to be stopped after the commit.
    static std::optional<job_change> cancel(const live_job& job);

    /// Takes over a running task of a session that ended. A task that no
    /// longer runs is finished or failed by the new owner instead.
    static std::optional<job_change> adopt(
        const live_job& job, session_id session);

    /// Writes the time of the end into a change to a final state; leaves
    /// others as they are.
    static void set_end_time(job_change& change, platform_time ended_at);

    /// Cancels many jobs with few transactions.
    /// @return one transaction for each `cancel_batch` jobs. A conflict fails
    ///   all jobs of one transaction; those with a failed key are read again,
    ///   and the others can be given again unchanged.
    static std::vector<transaction> cancel_all(
        const std::vector<live_job>& jobs);

    /// With two row writes for each job, a transaction is a small part of the
    /// platform's several hundred writes a second.
    static constexpr std::size_t cancel_batch = 25;

    /// @return delay before the attempt after `attempts` failures.
    static milliseconds get_delay(std::uint32_t attempts);
};

} // namespace cowslippass
