#include "tests/main/entryd/test_entry.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace cowslippass
{

namespace
{

constexpr const char* one_task =
    R"({"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":100,
    "estimateMs":50}]})";
constexpr const char* two_steps =
    R"({"spec":"s","steps":[{"count":3,"cpu":1000,"memMb":100,
    "estimateMs":50},{"count":1,"cpu":1000,"memMb":100,"estimateMs":50,
    "after":[0]}]})";
/// More tasks than one target can run, all at the same time.
constexpr const char* wide_gang =
    R"({"spec":"s","steps":[{"count":6,"cpu":1000,"memMb":100,
    "estimateMs":50,"gang":true}]})";

class entry_end_to_end_test : public entry_test
{
protected:
    asio::awaitable<http_response> send(
        std::string method, std::string path, std::string body = {})
    {
        return send_to(
            *node, std::move(method), std::move(path), std::move(body));
    }

    asio::awaitable<void> wait_until_ready()
    {
        while (!node->api.is_ready())
            co_await sleep(milliseconds(10));
    }

    /// @return whether the job was reported in this state within 5 s.
    asio::awaitable<bool> wait_for(std::string job, std::string state)
    {
        for (int i = 0; i < 250; ++i)
        {
            http_response it = co_await send("GET", "/q/" + job);
            if (it.body == "{\"state\":\"" + state + "\"}")
                co_return true;
            co_await sleep(milliseconds(20));
        }
        co_return false;
    }

    std::unique_ptr<test_entry> node =
        std::make_unique<test_entry>(io, platform, "127.0.0.1:1");
};

const std::string job_1 = "0000000000000001";
const std::string job_2 = "0000000000000002";

/// @return a submission of one step with many small tasks.
std::string make_wide_job(int tasks)
{
    return R"({"spec":"s","steps":[{"count":)" + std::to_string(tasks) +
           R"(,"cpu":1,"memMb":1,"estimateMs":50}]})";
}

/// @return a submission of steps of one task, each after the one before.
std::string make_long_job(int steps)
{
    std::string out = R"({"spec":"s","steps":[)";
    for (int i = 0; i < steps; ++i)
        out += std::string(i > 0 ? "," : "") +
               R"({"count":1,"cpu":1,"memMb":1,"estimateMs":1,"dataRack":)" +
               R"("rack-with-a-long-name-)" + std::to_string(i) + '"' +
               (i > 0 ? R"(,"after":[)" + std::to_string(i - 1) + "]}" : "}");
    return out + "]}";
}

} // namespace

// Guards against faults between the parts of an entry. A job is accepted, its
// steps run in order, each task runs once, and its end is reported. A repeated
// submission adds no second job.
TEST_F(entry_end_to_end_test, runs_a_job_to_completion)
{
    platform.add_target("t1", milliseconds(60));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it = co_await send("POST", "/q/" + job_1, two_steps);
            EXPECT_EQ(it.status, 200U);
            EXPECT_FALSE(platform.get_row("jobs", job_1).empty());
            it = co_await send("POST", "/q/" + job_1, two_steps);
            EXPECT_EQ(it.status, 200U);
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            EXPECT_EQ(platform.get_start_counts().size(), 4U);
            for (const auto& [task, n] : platform.get_start_counts())
                EXPECT_EQ(n, 1) << task;
            it = co_await send("GET", "/q/" + job_2);
            EXPECT_EQ(it.status, 410U);
            it = co_await send("GET", "/q/");
            EXPECT_EQ(it.body, "{\"pending\":0}");
            it = co_await send("GET", "/other/");
            EXPECT_EQ(it.status, 404U);
        });
}

// Guards against a target that is never used again after it was removed: its
// row disappeared from the list during a network partition and came back.
TEST_F(entry_end_to_end_test, uses_a_target_that_is_listed_again)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            platform.unlist_target("t1");
            co_await sleep(milliseconds(500));
            // The next poll of an idle target, after 4 s, closes the link of
            // the removed target.
            co_await sleep(milliseconds(4'200));
            platform.list_target("t1");
            co_await send("POST", "/q/" + job_2, one_task);
            EXPECT_TRUE(co_await wait_for(job_2, "completed"));
        });
}

