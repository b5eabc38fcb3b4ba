#include "tests/main/entryd/test_entry.hpp"

namespace cowslippass
{

namespace
{

const std::string job_1 = "0000000000000001";
const std::string job_2 = "0000000000000002";
const char* const one_task =
    R"({"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":100,
    "estimateMs":50}]})";

class outage_test : public entry_test
{
protected:
    outage_test() { node.settings.refuse_in_outage = true; }

    asio::awaitable<http_response> send(
        std::string method, std::string path, std::string body = {})
    {
        return send_to(
            node, std::move(method), std::move(path), std::move(body));
    }

    asio::awaitable<void> wait_until_ready()
    {
        while (!node.api.is_ready())
            co_await sleep(milliseconds(10));
    }

    test_entry node{io, platform, "127.0.0.1:1"};
};

} // namespace

// Failure: the store refuses all transactions. Guards against submissions that
// are held until their callers give up, and against a refused one that runs.
TEST_F(outage_test, refuses_what_cannot_be_stored_and_never_runs_it)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_store_unavailable(true);
            // The first one is in the transaction that the store refuses, the
            // second one waits behind it.
            for (const std::string& job : {job_1, job_2})
            {
                http_response it = co_await send("POST", "/q/" + job, one_task);
                EXPECT_EQ(it.status, 429U);
                EXPECT_FALSE(it.get_header("Retry-After").empty());
            }
            platform.set_store_unavailable(false);
            co_await wait_until_ready();
            co_await sleep(milliseconds(500));
            EXPECT_TRUE(platform.get_start_counts().empty());
            EXPECT_TRUE(platform.list_keys("jobs").empty());
            http_response it = co_await send("GET", "/q/" + job_1);
            EXPECT_EQ(it.status, 410U);
        });
}

// Guards against a submission that was refused in an outage and is refused, or
// forgotten, after it.
TEST_F(outage_test, accepts_a_refused_submission_after_the_outage)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_store_unavailable(true);
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 429U);
            platform.set_store_unavailable(false);
            while (it.status != 200U)
            {
                co_await sleep(milliseconds(50));
                it = co_await send("POST", "/q/" + job_1, one_task);
            }
            while (it.body != R"({"state":"completed"})")
            {
                co_await sleep(milliseconds(50));
                it = co_await send("GET", "/q/" + job_1);
            }
            EXPECT_EQ(platform.get_start_counts().size(), 1U);
        });
}

// Guards against a refusal of a job that was accepted before the outage.
TEST_F(outage_test, does_not_refuse_an_accepted_job)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 200U);
            platform.set_store_unavailable(true);
            it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_NE(it.status, 429U);
            EXPECT_NE(it.status, 503U);
        });
}

// Failure: an outage in which a caller's second attempt comes while the first
// one is still held. Guards against an answer "accepted" for a submission that
// the first attempt has taken back.
TEST_F(outage_test, accepts_nothing_that_another_attempt_has_taken_back)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_store_unavailable(true);
            std::vector<unsigned> answers;
            for (int i = 0; i < 2; ++i)
                asio::co_spawn(
                    io,
                    [this, &answers]() -> asio::awaitable<void>
                    {
                        std::string path = "/q/" + job_1;
                        auto it = co_await send("POST", path, one_task);
                        answers.push_back(it.status);
                    },
                    asio::detached);
            while (answers.size() < 2)
                co_await sleep(milliseconds(20));
            for (unsigned status : answers)
                EXPECT_NE(status, 200U);
            platform.set_store_unavailable(false);
            co_await wait_until_ready();
            co_await sleep(milliseconds(500));
            EXPECT_TRUE(platform.get_start_counts().empty());
        });
}

// Failure: a slow store, with new submissions all the time. Guards against a
// submission that is refused after it was stored and has run, because the rows
// of later ones were waited for.
TEST_F(outage_test, refuses_nothing_that_has_run_while_the_store_is_slow)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_transaction_time(milliseconds(700));
            std::map<std::string, unsigned> answers;
            constexpr int n = 80;
            for (int i = 0; i < n; ++i)
            {
                asio::co_spawn(
                    io,
                    [this, &answers, i]() -> asio::awaitable<void>
                    {
                        std::string job =
                            "00000000000001" + std::to_string(10 + i);
                        std::string path = "/q/" + job;
                        auto it = co_await send("POST", path, one_task);
                        answers[job] = it.status;
                    },
                    asio::detached);
                co_await sleep(milliseconds(50));
            }
            while (answers.size() < n)
                co_await sleep(milliseconds(50));
            platform.set_transaction_time(milliseconds(0));
            co_await sleep(milliseconds(1'000));
            for (const auto& [job, status] : answers)
            {
                bool has_run =
                    platform.get_start_counts().contains(job + ".0.0.0");
                bool is_refused = status == 429U || status == 503U;
                EXPECT_FALSE(is_refused && has_run) << job << ' ' << status;
            }
        });
}

// Failure: no coordinator takes the role. Guards against a submission that
// nobody has received and that is held until its caller gives up.
TEST_F(outage_test, refuses_while_there_is_no_coordinator)
{
    platform.set_store_unavailable(true);
    run(
        [this]() -> asio::awaitable<void>
        {
            platform.set_store_unavailable(false);
            while (!node.config.get_state().config)
                co_await sleep(milliseconds(5));
            platform.set_store_unavailable(true);
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_TRUE(it.status == 503U || it.status == 429U) << it.status;
            EXPECT_FALSE(it.get_header("Retry-After").empty());
            platform.set_store_unavailable(false);
            co_await wait_until_ready();
            EXPECT_TRUE(platform.list_keys("jobs").empty());
        });
}

} // namespace cowslippass
