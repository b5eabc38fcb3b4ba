#include "tests/main/entryd/test_entry.hpp"

#include "platform/submission_codec.hpp"

#include <algorithm>
#include <deque>
#include <thread>

namespace cowslippass
{

namespace
{

const std::string job_1 = "0000000000000001";
const std::string path_1 = "/q/" + job_1;
/// The second step shows that the job goes on after a cancellation.
const char* const two_steps =
    R"({"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":100,
    "estimateMs":50},{"count":1,"cpu":1000,"memMb":100,"estimateMs":50,
    "after":[0]}]})";

/// Submissions, each with a cancellation at another distance.
constexpr int count = 41;
constexpr int step_ms = 6;
constexpr std::size_t limit = tombstone_options{}.max_count_per_team;
constexpr std::size_t excess = 50;

class early_cancel_test : public entry_test
{
protected:
    early_cancel_test()
    {
        platform.add_target("t1", milliseconds(300));
        first = entries.emplace_back(io, platform).node.get();
        second = entries.emplace_back(io, platform).node.get();
    }

    asio::awaitable<void> wait_until_ready()
    {
        while (!first->api.is_ready() || !second->api.is_ready() ||
               !(first->role.is_coordinator() || second->role.is_coordinator()))
            co_await sleep(milliseconds(10));
        if (second->role.is_coordinator())
            std::swap(first, second);
    }

    asio::awaitable<unsigned> submit(test_entry& to)
    {
        auto it = co_await send_to(to, "POST", path_1, two_steps);
        co_return it.status;
    }

    asio::awaitable<unsigned> cancel(test_entry& to)
    {
        auto it = co_await send_to(to, "DELETE", path_1);
        co_return it.status;
    }

    /// Fails if the job is accepted at this entry, known or has started.
    asio::awaitable<void> expect_no_acceptance(test_entry& at)
    {
        EXPECT_EQ(co_await submit(at), 410U);
        auto it = co_await send_to(at, "GET", path_1);
        EXPECT_EQ(it.status, 410U);
        EXPECT_EQ(co_await cancel(at), 410U);
        EXPECT_TRUE(platform.list_keys("jobs").empty());
        EXPECT_TRUE(platform.get_start_counts().empty());
    }

    /// An entry with a way to the store that can be cut off.
    struct separate_entry
    {
        separate_entry(asio::io_context& io, users_platform& platform)
            : access(platform.add_store_access()),
              node(std::make_unique<test_entry>(
                  io, platform, "127.0.0.1:0", &access))
        {
            node->settings.refuse_in_outage = true;
        }

        /// The process loses the store and answers its peers no more.
        void cut_off()
        {
            access.is_cut_off = true;
            node->is_frozen = true;
        }

        users_platform::store_access& access;
        std::unique_ptr<test_entry> node;
    };

    std::deque<separate_entry> entries;
    test_entry* first = nullptr; ///< Coordinator.
    test_entry* second = nullptr;
};

} // namespace

// Failure: an entry is paused with a submission that it has not read, and its
// caller cancels elsewhere. Guards against a submission that is accepted and
// run after its cancellation was acknowledged.
TEST_F(early_cancel_test, accepts_nothing_that_arrives_after_its_cancellation)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            EXPECT_EQ(co_await cancel(*first), 410U);
            co_await expect_no_acceptance(*second);
            co_await expect_no_acceptance(*first);
        });
}

// Guards against a successor that does not know of the cancellation: after a
// planned stop.
TEST_F(early_cancel_test, binds_the_successor_of_a_stopped_coordinator)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            EXPECT_EQ(co_await cancel(*second), 410U);
            first->role.resign();
            while (!second->role.is_coordinator())
                co_await sleep(milliseconds(20));
            co_await expect_no_acceptance(*second);
        });
}

// The same after the loss of the coordinator, and of its successor's.
TEST_F(early_cancel_test, binds_the_successors_of_a_lost_coordinator)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            EXPECT_EQ(co_await cancel(*first), 410U);
            for (int i = 0; i < 2; ++i)
            {
                std::ranges::find(entries, first,
                    [](const auto& it) { return it.node.get(); })
                    ->cut_off();
                while (!second->role.is_coordinator())
                    co_await sleep(milliseconds(20));
                first = second;
                second = entries.emplace_back(io, platform).node.get();
                while (!second->api.is_ready() ||
                       !second->role.is_coordinator_known())
                    co_await sleep(milliseconds(20));
                co_await expect_no_acceptance(*second);
            }
        });
}

// Failure: an outage in which a submission is withdrawn while its cancellation
// waits for the store. Guards against a cancellation that is acknowledged and
// forgotten with the submission.
TEST_F(early_cancel_test, binds_a_submission_that_was_withdrawn_meanwhile)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_store_unavailable(true);
            unsigned submitted = 0;
            asio::co_spawn(
                io,
                [&]() -> asio::awaitable<void>
                { submitted = co_await submit(*first); },
                asio::detached);
            unsigned cancelled = 0;
            co_await sleep(milliseconds(200));
            asio::co_spawn(
                io,
                [&]() -> asio::awaitable<void>
                { cancelled = co_await cancel(*first); },
                asio::detached);
            while (submitted == 0)
                co_await sleep(milliseconds(10));
            EXPECT_EQ(submitted, 429U);
            platform.set_store_unavailable(false);
            while (cancelled == 0)
                co_await sleep(milliseconds(10));
            EXPECT_EQ(cancelled, 410U);
            while (!first->api.is_ready())
                co_await sleep(milliseconds(10));
            co_await expect_no_acceptance(*first);
        });
}

