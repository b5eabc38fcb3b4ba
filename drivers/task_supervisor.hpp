#pragma once

#include "drivers/asio.hpp"

#include <functional>
#include <string>

namespace cowslippass
{

/// Starts coroutines that nobody waits for. An exception that leaves one of
/// them is reported, and ends neither the process nor a loop.
class task_supervisor
{
public:
    using task = std::function<asio::awaitable<void>()>;
    /// Receives each failure.
    /// @param name of the task.
    /// @param why description of the error for people.
    using failure_handler =
        std::function<void(const std::string& name, const std::string& why)>;

    /// Pause before a loop that has failed runs again.
    static constexpr std::chrono::milliseconds restart_pause{200};

    task_supervisor(asio::io_context& io, failure_handler on_failure);

    /// Runs a task once.
    /// @param on_error runs after a failure, to undo what the task has begun;
    ///   may be empty.
    void run_once(
        std::string name, task body, std::function<void()> on_error = {}) const;

    /// Runs a loop until it returns, and starts it again when it fails.
    /// @param is_over tells that the loop is no longer needed.
    void run_loop(
        std::string name, task body, std::function<bool()> is_over) const;

private:
    asio::io_context& io_;
    failure_handler on_failure_;
};

} // namespace cowslippass
