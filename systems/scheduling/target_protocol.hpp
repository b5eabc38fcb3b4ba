#pragma once

#include "systems/workload/job.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// Identifies one task of one job.
struct task_name
{
    job_id job;
    task_key key;

    auto operator<=>(const task_name&) const = default;
};

/// Hash function of task names, for unordered containers.
struct task_name_hash
{
    std::size_t operator()(const task_name& task) const;
};

/// A run that a target reports as executing.
struct running_report
{
    task_name task;
    run_number run;
    std::string saved; ///< Checkpointed progress; empty for none.
    /// Progress of the work, or of the start-up of a long-running task.
    int percent = 0;
    /// For a long-running task, the tail of its response times in
    /// milliseconds; for any other task, its processor usage in thousandths of
    /// a core.
    double measured_value = 0;
};

/// The end of a run as a target reports it.
struct end_report
{
    /// Increases with each end within one incarnation of the target.
    std::uint64_t number = 0;
    task_name task;
    run_number run;
    run_outcome end = run_outcome::lease_expired;
    std::string saved; ///< Checkpointed progress; empty for none.
};

/// A target's answer to a status poll.
struct target_status
{
    target_time clock;
    /// Start of the target's incarnation in Unix milliseconds; 0 when the
    /// target does not report it.
    platform_time incarnation_start;
    std::vector<running_report> running;
    /// Ends that the coordinator has not acknowledged yet.
    std::vector<end_report> ended;
};

/// How a request to a target ended.
enum class request_outcome
{
    accepted,
    stale_fence,       ///< The target has seen a higher fencing token.
    superseded,        ///< The target has ended or stopped this run of the
                       ///< task, or one with a higher number.
    too_late,          ///< The deadline has passed on the target's clock.
    no_capacity,       ///< The target lacks the capacity for the run.
    no_ticket,         ///< The start lacks a valid ticket.
    invalid,           ///< The request or the answer is malformed.
    wrong_incarnation, ///< Another incarnation of the target answered.
    unavailable,       ///< The target answered that it did nothing.
    not_sent,          ///< No connection; the target did nothing.
    no_answer ///< The target may have executed the request, or may do so later.
};

/// @return the outcome's name in logs and metrics.
const char* to_string(request_outcome outcome);

/// A target's answer to a request to start or stop a run.
struct request_reply
{
    request_outcome outcome = request_outcome::no_answer;
    std::optional<target_time> clock;
    std::string message; ///< Describes a failure, for logs.
};

/// Request to start a run of a task.
struct run_start_request
{
    task_name task;
    run_number run;
    std::string payload;
    target_time lease_end; ///< The run's lease, on the target's clock.
    std::string saved;     ///< Progress to resume from; empty for none.
    /// Issued by the service that says which targets may run a step; empty for
    /// none.
    std::string ticket;
};

/// Ends that are durable in the ledger. Each life of a target numbers its ends
/// from the start, so that a number says nothing without the life.
struct end_acknowledgement
{
    /// Start of the incarnation that reported the ends.
    platform_time incarnation_start;
    std::uint64_t up_to = 0; ///< Number of the last one; 0 for none.
};

/// Request for a target's status, which renews its leases as well.
struct poll_request
{
    /// Extends the leases of all runs at the target; not set to leave
    /// them unchanged.
    std::optional<target_time> lease_end;
    /// Ends that the target may drop. No other incarnation receives this.
    end_acknowledgement acknowledged;
    /// How long the target may delay its answer until a run ends.
    milliseconds wait{0};
};

/// Outcome of a poll, with the status when there was an answer.
struct poll_reply
{
    request_outcome outcome = request_outcome::no_answer;
    std::optional<target_status> status;
    std::string message; ///< Describes a failure, for logs.
};

} // namespace cowslippass