// Guards against a target that crashes and is back under its id before any poll
// or row tells of it: a poll with the acknowledgement of the former life made
// it forget the end of a task that nobody had seen, and the task ran again.
TEST_F(entry_end_to_end_test, acknowledges_no_end_to_another_life_of_a_target)
{
    platform.add_target("t1", milliseconds(0));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            for (int i = 0; i < 5; ++i)
            {
                // The acknowledgement of its end waits for the next poll.
                std::string first = "000000000000000" + std::to_string(2 * i);
                co_await send("POST", "/q/" + first, one_task);
                EXPECT_TRUE(co_await wait_for(first, "completed"));
                co_await sleep(milliseconds(400));
                platform.restart_target("t1", milliseconds(0));
                std::string next =
                    "000000000000000" + std::to_string(2 * i + 1);
                co_await send("POST", "/q/" + next, one_task);
                EXPECT_TRUE(co_await wait_for(next, "completed"));
            }
            for (const auto& [task, n] : platform.get_start_counts())
                EXPECT_EQ(n, 1) << task;
        });
}

// Guards against starts and leases that are computed from the clock of a former
// life: the list of targets tells of a new one before the next poll, which an
// idle target gets seconds later.
TEST_F(entry_end_to_end_test, asks_a_new_life_of_a_target_at_once)
{
    platform.add_target("t1", milliseconds(0));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            // Until the target counts as idle.
            co_await sleep(milliseconds(1'000));
            platform.restart_target("t1", milliseconds(0));
            platform.list_target("t1");
            co_await sleep(milliseconds(1'500));
            EXPECT_GE(platform.get_poll_count("t1"), 1);
        });
}

// Guards against a replaced coordinator that does not know of its end yet: it
// told callers from memory that there was no such job, or none pending, and
// they gave up, although its successor had the job.
TEST_F(entry_end_to_end_test, denies_no_job_without_a_confirmed_term)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_store_unavailable(true);
            // A transaction that was applied before is answered.
            co_await sleep(milliseconds(50));
            int answers = 0;
            auto ask = [&](std::string method,
                           std::string path) -> asio::awaitable<void>
            {
                http_response it = co_await send(method, path);
                EXPECT_GE(it.status, 500U) << method << ' ' << path;
                ++answers;
            };
            asio::co_spawn(io, ask("DELETE", "/q/" + job_1), asio::detached);
            asio::co_spawn(io, ask("GET", "/q/" + job_1), asio::detached);
            co_await ask("GET", "/q/");
            while (answers < 3)
                co_await sleep(milliseconds(10));
            platform.set_store_unavailable(false);
            co_await wait_until_ready();
            http_response it = co_await send("DELETE", "/q/" + job_1);
            EXPECT_EQ(it.status, 410U);
            it = co_await send("GET", "/q/" + job_1);
            EXPECT_EQ(it.status, 410U);
            it = co_await send("GET", "/q/");
            EXPECT_EQ(it.body, "{\"pending\":0}");
        });
}

// Guards against a job that is lost with its coordinator, and against a task
// that the successor starts again although it is still running.
TEST_F(entry_end_to_end_test, resumes_the_jobs_of_a_lost_coordinator)
{
    platform.add_target("t1", milliseconds(2'500));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_TRUE(co_await wait_for(job_1, "running"));
            // The new entry has another port and gets no reply from the old
            // one.
            auto lost = std::move(node);
            lost->role.resign();
            node = std::make_unique<test_entry>(io, platform, "127.0.0.1:2");
            co_await wait_until_ready();
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            EXPECT_EQ(platform.get_start_counts().at(job_1 + ".0.0.0"), 1);
            lost.release();
        });
}

// Guards against a submission that is reported as not accepted although it may
// have been stored, and against one that is accepted while the store cannot be
// written.
TEST_F(entry_end_to_end_test, neither_accepts_nor_refuses_without_the_store)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_store_unavailable(true);
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 504U);
            platform.set_store_unavailable(false);
            co_await wait_until_ready();
            it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 200U);
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
        });
}

// Guards against more instances in maintenance than a wave allows, which
// happens if a successor sends orders while an order of its predecessor is
// still in flight.
TEST_F(entry_end_to_end_test, releases_the_term_only_when_no_order_is_in_flight)
{
    platform.add_instance("m1");
    platform.add_instance("m2");
    platform.publish_wave(1, 1);
    platform.set_holding_order_replies(true);
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            while (platform.get_maintained_instances().empty())
                co_await sleep(milliseconds(20));
            node->role.resign();
            co_await sleep(milliseconds(600));
            EXPECT_TRUE(node->role.is_coordinator());
            platform.set_holding_order_replies(false);
            for (int i = 0; i < 50 && node->role.is_coordinator(); ++i)
                co_await sleep(milliseconds(20));
            EXPECT_FALSE(node->role.is_coordinator());
            // A successor reads from the ledger which instances have begun
            // their maintenance.
            EXPECT_FALSE(platform.get_row("waves", "1").empty());
            EXPECT_EQ(platform.get_maintained_instances().size(), 1U);
        });
}

