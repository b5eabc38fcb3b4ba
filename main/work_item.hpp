#pragma once

#include "drivers/peer_message.hpp"
#include "drivers/target_client.hpp"
#include "systems/placement_types.hpp"

#include <functional>
#include <optional>
#include <string>

namespace cowslippass
{

/// Whether a piece of work ran, as told to callers.
enum class run_answer
{
    no,
    yes,
    unknown
};

std::string get_name(run_answer run);

/// Code of work that is sent back as too much waits in the entry.
constexpr const char* waiting_full_code = "waiting_full";

/// How a piece of work ended.
struct work_result
{
    unsigned status = 500; ///< HTTP status for the caller.
    std::string code;      ///< Empty for success.
    std::string message;
    run_answer run = run_answer::unknown;
    std::string payload; ///< The whole result on success.

    bool is_success() const { return code.empty(); }
};

/// @return a failed result.
work_result make_failure(unsigned status, const std::string& code,
    const std::string& message, run_answer run);

/// @return what a refusal may say when no claim has been looked up: an earlier
///   attempt of a non-idempotent request may have run.
run_answer get_unclaimed_answer(bool is_idempotent, bool is_first_attempt);

work_result to_work_result(const peer_forward_reply& reply);
peer_forward_reply to_forward_reply(const work_result& result);

/// Where a start is about to be sent.
struct start_place
{
    task_id task;
    instance_id target;
    target_clock_reading start_before; ///< Deadline, with its boot id.
};

/// A piece of work for one pool in one data centre.
struct work_item
{
    placement_task task; ///< The id is given by the pool runner.
    request_id request;
    queue_id queue;
    std::string payload;
    std::string run_ms; ///< Hint for the target; may be empty.
    /// Most starts of this item; 1 unless it is idempotent.
    std::uint32_t max_starts = 1;
    /// The caller says that it has not sent this request before.
    bool is_first_attempt = false;
    /// When the caller stops waiting; the task may go on.
    monotonic_time answer_deadline = monotonic_time::max();
    /// Makes a start durable before it is sent. A result means that the start
    /// must not be sent and is the answer instead.
    std::function<asio::awaitable<std::optional<work_result>>(start_place)>
        prepare_start;
    /// Called once when the end is known, before the caller is answered, and
    /// also when the caller has stopped waiting.
    std::function<asio::awaitable<void>(const work_result&)> on_end;
};

} // namespace cowslippass
