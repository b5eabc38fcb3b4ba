#pragma once

#include "core/core.hpp"
#include "drivers/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

enum class target_task_state
{
    running,
    done,
    failed,
    stopped,
    lapsed, ///< Stopped by the target, as its lease ran out.
    unknown ///< The target has no record of the task.
};

struct target_task
{
    task_id id;
    target_task_state state = target_task_state::unknown;
};

struct start_request
{
    task_id id;
    session_id owner;
    target_time start_before;
    std::string boot; ///< The boot id that `start_before` belongs to.
    milliseconds lease{0};
    bool is_urgent = true;
    request_id request;
    std::string run_ms; ///< Hint; may be empty.
    std::string payload;
};

enum class start_outcome
{
    started,
    already_known, ///< The task had been started before; not started again.
    no_slot,
    leaving,
    deadline_passed,
    not_sent,
    unknown ///< The target may have started it.
};

/// @return whether the outcome proves that the request started nothing.
bool is_proof_of_no_start(start_outcome outcome);

/// @return the outcome's name in logs and error codes.
std::string get_name(start_outcome outcome);

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
    target_time time;        ///< When the target made its answer.
    monotonic_time received; ///< When the answer had arrived here.
};

/// The state of a task, and the target's clock when it reported it.
struct target_task_report
{
    target_task_state state = target_task_state::unknown;
    target_clock_reading clock;
};

/// Talks to one target. Every operation may be repeated safely.
class target_client
{
public:
    /// 9 entries with 7 connections each use 63 of a target's 64.
    static constexpr std::size_t max_connections = 7;

    target_client(asio::io_context& io, const tcp::endpoint& target);

    asio::awaitable<start_outcome> start(start_request request);

    /// Renews leases and waits for the end of a task of this owner.
    /// @return nothing when the target did not answer in time.
    asio::awaitable<std::optional<sync_result>> sync(session_id owner,
        milliseconds lease, milliseconds wait, std::vector<task_id> renew);

    /// Asks for the slots and the clock only.
    /// @return nothing when the target did not answer in time.
    asio::awaitable<std::optional<sync_result>> probe(milliseconds timeout);

    /// @return nothing when the target did not answer.
    asio::awaitable<std::optional<target_task_report>> get_state(task_id id);

    /// @return the whole result; nothing when it did not arrive whole.
    asio::awaitable<std::optional<std::string>> get_result(
        task_id id, request_id request);

    /// @return tasks that run on the target, whoever started them.
    asio::awaitable<std::optional<std::vector<target_task>>> list_tasks();

    /// @param action `checkpoint`, `throttle`, `resume` or `stop`.
    asio::awaitable<bool> control(task_id id, std::string action);

    /// Asks the instance to reboot; its boot id changes when it has.
    asio::awaitable<bool> reboot();

    /// @return the newest reading, or nothing before the first answer.
    const std::optional<target_clock_reading>& get_clock() const
    {
        return clock_;
    }

    const tcp::endpoint& get_endpoint() const { return client_.get_endpoint(); }

private:
    asio::awaitable<http_result> fetch(
        http_request request, milliseconds timeout);
    asio::awaitable<std::optional<sync_result>> send_sync(
        std::string body, milliseconds timeout);

    http_client client_;
    std::optional<target_clock_reading> clock_;
};

} // namespace cowslippass
