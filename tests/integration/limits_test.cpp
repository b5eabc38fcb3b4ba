#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <future>

namespace cowslippass
{

namespace
{

cluster_options make_options()
{
    cluster_options out;
    out.data_centres = 2;
    out.entries_per_data_centre = 2;
    out.target_flags = {"--run-ms=150"};
    out.entry_settings["freshness_limit_ms"] = "2000";
    out.entry_settings["heartbeat_interval_ms"] = "500";
    out.entry_settings["session_death_ms"] = "3000";
    out.entry_settings["task_lease_ms"] = "3000";
    return out;
}

caller_request make_request()
{
    caller_request out;
    out.deadline_ms = "2000";
    out.timeout = milliseconds(5'000);
    return out;
}

void lose_replies_for(test_fleet& fleet, milliseconds duration)
{
    auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end)
    {
        set_control(
            fleet.get_cluster().get_platform_endpoint(), {{"lose_replies", 1}});
        std::this_thread::sleep_for(milliseconds(300));
    }
    set_control(
        fleet.get_cluster().get_platform_endpoint(), {{"lose_replies", 0}});
}

} // namespace

// Guards against more running tasks than a team's limit (I4) when grants are
// held by entries that are killed or paused, and when the outcome of a write
// of grants is unknown.
TEST(limits, hold_while_entries_are_killed_and_paused_and_replies_are_lost)
{
    constexpr std::size_t limit = 5;
    test_fleet fleet(make_options());
    auto& entries = fleet.get_cluster().get_entries();
    fleet.run("set team red limit " + std::to_string(limit), 0, true);
    std::int64_t since = get_unix_ms();
    caller_load load(fleet, make_request(), 24, {0, 1, 2, 3});
    // Without the limit the 24 callers fill the 16 slots.
    EXPECT_TRUE(wait_until([&]
        { return find_highest_running(list_starts(fleet, since)) >= limit; },
        milliseconds(20'000)));
    auto& paused = entries[find_pool_owner(fleet, "dc-2")];
    paused.process->kill(SIGSTOP);
    // Longer than the death of its session.
    lose_replies_for(fleet, milliseconds(6'000));
    paused.process->kill(SIGCONT);
    lose_replies_for(fleet, milliseconds(1'500));
    entries[find_pool_owner(fleet, "dc-1")].process->kill(SIGKILL);
    lose_replies_for(fleet, milliseconds(5'000));
    load.stop();
    auto starts = list_starts(fleet, since);
    EXPECT_LE(find_highest_running(starts), limit);
    EXPECT_GT(load.get_success_count(), 0u);
    EXPECT_EQ(load.get_wrong_count(), 0u);
}

// Guards against grants of dead entries that are lost, or that are used again
// while tasks that were started with them may still run (I4).
TEST(limits, grants_of_dead_entries_are_used_again_within_the_limit)
{
    constexpr std::size_t limit = 4;
    cluster_options options = make_options();
    // Leases of dead entries' tasks run on after the end of the session.
    options.entry_settings["task_lease_ms"] = "10000";
    test_fleet fleet(options);
    auto& entries = fleet.get_cluster().get_entries();
    fleet.run("set team red limit " + std::to_string(limit), 0, true);
    std::int64_t since = get_unix_ms();
    caller_request request = make_request();
    request.run_ms = "12000";
    request.deadline_ms = "14000";
    auto runs_at_limit = [&](const std::string& data_centre)
    {
        std::int64_t now = get_unix_ms();
        return std::ranges::count_if(list_starts(fleet, since),
                   [&](const recorded_start& it)
                   {
                       return it.data_centre == data_centre &&
                              it.started_ms <= now && it.ended_ms > now;
                   }) >= std::ptrdiff_t(limit);
    };
    caller_load first(fleet, request, 12, {2, 3});
    EXPECT_TRUE(wait_until(
        [&] { return runs_at_limit("dc-2"); }, milliseconds(20'000)));
    // The janitor is in the first data centre and ends the sessions at once.
    for (std::size_t i : {2, 3})
        entries[i].process->kill(SIGKILL);
    request.run_ms = "1500";
    request.deadline_ms = "4000";
    caller_load second(fleet, request, 12, {0, 1});
    EXPECT_TRUE(wait_until(
        [&] { return runs_at_limit("dc-1"); }, milliseconds(60'000)));
    first.stop();
    second.stop();
    EXPECT_EQ(find_highest_running(list_starts(fleet, since)), limit);
}

// Guards against starts under a limit that is no longer in force (I4).
TEST(limits, a_lowered_limit_allows_no_start_above_it_once_in_force)
{
    constexpr std::size_t lowered = 3;
    test_fleet fleet(make_options());
    fleet.run("set team red limit 10", 0, true);
    std::int64_t since = get_unix_ms();
    caller_load load(fleet, make_request(), 24, {0, 1, 2, 3});
    EXPECT_TRUE(wait_until([&]
        { return find_highest_running(list_starts(fleet, since)) >= 8; },
        milliseconds(20'000)));
    auto answer =
        fleet.run("set team red limit " + std::to_string(lowered), 1, true);
    EXPECT_TRUE(answer.at("in_force").get<bool>());
    std::int64_t in_force = get_unix_ms();
    // Work goes on under the lowered limit.
    std::size_t before = load.get_success_count();
    EXPECT_TRUE(
        wait_until([&] { return load.get_success_count() >= before + 30; },
            milliseconds(30'000)));
    load.stop();
    auto starts = list_starts(fleet, since);
    auto counts = count_running_at_starts(starts);
    for (std::size_t i = 0; i < starts.size(); ++i)
    {
        EXPECT_LE(counts[i], starts[i].started_ms > in_force ? lowered : 10u)
            << starts[i].started_ms - in_force << " ms after in force";
    }
}

// Guards against waiting work that fills an entry's memory, against a team that
// keeps others out with it, and against a refusal that is not the truth.
TEST(limits, waiting_work_beyond_the_bound_is_refused_fairly)
{
    cluster_options options;
    options.entry_settings["max_waiting_bytes"] = "65536";
    test_fleet fleet(options);
    fleet.wait_until_serving();
    std::vector<std::future<caller_answer>> answers;
    auto send = [&](const std::string& id, caller_request request)
    {
        request.request_id = id;
        answers.push_back(std::async(std::launch::async,
            [&fleet, request] { return fleet.post(request); }));
    };
    caller_request filler;
    filler.run_ms = "8000";
    for (int i = 0; i < 8; ++i)
        send("filler-" + std::to_string(i), filler);
    ASSERT_TRUE(wait_until(
        [&] { return fleet.count_running() == 8; }, milliseconds(20'000)));
    caller_request large;
    large.queue = "once";
    // Of a request that may be a repeat, a refusal cannot prove that none ran.
    large.is_first_attempt = true;
    large.payload = std::string(20'000, 'x');
    auto count_refused = [&]
    {
        std::string text = fleet.ask("GET", "/metrics").body;
        std::string name = "cowslippass_waiting_refusals_total{team=\"red\"} ";
        auto at = text.find(name);
        return at == std::string::npos
                   ? 0
                   : std::stoi(text.substr(at + name.size()));
    };
    // Three of them fit.
    for (int i = 0; i < 6; ++i)
        send("red-" + std::to_string(i), large);
    ASSERT_TRUE(
        wait_until([&] { return count_refused() == 3; }, milliseconds(20'000)));
    // One more of the same team gives way to it.
    large.key = "blue";
    send("blue", large);
    large.key = "red";
    large.is_first_attempt = false;
    large.request_id = "maybe-repeated";
    large.deadline_ms = "500";
    EXPECT_EQ(fleet.post(large).run, "unknown");
    EXPECT_EQ(fleet.count_runs(large.request_id), 0u);
    std::size_t refused = 0;
    for (auto& it : answers)
    {
        caller_answer answer = it.get();
        if (answer.is_ok())
            continue;
        ++refused;
        EXPECT_EQ(answer.status, 429u);
        EXPECT_EQ(answer.code, "waiting_full");
        EXPECT_EQ(answer.run, "no");
    }
    EXPECT_EQ(refused, 4u);
    EXPECT_EQ(fleet.count_runs("blue"), 1u);
    std::uint64_t runs = 0;
    for (int i = 0; i < 6; ++i)
        runs += fleet.count_runs("red-" + std::to_string(i));
    EXPECT_EQ(runs, 2u);
}

} // namespace cowslippass
