#include "drivers/task_supervisor.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace cowslippass
{

// Guards against a loop that ends for good, without a word, by one unexpected
// exception.
TEST(task_supervisor, restarts_a_loop_that_failed)
{
    asio::io_context io;
    std::vector<std::string> failures;
    task_supervisor tasks(io,
        [&](const std::string& name, const std::string& why)
        { failures.push_back(name + ": " + why); });
    int runs = 0;
    tasks.run_loop(
        "loop",
        [&]() -> asio::awaitable<void>
        {
            ++runs;
            if (runs < 3)
                throw std::runtime_error("x");
            co_return;
        },
        [] { return false; });
    io.run_for(std::chrono::seconds(10));
    EXPECT_EQ(runs, 3);
    ASSERT_EQ(failures.size(), 2U);
    EXPECT_EQ(failures[0], "loop: it failed: x");
}

// Guards against a loop that is started again after its end.
TEST(task_supervisor, does_not_restart_a_loop_that_is_over)
{
    asio::io_context io;
    task_supervisor tasks(io, [](const std::string&, const std::string&) {});
    int runs = 0;
    tasks.run_loop(
        "loop",
        [&]() -> asio::awaitable<void>
        {
            ++runs;
            throw std::runtime_error("x");
            co_return;
        },
        [&] { return runs > 0; });
    io.run_for(std::chrono::seconds(10));
    EXPECT_EQ(runs, 1);
}

// Guards against state that a failed task leaves behind, such as the mark that
// it is in progress.
TEST(task_supervisor, undoes_what_a_failed_task_has_begun)
{
    asio::io_context io;
    int failures = 0;
    task_supervisor tasks(
        io, [&](const std::string&, const std::string&) { ++failures; });
    bool is_in_progress = true;
    bool is_undone_without_failure = false;
    tasks.run_once(
        "bad",
        []() -> asio::awaitable<void>
        {
            throw std::runtime_error("x");
            co_return;
        },
        [&] { is_in_progress = false; });
    tasks.run_once(
        "good", []() -> asio::awaitable<void> { co_return; },
        [&] { is_undone_without_failure = true; });
    io.run_for(std::chrono::seconds(10));
    EXPECT_EQ(failures, 1);
    EXPECT_FALSE(is_in_progress);
    EXPECT_FALSE(is_undone_without_failure);
}

} // namespace cowslippass