// A submission and its cancellation arrive through two entries at all distances
// of each other, with a store that takes its time, so that each of them meets
// every step of the other. Guards against a second step that starts although
// the cancellation was acknowledged before.
TEST_F(early_cancel_test, holds_at_every_distance_from_the_submission)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            platform.set_transaction_time(milliseconds(40));
            int open = 2 * count;
            std::map<std::string, unsigned> cancelled;
            auto send_after = [&](milliseconds delay, test_entry& to,
                                  std::string method, std::string job)
            {
                asio::co_spawn(
                    io,
                    [&, delay, method, job]() -> asio::awaitable<void>
                    {
                        co_await sleep(delay);
                        auto it = co_await send_to(to, method, "/q/" + job,
                            method == "POST" ? two_steps : "");
                        if (method == "DELETE")
                            cancelled[job] = it.status;
                        --open;
                    },
                    asio::detached);
            };
            constexpr milliseconds submitted_after{step_ms * count / 2};
            for (int i = 0; i < count; ++i)
            {
                std::string job = "00000000000000" + std::to_string(10 + i);
                send_after(submitted_after, i % 2 == 0 ? *first : *second,
                    "POST", job);
                send_after(milliseconds(step_ms * i),
                    i % 2 == 0 ? *second : *first, "DELETE", job);
            }
            while (open > 0)
                co_await sleep(milliseconds(10));
            platform.set_transaction_time(milliseconds(0));
            co_await sleep(milliseconds(1'500));
            int early = 0;
            for (const auto& [job, status] : cancelled)
            {
                EXPECT_TRUE(status == 200U || status == 410U) << status;
                early += status == 410U ? 1 : 0;
                EXPECT_FALSE(
                    platform.get_start_counts().contains(job + ".0.1.0"))
                    << job;
                auto it = co_await send_to(*first, "GET", "/q/" + job);
                EXPECT_EQ(it.status, status) << job;
                bool is_canceled = it.body == R"({"state":"canceled"})";
                EXPECT_EQ(is_canceled, status == 200U) << job;
            }
            // Both orders were met.
            EXPECT_GT(early, 0);
            EXPECT_LT(early, count);
        });
}

// Guards against cancellations of arbitrary ids that fill the store and the
// memory without end, and against one that is acknowledged and not recorded.
TEST_F(early_cancel_test, bounds_the_cancellations_of_unknown_jobs)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            std::map<unsigned, std::size_t> statuses;
            std::size_t open = limit + excess;
            for (std::size_t i = 0; i < limit + excess; ++i)
                asio::co_spawn(
                    io,
                    [&, i]() -> asio::awaitable<void>
                    {
                        auto it = co_await send_to(*first, "DELETE",
                            "/q/00000000000" + std::to_string(10'000 + i));
                        ++statuses[it.status];
                        bool may_return = !it.get_header("Retry-After").empty();
                        EXPECT_EQ(may_return, it.status == 503U);
                        --open;
                    },
                    asio::detached);
            while (open > 0)
                co_await sleep(milliseconds(10));
            EXPECT_EQ(statuses[410U], limit);
            EXPECT_EQ(statuses[503U], excess);
            EXPECT_EQ(platform.list_keys("progress").size(), limit);
            auto it = co_await send_to(*first, "POST", path_1, two_steps);
            EXPECT_EQ(it.status, 200U);
        });
}

// Failure: the process was paused for longer than a caller waits. Guards
// against a submission that is handed in for a caller that has given up.
TEST_F(early_cancel_test, hands_in_nothing_whose_time_ran_out_in_a_pause)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            http_request request;
            request.method = "POST";
            request.path = path_1;
            request.headers["Host"] = "h:80";
            request.headers[wait_limit_header] = "1000";
            request.body = two_steps;
            std::this_thread::sleep_for(milliseconds(1'200));
            auto it = co_await first->api.handle(request);
            EXPECT_EQ(it.status, 503U);
            EXPECT_FALSE(it.get_header("Retry-After").empty());
            EXPECT_TRUE(platform.list_keys("jobs").empty());
            co_await sleep(milliseconds(700));
            it = co_await first->api.handle(request);
            EXPECT_EQ(it.status, 200U);
        });
}

// Guards against an operation that a process passes on after a pause in which
// its caller's time ran out.
TEST_F(early_cancel_test, passes_nothing_on_after_the_deadline)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await wait_until_ready();
            for (test_entry* it : {first, second})
            {
                peer_coordinator_call call;
                call.operation = coordinator_operation::submit;
                call.job = job_id(job_1);
                call.queue = queue_id("q");
                call.spec = encode_job_spec(decode_submission(two_steps));
                auto result = co_await it->role.call(
                    call, boot_clock::now() - milliseconds(1));
                EXPECT_FALSE(result.reply);
                EXPECT_FALSE(result.may_be_applied);
            }
            co_await sleep(milliseconds(300));
            EXPECT_TRUE(platform.list_keys("jobs").empty());
        });
}

} // namespace cowslippass