// Guards against a task that runs twice when its first target is unreachable.
// The successor of a released term relies on it that no earlier coordinator
// extends leases any more, so the term must not be released while a failed
// predecessor may still do so.
TEST_F(entry_end_to_end_test,
    keeps_the_term_while_a_lost_coordinator_may_extend_leases)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            ledger_head lost;
            lost.term = fencing_token(5);
            lost.holder = "lost";
            lost.address = "127.0.0.1:9";
            ledger_batch batch{row_version(0), lost, {}};
            batch_result answer =
                co_await node->store.commit(batch, milliseconds(500));
            EXPECT_EQ(answer.outcome, batch_result::kind::committed);
            while (!node->role.is_coordinator())
                co_await sleep(milliseconds(20));
            boot_time taken_over_at = boot_clock::now();
            node->role.resign();
            co_await sleep(milliseconds(1'000));
            EXPECT_TRUE(node->role.is_coordinator());
            // Jobs are still executed until the term is released.
            co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            while (node->role.is_coordinator())
                co_await sleep(milliseconds(20));
            EXPECT_GE(boot_clock::now() - taken_over_at, milliseconds(3'700));
        });
}

// Guards against a submission whose number of tasks wraps in the check of its
// size: planning it occupied one coordinator after the other for ever. Entries
// of another version may pass it on without their own check.
TEST_F(entry_end_to_end_test, refuses_a_job_whose_size_overflows)
{
    platform.add_target("t1", milliseconds(20));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            std::string steps;
            for (int i = 0; i < 64; ++i)
                steps += R"({"count":4294967295},)";
            http_response it = co_await send("POST", "/q/" + job_1,
                R"({"spec":"s","repeatCount":2147483648,"intervalMs":60000,)"
                R"("startTimeMs":4000000000000,"steps":[)" +
                    steps + R"({"count":64}]})");
            EXPECT_EQ(it.status, 400U);
            job_spec spec;
            spec.steps.resize(64);
            for (step_spec& step : spec.steps)
                step.task_count = std::numeric_limits<std::uint32_t>::max();
            spec.steps.emplace_back().task_count = 64;
            spec.repeat_count = 1U << 31;
            peer_coordinator_call call;
            call.operation = coordinator_operation::submit;
            call.job = job_id(job_1);
            call.queue = queue_id("q");
            call.spec = encode_job_spec(spec);
            auto reply = co_await node->role.handle_peer_call(call);
            EXPECT_EQ(reply.result, coordinator_result::invalid);
            EXPECT_TRUE(platform.list_keys("jobs").empty());
            it = co_await send("POST", "/q/" + job_2, one_task);
            EXPECT_EQ(it.status, 200U);
            EXPECT_TRUE(co_await wait_for(job_2, "completed"));
        });
}

// Failure: a gang with more members than requests can be sent to a target
// within the time-out of one. Guards against members that count as failed
// because they waited for one of our own connections: the others were started
// and waited in vain, round after round.
TEST_F(entry_end_to_end_test, starts_each_member_of_a_large_gang_once)
{
    platform.add_target("t1", std::chrono::seconds(10));
    platform.set_target_delay(milliseconds(3));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            constexpr std::size_t member_count = 640;
            constexpr milliseconds gang_wait{3'000};
            http_response it = co_await send("POST", "/q/" + job_1,
                R"({"spec":"s","steps":[{"count":640,"cpu":1,"memMb":1,)"
                R"("estimateMs":50,"gang":true}]})");
            EXPECT_EQ(it.status, 200U);
            while (platform.get_start_counts().size() < member_count)
                co_await sleep(milliseconds(10));
            co_await sleep(milliseconds(500));
            for (const auto& [task, n] : platform.get_start_counts())
                EXPECT_EQ(n, 1) << task;
            EXPECT_LT(platform.get_start_span(), gang_wait);
        });
}

