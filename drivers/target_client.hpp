#pragma once

#include "core/core.hpp"
#include "drivers/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// State of a task as its target reports it.
enum class target_task_state
{
    running,
    done,
    failed,
    stopped,
    lapsed, ///< Stopped by the target because its lease expired.
    unknown ///< The target has no record of the task.
};

struct target_task
{
    task_id id;
    target_task_state state = target_task_state::unknown;
};

/// Request to start a task on a target.
struct start_request
{
    task_id id;
    session_id owner;
    /// Deadline by the target's clock, after which it rejects the start.
    target_time start_before;
    std::string boot; ///< Boot id that `start_before` is valid for.
    milliseconds lease{0};
    bool is_urgent = true;
    request_id request;
    std::string run_ms; ///< Run time hint; may be empty.
    std::string payload;
};

enum class start_outcome
{
    started,
    already_known,   ///< The task was started before; not started again.
    no_slot,         ///< All slots of the target are in use.
    leaving,         ///< The target is being drained.
    deadline_passed, ///< `start_before` has passed.
    not_sent,        ///< There was no connection to the target.
    unknown          ///< The target may have started it.
};

/// @return whether the outcome proves that the request did not start the task.
bool proves_not_started(start_outcome outcome);

/// @return the name of the outcome in logs and error codes.
std::string get_name(start_outcome outcome);

/// A target's response to a poll: its slots, and the tasks of the owner.
struct sync_result
{
    std::uint32_t slots = 0;
    std::uint32_t free_slots = 0;
    std::vector<target_task> tasks;
};

/// A reading of the target's clock.
struct target_clock_reading
{
    std::string boot;        ///< Changes when the target process restarts.
    target_time time;        ///< When the target sent its response.
    monotonic_time received; ///< When the response arrived here.
};

/// The state of a task, and the target's clock at the time of the report.
struct target_task_report
{
    target_task_state state = target_task_state::unknown;
    target_clock_reading clock;
};

/// HTTP client of one target. Every operation is idempotent and may be retried.
class target_client
{
public:
    /// 9 entries with 7 connections each use 63 of the 64 connections that a
    /// target allows.
    static constexpr std::size_t max_connections = 7;

    target_client(asio::io_context& io, const tcp::endpoint& target);

    asio::awaitable<start_outcome> start(start_request request);

    /// Polls the target: renews leases and waits for a task of this owner to
    /// end.
    /// @param owner session whose tasks are reported.
    /// @param lease new lease of the tasks in `renew`.
    /// @param wait maximum time that the target delays its response; 0 for
    ///   none.
    /// @return nothing when the target did not respond in time.
    asio::awaitable<std::optional<sync_result>> sync(session_id owner,
        milliseconds lease, milliseconds wait, std::vector<task_id> renew);

    /// Polls the target for its slots and its clock only.
    /// @return nothing when the target did not respond in time.
    asio::awaitable<std::optional<sync_result>> probe(milliseconds timeout);

    /// @return nothing when the target did not respond.
    asio::awaitable<std::optional<target_task_report>> get_state(task_id id);

    /// @return the complete result; nothing when it did not arrive completely,
    ///   or when it belongs to another request.
    asio::awaitable<std::optional<std::string>> get_result(
        task_id id, request_id request);

    /// @return all tasks that the target runs, whichever session started them;
    ///   nothing when it did not respond.
    asio::awaitable<std::optional<std::vector<target_task>>> list_tasks();

    /// Applies an action to a task.
    /// @param action `checkpoint`, `throttle`, `resume` or `stop`.
    /// @return whether the target accepted it.
    asio::awaitable<bool> control(task_id id, std::string action);

    /// Asks the instance to reboot; its boot id changes once it has.
    /// @return whether the target accepted the request.
    asio::awaitable<bool> reboot();

    /// @return the newest reading; nothing before the first response.
    const std::optional<target_clock_reading>& get_clock_reading() const
    {
        return clock_;
    }

    const tcp::endpoint& get_endpoint() const { return client_.get_endpoint(); }

private:
    /// Sends a request and updates the clock reading from the response.
    asio::awaitable<http_result> send(
        http_request request, milliseconds timeout);
    asio::awaitable<std::optional<sync_result>> send_sync(
        std::string body, milliseconds timeout);

    http_client client_;
    std::optional<target_clock_reading> clock_;
};

} // namespace cowslippass
