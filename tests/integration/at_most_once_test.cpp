#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <map>

namespace cowslippass
{

namespace
{

constexpr std::size_t max_attempts = 8;

cluster_options make_options()
{
    cluster_options out;
    out.data_centres = 2;
    out.entries_per_data_centre = 2;
    out.target_flags = {"--run-ms=100"};
    out.entry_settings["freshness_limit_ms"] = "2000";
    out.entry_settings["heartbeat_interval_ms"] = "500";
    out.entry_settings["session_death_ms"] = "3000";
    out.entry_settings["task_lease_ms"] = "3000";
    return out;
}

/// One request id and what its caller was told.
struct repeated_request
{
    std::string id;
    std::vector<caller_answer> answers;
};

std::string describe(const repeated_request& request)
{
    std::string out = request.id + ":";
    for (const auto& it : request.answers)
        out += " " + std::to_string(it.status) + "/" + it.code + "/" + it.run;
    return out;
}

/// Sends one request through one entry after the other until its outcome is
/// known.
repeated_request send_until_known(
    test_fleet& fleet, const std::string& id, std::size_t first_entry)
{
    repeated_request out{id, {}};
    caller_request request;
    request.queue = "once";
    request.request_id = id;
    request.deadline_ms = "1500";
    request.timeout = milliseconds(2'500);
    std::size_t entries = fleet.get_cluster().get_entries().size();
    for (std::size_t i = 0; i < max_attempts; ++i)
    {
        out.answers.push_back(fleet.post(request, (first_entry + i) % entries));
        if (out.answers.back().run != "unknown")
            break;
    }
    return out;
}

/// Callers that send new request ids until `stop`.
class once_load
{
public:
    once_load(test_fleet& fleet, std::size_t callers)
    {
        for (std::size_t i = 0; i < callers; ++i)
        {
            auto call = [this, &fleet, i]
            {
                std::vector<repeated_request> out;
                std::string prefix = "once-" + std::to_string(i) + "-";
                while (!is_stopped_)
                {
                    out.push_back(send_until_known(
                        fleet, prefix + std::to_string(out.size()), i));
                    std::this_thread::sleep_for(milliseconds(20));
                }
                return out;
            };
            callers_.push_back(std::async(std::launch::async, call));
        }
    }

    std::vector<repeated_request> stop()
    {
        is_stopped_ = true;
        std::vector<repeated_request> out;
        for (auto& it : callers_)
            for (auto& request : it.get())
                out.push_back(std::move(request));
        return out;
    }

private:
    std::atomic<bool> is_stopped_ = false;
    std::vector<std::future<std::vector<repeated_request>>> callers_;
};

/// Compares what callers were told with the runs of the targets.
void check_answers(
    test_fleet& fleet, const std::vector<repeated_request>& requests)
{
    // Later than the last start deadline, so that no start is under way.
    std::this_thread::sleep_for(milliseconds(3'000));
    std::map<std::string, std::size_t> runs;
    for (const auto& it : list_starts(fleet))
        ++runs[it.request_id];
    std::size_t successes = 0;
    for (const auto& it : requests)
    {
        std::size_t n = runs[it.id];
        EXPECT_LE(n, 1u) << describe(it);
        const caller_answer& last = it.answers.back();
        if (last.run == "no")
        {
            EXPECT_EQ(n, 0u) << describe(it);
        }
        if (last.run == "yes")
        {
            EXPECT_EQ(n, 1u) << describe(it);
        }
        successes += last.is_ok();
    }
    EXPECT_GT(successes, 0u);
}

void pause_for(milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace

// Guards against a second run (I8) and a false "not run" (I7) when requests
// are repeated through other entries while owners of the pool are paused and
// killed.
TEST(at_most_once, holds_while_owners_are_paused_and_killed)
{
    test_fleet fleet(make_options());
    auto& entries = fleet.get_cluster().get_entries();
    once_load load(fleet, 12);
    pause_for(milliseconds(1'000));
    auto& paused = entries[find_pool_owner(fleet, "dc-2")];
    paused.process->kill(SIGSTOP);
    // Longer than the death of its session.
    pause_for(milliseconds(5'000));
    paused.process->kill(SIGCONT);
    pause_for(milliseconds(1'000));
    entries[find_pool_owner(fleet, "dc-1")].process->kill(SIGKILL);
    pause_for(milliseconds(6'000));
    check_answers(fleet, load.stop());
}

// Guards against a second run (I8) and a false "not run" (I7) when targets
// freeze, the platform is down and its replies are lost.
TEST(at_most_once, holds_while_targets_freeze_and_the_platform_fails)
{
    test_fleet fleet(make_options());
    auto platform = fleet.get_cluster().get_platform_endpoint();
    auto& targets = fleet.get_cluster().get_targets();
    once_load load(fleet, 12);
    pause_for(milliseconds(500));
    set_control(targets[0].get_direct_endpoint(), {{"freeze_ms", 3'000}});
    pause_for(milliseconds(1'500));
    set_control(platform, {{"lose_replies", 20}});
    pause_for(milliseconds(2'000));
    set_control(platform, {{"lost_reply", "silent"}, {"lose_replies", 10}});
    set_control(targets[1].get_direct_endpoint(), {{"freeze_ms", 1'500}});
    pause_for(milliseconds(3'000));
    set_control(platform, {{"down", true}, {"lose_replies", 0}});
    pause_for(milliseconds(4'000));
    set_control(platform, {{"down", false}});
    pause_for(milliseconds(4'000));
    check_answers(fleet, load.stop());
}

// Guards against a second run (I8) and a false "not run" (I7) when targets
// restart and forget their tasks, starts that are under way included.
TEST(at_most_once, holds_while_targets_restart)
{
    test_fleet fleet(make_options());
    once_load load(fleet, 12);
    for (int i = 0; i < 20; ++i)
    {
        pause_for(milliseconds(300));
        const auto& target = fleet.get_cluster().get_targets()[i % 2];
        fetch_json(target.get_direct_endpoint(), "POST", "/v1/reboot");
    }
    check_answers(fleet, load.stop());
}

// Guards against a second run (I8) and a false "not run" (I7) when every entry
// is killed and started again in turn while the platform is slow.
TEST(at_most_once, holds_in_a_wave_of_restarts_with_a_slow_platform)
{
    test_fleet fleet(make_options());
    auto platform = fleet.get_cluster().get_platform_endpoint();
    set_control(platform, {{"delay_ms", 200}, {"reply_delay_ms", 200}});
    once_load load(fleet, 12);
    for (auto& entry : fleet.get_cluster().get_entries())
    {
        pause_for(milliseconds(1'500));
        entry.process->kill(SIGKILL);
        entry.process->wait(milliseconds(10'000));
        fleet.get_cluster().start_entry(entry);
    }
    pause_for(milliseconds(3'000));
    set_control(platform, {{"delay_ms", 0}, {"reply_delay_ms", 0}});
    pause_for(milliseconds(6'000));
    check_answers(fleet, load.stop());
}

// Guards against "not run" for a request whose first attempt is under way when
// a repeat of it gives up (I7).
TEST(at_most_once, a_repeat_is_not_told_no_while_the_first_attempt_runs)
{
    test_fleet fleet(make_options());
    caller_request first;
    first.queue = "once";
    first.request_id = "under-way";
    first.run_ms = "4000";
    first.deadline_ms = "10000";
    auto answer =
        std::async(std::launch::async, [&] { return fleet.post(first, 0); });
    EXPECT_TRUE(wait_until([&] { return fleet.count_runs("under-way") == 1; },
        milliseconds(10'000)));
    caller_request repeat = first;
    repeat.deadline_ms = "500";
    for (std::size_t i = 0; i < 4; ++i)
    {
        caller_answer it = fleet.post(repeat, i);
        EXPECT_NE(it.run, "no") << it.body;
    }
    EXPECT_TRUE(answer.get().is_ok());
    EXPECT_EQ(fleet.count_runs("under-way"), 1u);
    fleet.run("withdraw key red-key", 0, true);
    EXPECT_EQ(fleet.post(repeat).run, "unknown");
}

// Guards against an outcome that is lost with the session that claimed the
// request: the row stays claimed, and only the stored result tells the end.
TEST(at_most_once, an_outcome_outlives_its_owner_and_its_target)
{
    cluster_options options = make_options();
    options.data_centres = 1;
    test_fleet fleet(options);
    caller_request request;
    request.queue = "once";
    request.request_id = "kept";
    ASSERT_TRUE(fleet.post(request).is_ok());
    std::size_t owner = find_pool_owner(fleet, "dc-1");
    fleet.get_cluster().get_entries()[owner].process->kill(SIGKILL);
    for (const auto& it : fleet.get_cluster().get_targets())
        set_control(it.get_direct_endpoint(), {{"freeze_ms", 30'000}});
    std::string path = "/v1/requests/kept?queue=once";
    caller_answer answer;
    EXPECT_TRUE(wait_until(
        [&]
        {
            answer = fleet.ask("GET", path, "red", 1 - owner);
            return answer.is_ok();
        },
        milliseconds(20'000)))
        << answer.body;
    EXPECT_EQ(answer.body, get_expected_result(request.payload));
}

// Guards against two runs of one request that arrives through several entries
// at the same time (I8).
TEST(at_most_once, holds_for_repeats_at_the_same_time)
{
    test_fleet fleet(make_options());
    set_control(
        fleet.get_cluster().get_platform_endpoint(), {{"lose_replies", 10}});
    std::vector<std::future<repeated_request>> callers;
    constexpr std::size_t ids = 12;
    for (std::size_t i = 0; i < ids * 4; ++i)
    {
        std::string id = "same-" + std::to_string(i / 4);
        callers.push_back(std::async(std::launch::async,
            [&fleet, id, i] { return send_until_known(fleet, id, i % 4); }));
    }
    std::map<std::string, std::vector<repeated_request>> by_id;
    for (auto& it : callers)
    {
        auto request = it.get();
        by_id[request.id].push_back(request);
    }
    for (const auto& [id, requests] : by_id)
    {
        std::uint64_t n = fleet.count_runs(id);
        bool has_run = false;
        for (const auto& it : requests)
            has_run = has_run || it.answers.back().run == "yes";
        EXPECT_TRUE(has_run) << describe(requests.front());
        EXPECT_EQ(n, 1u) << id;
    }
}

} // namespace cowslippass
