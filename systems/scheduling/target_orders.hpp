#pragma once

#include "systems/workload/job.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// One task of one job.
struct task_name
{
    job_id job;
    task_key key;

    auto operator<=>(const task_name&) const = default;
};

/// For hash tables.
struct task_name_hash
{
    std::size_t operator()(const task_name& it) const;
};

/// A run that a target says it executes.
struct running_report
{
    task_name task;
    run_number run;
    std::string saved;
    int percent = 0; ///< Of the work, or of a long-running task's start-up.
    /// A long-running task's tail of response times in milliseconds; the
    /// processor in use, in thousandths of a core, for others.
    double figure = 0;
};

/// The end of a run as a target lists it.
struct end_report
{
    std::uint64_t number = 0; ///< Rises within one life of the target.
    task_name task;
    run_number run;
    run_outcome end = run_outcome::lease_expired;
    std::string saved;
};

/// What a target says of itself when it is asked.
struct target_look
{
    target_time clock;
    platform_time born; ///< 0 when it is not told.
    std::vector<running_report> running;
    std::vector<end_report> ended;
};

enum class order_outcome
{
    accepted,
    stale_fence, ///< The target has seen a higher fence number.
    superseded,  ///< A run as high or higher has ended or was stopped there.
    too_late,    ///< Its deadline has passed on the target's clock.
    no_room,
    no_ticket,
    invalid,
    wrong_life,  ///< Another life of the target answers there.
    unavailable, ///< Nothing was done.
    not_sent,    ///< No connection; nothing was done.
    no_answer    ///< It may have been done, or be done later.
};

const char* to_string(order_outcome outcome);

struct order_reply
{
    order_outcome outcome = order_outcome::no_answer;
    std::optional<target_time> clock;
    std::string message; ///< For logs, on failure.
};

struct start_order
{
    task_name task;
    run_number run;
    std::string payload;
    target_time lease_end;
    std::string saved;
    std::string ticket;
};

struct look_order
{
    /// Extends the lease of everything that runs there.
    std::optional<target_time> lease_end;
    std::uint64_t seen_up_to = 0; ///< Ends that may be forgotten.
    milliseconds wait{0};         ///< For an end.
};

struct look_reply
{
    order_outcome outcome = order_outcome::no_answer;
    std::optional<target_look> look;
    std::string message;
};

} // namespace cowslippass
