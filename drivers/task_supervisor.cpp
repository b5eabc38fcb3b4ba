#include "drivers/task_supervisor.hpp"

namespace cowslippass
{

namespace
{

/// @return the description of the error; empty if the task succeeded.
asio::awaitable<std::string> run_guarded(task_supervisor::task body)
{
    try
    {
        co_await body();
    }
    catch (const std::exception& e)
    {
        co_return std::string("it failed: ") + e.what();
    }
    co_return std::string();
}

asio::awaitable<void> run_to_end(std::string name, task_supervisor::task body,
    std::function<void()> on_error, task_supervisor::failure_handler on_failure)
{
    std::string why = co_await run_guarded(std::move(body));
    if (why.empty())
        co_return;
    on_failure(name, why);
    if (on_error)
        on_error();
}

asio::awaitable<void> run_until_over(asio::io_context& io, std::string name,
    task_supervisor::task body, std::function<bool()> is_over,
    task_supervisor::failure_handler on_failure)
{
    while (!is_over())
    {
        std::string why = co_await run_guarded(body);
        if (why.empty())
            co_return;
        on_failure(name, why);
        asio::steady_timer pause(io);
        pause.expires_after(task_supervisor::restart_pause);
        boost::system::error_code ec;
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace

task_supervisor::task_supervisor(
    asio::io_context& io, failure_handler on_failure)
    : io_(io), on_failure_(std::move(on_failure))
{
}

void task_supervisor::run_once(
    std::string name, task body, std::function<void()> on_error) const
{
    asio::co_spawn(io_,
        run_to_end(
            std::move(name), std::move(body), std::move(on_error), on_failure_),
        asio::detached);
}

void task_supervisor::run_loop(
    std::string name, task body, std::function<bool()> is_over) const
{
    asio::co_spawn(io_,
        run_until_over(io_, std::move(name), std::move(body),
            std::move(is_over), on_failure_),
        asio::detached);
}

} // namespace cowslippass