// Failure: a target that is silent has many starts waiting for it. Guards
// against tasks that wait for its time-outs one after the other, and against
// ones that run twice because of it.
TEST_F(entry_end_to_end_test, starts_elsewhere_what_waits_for_a_silent_target)
{
    platform.add_target("t1", std::chrono::seconds(10));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it =
                co_await send("POST", "/q/" + job_1, make_wide_job(1));
            while (platform.get_start_counts().empty())
                co_await sleep(milliseconds(10));
            platform.add_target("t2", std::chrono::seconds(10));
            while (platform.get_poll_count("t2") == 0)
                co_await sleep(milliseconds(10));
            // The fuller target is chosen first.
            platform.set_unreachable("t1", true);
            boot_time from = boot_clock::now();
            it = co_await send("POST", "/q/" + job_2, make_wide_job(60));
            EXPECT_EQ(it.status, 200U);
            // All but those that were sent and may have started.
            while (platform.get_start_counts().size() < 50)
                co_await sleep(milliseconds(10));
            EXPECT_LT(boot_clock::now() - from, milliseconds(3'000));
            platform.set_unreachable("t1", false);
            while (platform.get_start_counts().size() < 61)
                co_await sleep(milliseconds(10));
            for (const auto& [task, n] : platform.get_start_counts())
                EXPECT_EQ(n, 1) << task;
        });
}

// Guards against a job whose running tasks need more bytes than one row of the
// store holds: the refused transaction was repeated for ever, and nothing of
// anybody was accepted or cancelled. A successor must not run its tasks again.
TEST_F(entry_end_to_end_test, serves_others_beside_a_job_of_many_running_tasks)
{
    constexpr int task_count = 1'500;
    platform.add_target("target-" + std::string(60, 't'), milliseconds(6'000));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it =
                co_await send("POST", "/q/" + job_1, make_wide_job(task_count));
            EXPECT_EQ(it.status, 200U);
            while (platform.get_start_counts().size() < task_count)
                co_await sleep(milliseconds(20));
            it = co_await send("POST", "/q/" + job_2, one_task);
            EXPECT_EQ(it.status, 200U);
            it = co_await send("DELETE", "/q/" + job_2);
            EXPECT_EQ(it.status, 200U);
            EXPECT_EQ(platform.get_refused_size_count(), 0);
            auto lost = std::move(node);
            lost->role.resign();
            node = std::make_unique<test_entry>(io, platform, "127.0.0.1:2");
            co_await wait_until_ready();
            bool is_completed = false;
            for (int i = 0; i < 5 && !is_completed; ++i)
                is_completed = co_await wait_for(job_1, "completed");
            EXPECT_TRUE(is_completed);
            for (const auto& [task, n] : platform.get_start_counts())
                EXPECT_EQ(n, 1) << task;
            // Only the rows that tell the results are left.
            const std::vector<std::string> results{job_1, job_2};
            for (int i = 0; i < 100; ++i)
                if (platform.list_keys("progress") != results)
                    co_await sleep(milliseconds(20));
            EXPECT_EQ(platform.list_keys("progress"), results);
            EXPECT_TRUE(platform.list_keys("jobs").empty());
            lost.release();
        },
        std::chrono::seconds(60));
}

// Guards against a submission whose own row exceeds the store's limit: it was
// neither accepted nor refused, and blocked all others.
TEST_F(entry_end_to_end_test, accepts_a_job_that_exceeds_one_row)
{
    platform.add_target("t1", milliseconds(1));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it =
                co_await send("POST", "/q/" + job_1, make_long_job(1'000));
            EXPECT_EQ(it.status, 200U);
            EXPECT_EQ(platform.get_refused_size_count(), 0);
            EXPECT_GT(platform.list_keys("jobs").size(), 1U);
            it = co_await send("POST", "/q/" + job_2, one_task);
            EXPECT_EQ(it.status, 200U);
            // A successor restores the whole job and goes on with it.
            auto lost = std::move(node);
            lost->role.resign();
            auto before = platform.get_start_counts().size();
            node = std::make_unique<test_entry>(io, platform, "127.0.0.1:2");
            co_await wait_until_ready();
            for (int i = 0; i < 500; ++i)
                if (platform.get_start_counts().size() <= before + 2)
                    co_await sleep(milliseconds(20));
            EXPECT_GT(platform.get_start_counts().size(), before + 2);
            it = co_await send("DELETE", "/q/" + job_1);
            EXPECT_EQ(it.status, 200U);
            lost.release();
        },
        std::chrono::seconds(40));
}

