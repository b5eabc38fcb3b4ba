#include "tests/main/entryd/test_entry.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

constexpr int target_count = 110;
constexpr int task_count = 100;
const std::string job_1 = "0000000000000001";

/// Three entries and a fleet that is large enough for relays.
class large_fleet_test : public entry_test
{
protected:
    large_fleet_test()
    {
        for (int i = 0; i < target_count; ++i)
            platform.add_target("t" + std::to_string(i), milliseconds(1'000));
        for (int i = 0; i < 3; ++i)
            entries.push_back(
                std::make_unique<test_entry>(io, platform, "127.0.0.1:0"));
    }

    void run(std::function<asio::awaitable<void>()> body)
    {
        entry_test::run(std::move(body), std::chrono::seconds(30));
        for (const auto& it : entries)
            EXPECT_TRUE(it->failures.empty()) << it->failures.front();
    }

    asio::awaitable<http_response> send(
        std::string method, std::string path, std::string body = {})
    {
        return send_to(
            *entries[0], std::move(method), std::move(path), std::move(body));
    }

    /// Waits until the coordinator's relays are selected and known.
    asio::awaitable<void> wait_until_ready()
    {
        while (!entries[0]->api.is_ready() || count_relayed("poll") == 0)
            co_await sleep(milliseconds(10));
    }

    asio::awaitable<void> submit()
    {
        http_response it = co_await send("POST", "/q/" + job_1,
            R"({"spec":"s","steps":[{"count":)" + std::to_string(task_count) +
                R"(,"cpu":1000,"memMb":100,"estimateMs":50}]})");
        EXPECT_EQ(it.status, 200U);
    }

    /// @return whether the job was completed within 15 s.
    asio::awaitable<bool> wait_for_end()
    {
        for (int i = 0; i < 750; ++i)
        {
            http_response it = co_await send("GET", "/q/" + job_1);
            if (it.body == R"({"state":"completed"})")
                co_return true;
            co_await sleep(milliseconds(20));
        }
        co_return false;
    }

    /// @return the number of requests of this kind that relays handled with
    ///   this outcome.
    std::size_t count_relayed(
        const std::string& kind, const std::string& outcome = "accepted") const
    {
        std::size_t out = 0;
        for (const auto& it : entries)
        {
            std::istringstream page(it->metrics.format());
            for (std::string line; std::getline(page, line);)
                if (line.starts_with("cowslippass_relayed_requests_total{") &&
                    line.find('"' + kind + '"') != std::string::npos &&
                    line.find('"' + outcome + '"') != std::string::npos)
                    out += std::stoul(line.substr(line.rfind(' ')));
        }
        return out;
    }

    void expect_each_task_started_once()
    {
        EXPECT_EQ(platform.get_start_counts().size(),
            static_cast<std::size_t>(task_count));
        for (const auto& [task, n] : platform.get_start_counts())
            EXPECT_EQ(n, 1) << task;
    }

    std::vector<std::unique_ptr<test_entry>> entries;
};

} // namespace

// Guards against a large fleet whose requests all leave from one process.
TEST_F(large_fleet_test, sends_requests_to_targets_through_relays)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            co_await sleep(milliseconds(500));
            co_await submit();
            EXPECT_TRUE(co_await wait_for_end());
            expect_each_task_started_once();
            EXPECT_GE(count_relayed("start"), 50U);
        });
}

// Guards against tasks that run twice or never end when their relays stop
// answering, and against relays that act late on what they received.
TEST_F(large_fleet_test, finishes_a_job_when_relays_freeze)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            co_await sleep(milliseconds(500));
            for (const auto& it : entries)
                it->is_frozen = !it->role.is_coordinator();
            co_await submit();
            co_await sleep(milliseconds(1'500));
            for (const auto& it : entries)
                it->is_frozen = false;
            EXPECT_TRUE(co_await wait_for_end());
            expect_each_task_started_once();
            // Relays send nothing of what they received while they were frozen.
            EXPECT_GT(count_relayed("start", "not_sent"), 0U);
            EXPECT_EQ(count_relayed("start", "accepted"), 0U);
        });
}

} // namespace cowslippass
