#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cowslippass
{

namespace
{

cluster_options make_options(std::size_t entries = 2)
{
    cluster_options out;
    out.data_centres = 1;
    out.entries_per_data_centre = entries;
    out.targets_per_pool = 2;
    out.entry_settings["balancer_lag_ms"] = "500";
    return out;
}

/// Requests that run for two seconds, sent through all entries.
std::vector<std::future<caller_answer>> send_long_requests(
    test_fleet& fleet, const std::string& queue)
{
    std::vector<std::future<caller_answer>> out;
    std::size_t n = fleet.get_cluster().get_entries().size();
    for (std::size_t i = 0; i < 6; ++i)
    {
        caller_request request;
        request.queue = queue;
        request.request_id = queue + "-" + std::to_string(i);
        request.run_ms = "2000";
        out.push_back(std::async(std::launch::async,
            [&fleet, request, i, n] { return fleet.post(request, i % n); }));
    }
    return out;
}

void expect_planned_stop_cuts_nothing(test_fleet& fleet,
    const std::string& queue, const std::vector<std::size_t>& stopped)
{
    auto answers = send_long_requests(fleet, queue);
    EXPECT_TRUE(wait_until(
        [&] { return fleet.count_running() == 6; }, milliseconds(20'000)));
    std::vector<std::future<bool>> stops;
    for (std::size_t i : stopped)
    {
        auto& entry = fleet.get_cluster().get_entries()[i];
        stops.push_back(std::async(std::launch::async,
            [&entry] { return entry.process->stop(milliseconds(30'000)); }));
    }
    for (auto& it : stops)
        EXPECT_TRUE(it.get());
    for (auto& it : answers)
    {
        caller_answer answer = it.get();
        EXPECT_EQ(answer.status, 200u) << answer.body;
        EXPECT_EQ(answer.body, get_expected_result("payload"));
    }
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_EQ(fleet.count_runs(queue + "-" + std::to_string(i)), 1u);
}

} // namespace

// Guards against new work on a target that is about to go (I9).
TEST(leaving_targets, a_target_listed_as_leaving_gets_no_new_work)
{
    constexpr std::int64_t few_seconds_ms = 4'000;
    test_fleet fleet(make_options());
    caller_load load(fleet, caller_request{}, 8, {0, 1});
    fleet.get_cluster().publish_instances({"target-1-pool-1-1"});
    std::int64_t listed = get_unix_ms();
    std::this_thread::sleep_for(milliseconds(few_seconds_ms + 3'000));
    load.stop();
    std::int64_t last = 0;
    std::int64_t other = 0;
    for (const auto& it : list_starts(fleet))
        (it.target == "target-1-pool-1-1" ? last : other) = it.started_ms;
    EXPECT_GT(last, 0);
    EXPECT_LE(last, listed + few_seconds_ms);
    EXPECT_GT(other, listed + few_seconds_ms);
}

// Guards against entries that wait for news of the instance list from an entry
// that has died (I9). One of the two entries reads it for both.
TEST(leaving_targets, are_known_after_the_death_of_either_entry)
{
    constexpr std::int64_t few_seconds_ms = 4'000;
    for (std::size_t survivor : {0, 1})
    {
        test_fleet fleet(make_options());
        // The survivor has to learn of the list from the other one first.
        fleet.get_cluster().publish_instances();
        std::this_thread::sleep_for(milliseconds(3'000));
        fleet.get_cluster().get_entries()[1 - survivor].process->kill(SIGKILL);
        caller_load load(fleet, caller_request{}, 4, {survivor});
        fleet.get_cluster().publish_instances({"target-1-pool-1-1"});
        std::int64_t listed = get_unix_ms();
        std::this_thread::sleep_for(milliseconds(few_seconds_ms + 4'000));
        load.stop();
        std::int64_t other = 0;
        for (const auto& it : list_starts(fleet))
        {
            if (it.target != "target-1-pool-1-1")
                other = it.started_ms;
            else
                EXPECT_LE(it.started_ms, listed + few_seconds_ms);
        }
        EXPECT_GT(other, listed + few_seconds_ms);
    }
}

// Guards against requests that are cut by a planned stop of the entry that
// owns the pool (I10).
TEST(planned_stop, of_the_owner_cuts_no_request)
{
    test_fleet fleet(make_options());
    expect_planned_stop_cuts_nothing(
        fleet, "urgent", {find_pool_owner(fleet, "dc-1")});
}

TEST(planned_stop, of_the_owner_cuts_no_non_idempotent_request)
{
    test_fleet fleet(make_options());
    expect_planned_stop_cuts_nothing(
        fleet, "once", {find_pool_owner(fleet, "dc-1")});
}

// Guards against requests that are cut by a planned stop of the entry that
// forwarded them (I10).
TEST(planned_stop, of_a_forwarding_entry_cuts_no_request)
{
    test_fleet fleet(make_options());
    expect_planned_stop_cuts_nothing(
        fleet, "urgent", {1 - find_pool_owner(fleet, "dc-1")});
}

// Guards against requests that are cut when the owner of a pool and the entry
// that takes the pool over stop at the same time (I10).
TEST(planned_stop, of_two_entries_at_once_cuts_no_request)
{
    for (const char* queue : {"urgent", "once"})
    {
        test_fleet fleet(make_options(3));
        std::size_t owner = find_pool_owner(fleet, "dc-1");
        expect_planned_stop_cuts_nothing(
            fleet, queue, {owner, (owner + 1) % 3});
    }
}

} // namespace cowslippass