// Guards against a job that is never continued because its queue was removed
// from the configuration before the coordinator was lost: only the lost one
// knew the queue.
TEST_F(
    entry_end_to_end_test, continues_jobs_of_a_removed_queue_after_a_takeover)
{
    platform.add_target("t1", milliseconds(1'500));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            co_await send("POST", "/q/" + job_1, two_steps);
            EXPECT_TRUE(co_await wait_for(job_1, "running"));
            platform.publish_config(2, false);
            while ((co_await send("GET", "/q/" + job_1)).status != 404)
                co_await sleep(milliseconds(10));
            auto lost = std::move(node);
            lost->role.resign();
            node = std::make_unique<test_entry>(io, platform, "127.0.0.1:2");
            const std::string second_step = job_1 + ".0.1.0";
            for (int i = 0; i < 400; ++i)
                if (!platform.get_start_counts().contains(second_step))
                    co_await sleep(milliseconds(20));
            EXPECT_TRUE(platform.get_start_counts().contains(second_step));
            platform.publish_config(3, true);
            co_await wait_until_ready();
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            platform.publish_config(4, false);
            // Nothing is kept of a removed queue without jobs.
            for (int i = 0; i < 200 && !platform.list_keys("queues").empty();
                 ++i)
                co_await sleep(milliseconds(20));
            EXPECT_TRUE(platform.list_keys("queues").empty());
            lost.release();
        });
}

// Guards against a gang that waits for capacity and is neither shown as queued
// nor counted as pending.
TEST_F(entry_end_to_end_test, counts_a_waiting_gang_as_pending)
{
    platform.add_target("t1", milliseconds(50));
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it = co_await send("POST", "/q/" + job_1, wide_gang);
            EXPECT_EQ(it.status, 200U);
            co_await sleep(milliseconds(500));
            it = co_await send("GET", "/q/");
            EXPECT_EQ(it.body, "{\"pending\":1}");
            it = co_await send("GET", "/q/" + job_1);
            EXPECT_EQ(it.body, "{\"state\":\"queued\"}");
            platform.add_target("t2", milliseconds(50));
            EXPECT_TRUE(co_await wait_for(job_1, "completed"));
            it = co_await send("GET", "/q/");
            EXPECT_EQ(it.body, "{\"pending\":0}");
        });
}

// Guards against a maintenance wave whose row exceeds the store's limit: the
// refused transaction blocked everything else, and the wave never ended.
TEST_F(entry_end_to_end_test, maintains_a_wave_that_exceeds_one_row)
{
    constexpr int instance_count = 300;
    for (int i = 0; i < instance_count; ++i)
        platform.add_instance(std::string(180, 'm') + std::to_string(i));
    platform.publish_wave(1, instance_count);
    node->settings.instance_orders_per_s = 1'000;
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            for (int i = 0; i < 700; ++i)
                if (platform.get_maintained_instances().size() < instance_count)
                    co_await sleep(milliseconds(20));
            EXPECT_EQ(platform.get_maintained_instances().size(),
                std::size_t{instance_count});
            EXPECT_EQ(platform.get_refused_size_count(), 0);
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 200U);
        });
}

// Guards against one job that stops all others: the store rejects its row, and
// the transaction was repeated for ever. Its caller gets a clear answer.
TEST_F(entry_end_to_end_test, refuses_a_job_whose_row_the_store_rejects)
{
    platform.add_target("t1", milliseconds(20));
    platform.reject_row("jobs", job_1);
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 400U);
            it = co_await send("POST", "/q/" + job_2, one_task);
            EXPECT_EQ(it.status, 200U);
            EXPECT_TRUE(co_await wait_for(job_2, "completed"));
            it = co_await send("GET", "/q/" + job_1);
            EXPECT_EQ(it.status, 410U);
            it = co_await send("GET", "/q/");
            EXPECT_EQ(it.body, "{\"pending\":0}");
            EXPECT_FALSE(
                platform.get_start_counts().contains(job_1 + ".0.0.0"));
            EXPECT_TRUE(platform.get_row("progress", job_1).empty());
        });
}

// Guards against one accepted job that stops all others because the store
// rejects its progress. Its tasks must not start, as a successor would not know
// of them, and a cancellation that is not stored must not be confirmed.
TEST_F(entry_end_to_end_test, holds_a_job_whose_progress_the_store_rejects)
{
    platform.add_target("t1", milliseconds(20));
    platform.reject_row("progress", job_1);
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_response it = co_await send("POST", "/q/" + job_1, one_task);
            EXPECT_EQ(it.status, 200U);
            it = co_await send("POST", "/q/" + job_2, one_task);
            EXPECT_EQ(it.status, 200U);
            EXPECT_TRUE(co_await wait_for(job_2, "completed"));
            EXPECT_FALSE(
                platform.get_start_counts().contains(job_1 + ".0.0.0"));
            it = co_await send("DELETE", "/q/" + job_1);
            EXPECT_EQ(it.status, 504U);
        });
}

} // namespace cowslippass
