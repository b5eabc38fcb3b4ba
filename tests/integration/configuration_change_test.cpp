#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace cowslippass
{

namespace
{

/// A data centre that learns of changes only from others confirms them every
/// 2 s, so that shorter limits leave gaps.
constexpr std::int64_t freshness_limit_ms = 4'000;
/// The stated bound on a start after the reply to the change.
constexpr std::int64_t bound_ms = freshness_limit_ms + 2'000;

struct partition
{
    const char* name;
    bool is_cut_from_platform;
    bool is_cut_from_peers;
    cut_direction direction{};
};

cluster_options make_options()
{
    cluster_options out;
    out.data_centres = 2;
    out.entries_per_data_centre = 2;
    out.has_platform_proxies = true;
    out.has_peer_proxies = true;
    out.entry_settings["freshness_limit_ms"] =
        std::to_string(freshness_limit_ms);
    // Shorter than the cuts, so that sessions that are cut off from all others
    // are declared dead, and the others must not be.
    out.entry_settings["heartbeat_interval_ms"] = "500";
    out.entry_settings["session_death_ms"] = "6000";
    return out;
}

caller_request make_request(const std::string& team)
{
    caller_request out;
    out.key = team;
    out.deadline_ms = "1500";
    out.timeout = milliseconds(3'000);
    return out;
}

/// Waits until the second data centre works for the load. Otherwise it may hold
/// no grants when it is cut, and would start nothing for that reason.
void wait_for_work(test_fleet& fleet, const caller_load& load)
{
    constexpr std::size_t successes = 60;
    std::int64_t since = get_unix_ms();
    ASSERT_TRUE(wait_until(
        [&]
        {
            return load.get_success_count() >= successes &&
                   fleet.get_last_start("dc-2") > since;
        },
        milliseconds(20'000)));
}

void cut(cluster& all, const partition& faults)
{
    if (faults.is_cut_from_platform)
        all.block_platform_of(1, faults.direction);
    if (faults.is_cut_from_peers)
        all.block_peers_of(1, faults.direction);
}

std::int64_t find_last_start(const std::vector<recorded_start>& starts)
{
    return starts.empty() ? 0 : starts.back().started_ms;
}

/// The second data centre is cut off.
class configuration_change : public testing::TestWithParam<partition>
{
};

std::string get_partition_name(const testing::TestParamInfo<partition>& info)
{
    return info.param.name;
}

} // namespace

// Guards against work that is accepted with a withdrawn key, also by entries
// that cannot learn of the withdrawal (I3).
TEST_P(configuration_change, a_withdrawn_key_stops_working_everywhere)
{
    test_fleet fleet(make_options());
    caller_load load(fleet, make_request("red"), 8, {0, 1, 2, 3});
    wait_for_work(fleet, load);
    cut(fleet.get_cluster(), GetParam());
    fleet.run("withdraw key red-key", 0);
    std::int64_t committed = get_unix_ms();
    std::this_thread::sleep_for(milliseconds(bound_ms + 3'000));
    load.stop();
    EXPECT_GT(load.get_success_count(), 0u);
    EXPECT_LE(find_last_start(list_starts(fleet)), committed + bound_ms);
    // Once the cut ends, only the other team's key works everywhere.
    fleet.get_cluster().heal();
    for (std::size_t i = 0; i < 4; ++i)
    {
        EXPECT_TRUE(wait_until([&]
            { return fleet.post(make_request("blue"), i).is_ok(); },
            milliseconds(20'000)));
        EXPECT_EQ(fleet.post(make_request("red"), i).code, "unknown_key");
    }
}

// Guards against an entry that was paused while a key was withdrawn and starts
// work with it after it wakes (I3).
TEST(withdrawn_key, starts_nothing_on_an_entry_that_was_paused)
{
    test_fleet fleet(make_options());
    caller_load load(fleet, make_request("red"), 8, {0, 1, 2, 3});
    wait_for_work(fleet, load);
    auto& paused =
        fleet.get_cluster().get_entries()[find_pool_owner(fleet, "dc-2")];
    paused.process->kill(SIGSTOP);
    fleet.run("withdraw key red-key", 0);
    std::int64_t committed = get_unix_ms();
    // Requests that came before the pause are still in the entry's hands.
    std::this_thread::sleep_for(milliseconds(bound_ms + 1'000));
    paused.process->kill(SIGCONT);
    std::this_thread::sleep_for(milliseconds(4'000));
    load.stop();
    EXPECT_GT(load.get_success_count(), 0u);
    EXPECT_LE(find_last_start(list_starts(fleet)), committed + bound_ms);
}

// Guards against starts in a data centre that was taken out of service, also
// by entries that cannot learn of it, and against one that does not serve
// again after it was brought back (I5).
TEST_P(configuration_change, a_data_centre_taken_out_starts_nothing_until_back)
{
    test_fleet fleet(make_options());
    caller_load load(fleet, make_request("red"), 8, {0, 1, 2, 3});
    wait_for_work(fleet, load);
    cut(fleet.get_cluster(), GetParam());
    fleet.run("take data-centre dc-2 out", 0);
    std::int64_t committed = get_unix_ms();
    std::this_thread::sleep_for(milliseconds(bound_ms + 3'000));
    EXPECT_GT(fleet.get_last_start("dc-2"), 0);
    EXPECT_LE(fleet.get_last_start("dc-2"), committed + bound_ms);
    EXPECT_GT(fleet.get_last_start("dc-1"), committed + bound_ms);
    fleet.get_cluster().heal();
    fleet.run("bring data-centre dc-2 back", 0);
    std::int64_t back = get_unix_ms();
    EXPECT_TRUE(wait_until([&] { return fleet.get_last_start("dc-2") > back; },
        milliseconds(30'000)));
    load.stop();
    EXPECT_EQ(load.get_wrong_count(), 0u);
}

INSTANTIATE_TEST_SUITE_P(partitions, configuration_change,
    testing::Values(partition{"none", false, false},
        partition{"platform", true, false}, partition{"peers", false, true},
        partition{"both", true, true},
        partition{"outbound", true, true, {true, false}},
        partition{"inbound", true, true, {false, true}}),
    get_partition_name);

// Guards against slow jobs that are moved to and fro by data centres that
// cannot reach each other.
TEST(peer_cut, slow_work_goes_on_in_a_data_centre_cut_only_from_the_other)
{
    test_fleet fleet(make_options());
    fleet.get_cluster().block_peers_of(1);
    // Until the other data centre is suspected.
    std::this_thread::sleep_for(milliseconds(10'000));
    caller_request request = make_request("red");
    request.queue = "slow";
    for (std::size_t i = 0; i < 4; ++i)
    {
        caller_answer answer = fleet.post(request, 2);
        ASSERT_EQ(answer.status, 202u) << answer.body;
        std::string job = nlohmann::json::parse(answer.body).at("job");
        EXPECT_TRUE(wait_until(
            [&]
            {
                return fleet.ask("GET", "/v1/jobs/" + job, "red", 2)
                           .body.find("\"done\"") != std::string::npos;
            },
            milliseconds(10'000)));
    }
}

// Guards against an entry that goes on alone with stale configuration (I3,
// I5), and against pools that wait for such an owner to come back.
TEST(entry_cut, an_entry_cut_off_alone_stops_and_the_rest_serve_its_pools)
{
    test_fleet fleet(make_options());
    caller_load load(fleet, make_request("red"), 8, {0, 1, 2, 3});
    wait_for_work(fleet, load);
    auto& entry =
        fleet.get_cluster().get_entries().at(find_pool_owner(fleet, "dc-2"));
    std::string session = find_session(entry);
    fleet.get_cluster().isolate_entry(entry.id);
    std::int64_t last = get_unix_ms() + bound_ms;
    std::this_thread::sleep_for(milliseconds(bound_ms + 3'000));
    std::size_t owned = 0;
    std::size_t late = 0;
    std::size_t taken_over = 0;
    for (const auto& it : list_starts(fleet))
    {
        bool is_late = it.started_ms > last;
        owned += it.owner == session;
        late += is_late && it.owner == session;
        taken_over += is_late && it.data_centre == "dc-2";
    }
    EXPECT_GT(owned, 0u);
    EXPECT_EQ(late, 0u);
    EXPECT_GT(taken_over, 0u);
    load.stop();
    EXPECT_EQ(load.get_wrong_count(), 0u);
}

// Guards against a data centre that stops working although it can learn of
// changes from the other one.
TEST(platform_cut, a_data_centre_cut_only_from_the_platform_goes_on)
{
    test_fleet fleet(make_options());
    fleet.get_cluster().block_platform_of(1);
    std::this_thread::sleep_for(milliseconds(2 * freshness_limit_ms));
    std::int64_t since = get_unix_ms();
    for (std::size_t i = 0; i < 20; ++i)
    {
        caller_answer answer = fleet.post(caller_request{}, 2 + i % 2);
        EXPECT_TRUE(answer.is_ok()) << answer.body;
    }
    EXPECT_GT(fleet.get_last_start("dc-2"), since);
}

// Guards against an outage of the platform that stops urgent repeatable work
// although all entries agree on the configuration.
TEST(platform_cut, urgent_work_goes_on_while_the_platform_is_down)
{
    test_fleet fleet(make_options());
    auto platform = fleet.get_cluster().get_platform_endpoint();
    // Held grants carry the work of an outage.
    caller_load load(fleet, make_request("red"), 4, {0, 1, 2, 3});
    std::this_thread::sleep_for(milliseconds(1'000));
    set_control(platform, {{"down", true}});
    std::this_thread::sleep_for(milliseconds(3 * freshness_limit_ms));
    std::size_t before = load.get_success_count();
    EXPECT_TRUE(
        wait_until([&] { return load.get_success_count() >= before + 50; },
            milliseconds(20'000)));
    caller_request once;
    once.queue = "once";
    once.request_id = "during-the-outage";
    once.deadline_ms = "2000";
    EXPECT_FALSE(fleet.post(once).is_ok());
    EXPECT_EQ(fleet.count_runs("during-the-outage"), 0u);
    load.stop();
    set_control(platform, {{"down", false}});
    EXPECT_EQ(load.get_wrong_count(), 0u);
}

} // namespace cowslippass
