#include "tests/integration/cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace cowslippass
{

using json = nlohmann::json;

namespace
{

constexpr milliseconds short_timeout{400};
constexpr milliseconds long_timeout{10'000};
/// For requests that have to arrive although no answer does.
constexpr milliseconds effect_timeout{2'000};

/// A stand-in platform with short forms of its requests.
struct platform_process
{
    json commit(const json& conditions, const json& writes)
    {
        return fetch_json(endpoint, "POST", "/v1/transactions",
            {{"conditions", conditions}, {"writes", writes}});
    }

    std::uint64_t put(const std::string& key, const json& value)
    {
        return commit(json::array(), {{{"key", key}, {"value", value}}})
            .at("versions")
            .at(key)
            .get<std::uint64_t>();
    }

    child_process process{"tests/stand_in_platform", {}};
    tcp::endpoint endpoint = process.get_address("listening");
};

/// A stand-in target with short forms of its requests.
struct target_process
{
    explicit target_process(const std::vector<std::string>& flags = {})
        : process("tests/stand_in_target", flags)
    {
    }

    std::int64_t get_time()
    {
        http_result result =
            fetch(endpoint, {"GET", "/v1/usage", {}, {}, ""}, long_timeout);
        return std::stoll(result.response->get_header("Target-Time-Ms"));
    }

    /// @return the status, or 0 without an answer.
    unsigned start(const std::string& id, std::int64_t start_before,
        std::int64_t run_ms, std::int64_t lease_ms = 10'000,
        milliseconds timeout = long_timeout)
    {
        http_result usage =
            fetch(endpoint, {"GET", "/v1/usage", {}, {}, ""}, long_timeout);
        std::string boot = usage.response->get_header("Target-Boot");
        http_request request{"POST", "/v1/tasks/" + id, {}, {}, "payload"};
        request.headers = {{"Owner", "1"}, {"Task-Kind", "urgent"},
            {"Request-Id", "request-" + id},
            {"Start-Before-Ms", std::to_string(start_before)},
            {"Start-Boot", boot}, {"Lease-Ms", std::to_string(lease_ms)},
            {"Run-Ms", std::to_string(run_ms)}};
        http_result result = fetch(endpoint, request, timeout);
        return result.response ? result.response->status : 0;
    }

    json sync(const std::string& id, int wait_ms, int lease_ms = 10'000)
    {
        json answer = fetch_json(endpoint, "POST", "/v1/sync",
            {{"owner", "1"}, {"lease_ms", lease_ms}, {"wait_ms", wait_ms},
                {"renew", {id}}});
        return answer.at("tasks").at(0).at("state");
    }

    json get_runs() { return fetch_json(endpoint, "GET", "/control/runs"); }

    child_process process;
    tcp::endpoint endpoint = process.get_address("listening");
};

} // namespace

// Guards against a condition that holds for a row deleted and made again.
TEST(stand_in_platform, a_row_version_never_returns)
{
    platform_process platform;
    std::uint64_t first = platform.put("k", "1");
    EXPECT_EQ(platform.put("k", nullptr), 0u);
    std::uint64_t second = platform.put("k", "1");
    EXPECT_GT(second, first);
    EXPECT_THROW(platform.commit({{{"key", "k"}, {"version", first}}},
                     {{{"key", "k"}, {"value", "2"}}}),
        std::runtime_error);
    EXPECT_EQ(
        fetch_json(platform.endpoint, "GET", "/v1/row?key=k").at("version"),
        second);
}

// Guards against a transaction of which only some writes take effect.
TEST(stand_in_platform, a_failed_condition_leaves_every_row_alone)
{
    platform_process platform;
    platform.put("a", "1");
    EXPECT_THROW(platform.commit({{{"key", "a"}, {"version", 0}}},
                     {{{"key", "b"}, {"value", "2"}}}),
        std::runtime_error);
    json found = fetch_json(platform.endpoint, "GET", "/v1/rows?prefix=");
    EXPECT_EQ(found.at("rows").size(), 1u);
}

TEST(stand_in_platform, a_scan_continues_after_its_last_key)
{
    platform_process platform;
    for (const char* key : {"a/1", "b/1", "b/2", "b/3", "c/1"})
        platform.put(key, "x");
    json first =
        fetch_json(platform.endpoint, "GET", "/v1/rows?prefix=b/&limit=2");
    EXPECT_EQ(first.at("rows").at(1).at("key"), "b/2");
    EXPECT_TRUE(first.at("more").get<bool>());
    json rest = fetch_json(
        platform.endpoint, "GET", "/v1/rows?prefix=b/&after=b/2&limit=2");
    ASSERT_EQ(rest.at("rows").size(), 1u);
    EXPECT_EQ(rest.at("rows").at(0).at("key"), "b/3");
    EXPECT_FALSE(rest.at("more").get<bool>());
}

// Guards against tests of lost replies whose write did not take effect.
TEST(stand_in_platform, a_transaction_with_a_lost_reply_takes_effect)
{
    platform_process platform;
    for (const char* mode : {"close", "silent"})
    {
        set_control(
            platform.endpoint, {{"lose_replies", 1}, {"lost_reply", mode}});
        json body = {{"writes", {{{"key", mode}, {"value", "1"}}}}};
        http_result result = fetch(platform.endpoint,
            {"POST", "/v1/transactions", {}, {}, body.dump()}, effect_timeout);
        EXPECT_FALSE(result.response) << mode;
        EXPECT_EQ(result.failure, http_failure::no_reply) << mode;
        EXPECT_NO_THROW(fetch_json(
            platform.endpoint, "GET", std::string("/v1/row?key=") + mode));
    }
    platform.put("answered", "1");
    json counters = fetch_json(platform.endpoint, "GET", "/control/counters");
    EXPECT_EQ(counters.at("replies_lost"), 2);
    EXPECT_EQ(counters.at("transactions"), 3);
}

TEST(stand_in_platform, an_outage_refuses_or_stays_silent_and_keeps_rows)
{
    platform_process platform;
    platform.put("k", "1");
    http_request read{"GET", "/v1/row", {{"key", "k"}}, {}, ""};
    set_control(platform.endpoint, {{"down", true}});
    http_result refused = fetch(platform.endpoint, read, long_timeout);
    ASSERT_TRUE(refused.response);
    EXPECT_EQ(refused.response->status, 503u);
    set_control(platform.endpoint, {{"down", "silent"}});
    EXPECT_FALSE(fetch(platform.endpoint, read, short_timeout).response);
    set_control(platform.endpoint, {{"down", false}});
    EXPECT_EQ(
        fetch(platform.endpoint, read, long_timeout).response->status, 200u);
}

// Guards against a list that is shown before its lag.
TEST(stand_in_platform, the_instance_list_lags)
{
    platform_process platform;
    json list = {{"instances", {{{"id", "target-1"}}}}};
    set_control(platform.endpoint, {{"list_lag_ms", 60'000}});
    http_result put =
        fetch(platform.endpoint, {"PUT", "/v1/instances", {}, {}, list.dump()});
    ASSERT_TRUE(put.response);
    EXPECT_EQ(put.response->status, 200u);
    EXPECT_TRUE(fetch_json(platform.endpoint, "GET", "/v1/instances")
                    .at("instances")
                    .empty());
    set_control(platform.endpoint, {{"list_lag_ms", 0}});
    EXPECT_EQ(fetch_json(platform.endpoint, "GET", "/v1/instances"), list);
}

TEST(stand_in_target, a_result_arrives_whole_or_is_seen_to_be_cut)
{
    target_process target;
    ASSERT_EQ(target.start("a", target.get_time() + 60'000, 1), 201u);
    ASSERT_EQ(target.sync("a", 10'000), "done");
    http_request ask{"GET", "/v1/tasks/a/result", {}, {}, ""};
    http_result whole = fetch(target.endpoint, ask, long_timeout);
    ASSERT_TRUE(whole.response);
    EXPECT_EQ(whole.response->body, sha256_hex("payload") + "\ndaolyap");
    EXPECT_EQ(whole.response->get_header("Request-Id"), "request-a");
    set_control(target.endpoint, {{"truncate_results", true}});
    http_result cut = fetch(target.endpoint, ask, long_timeout);
    EXPECT_FALSE(cut.response);
    EXPECT_EQ(cut.failure, http_failure::truncated);
}

// Guards against a refused start that runs, and a repeat that runs twice.
TEST(stand_in_target, starts_are_refused_by_deadline_slots_and_leaving)
{
    target_process target({"--slots=1"});
    std::int64_t later = target.get_time() + 60'000;
    EXPECT_EQ(target.start("late", target.get_time() - 1, 1), 412u);
    EXPECT_EQ(target.start("a", later, 60'000, 60'000), 201u);
    EXPECT_EQ(target.start("a", later, 60'000, 60'000), 200u);
    EXPECT_EQ(target.start("b", later, 1), 429u);
    set_control(target.endpoint, {{"leaving", true}});
    EXPECT_EQ(target.start("c", later, 1), 503u);
    json runs = target.get_runs();
    EXPECT_EQ(runs.at("runs"), json({{"request-a", 1}}));
    EXPECT_EQ(runs.at("refused"),
        json({{"deadline", 1}, {"leaving", 1}, {"no_slot", 1}}));
    EXPECT_EQ(runs.at("repeated_starts"), 1);
    EXPECT_EQ(runs.at("highest_tasks"), 1);
    EXPECT_EQ(runs.at("starts").size(), 1u);
}

// Guards against a start that a frozen target runs after its deadline.
TEST(stand_in_target, a_start_received_while_frozen_is_refused_afterwards)
{
    target_process target;
    std::int64_t begin = target.get_time();
    set_control(target.endpoint, {{"freeze_ms", 1'000}});
    EXPECT_EQ(target.start("a", begin + 500, 1), 412u);
    EXPECT_GE(target.get_time(), begin + 1'000);
    EXPECT_EQ(target.get_runs().at("refused"), json({{"deadline", 1}}));
}

// Guards against a task that outlives its lease, or a renewal that is ignored.
TEST(stand_in_target, a_task_lapses_at_the_end_of_its_last_lease)
{
    target_process target;
    std::int64_t later = target.get_time() + 60'000;
    ASSERT_EQ(target.start("not-renewed", later, 60'000, 50), 201u);
    EXPECT_EQ(target.sync("not-renewed", 10'000, 50), "lapsed");
    ASSERT_EQ(target.start("renewed", later, 60'000, 60'000), 201u);
    EXPECT_EQ(target.sync("renewed", 0, 60'000), "running");
    EXPECT_EQ(target.sync("renewed", 10'000, 50), "lapsed");
    EXPECT_EQ(target.get_runs().at("running_tasks"), 0);
}

TEST(stand_in_target, tasks_are_stopped_slowed_and_failed)
{
    target_process target;
    std::int64_t later = target.get_time() + 60'000;
    ASSERT_EQ(target.start("slow", later, 60'000, 60'000), 201u);
    auto post = [&](const std::string& path)
    { return fetch_json(target.endpoint, "POST", "/v1/tasks/" + path); };
    EXPECT_EQ(post("slow/throttle").at("throttled"), true);
    EXPECT_EQ(post("slow/resume").at("throttled"), false);
    EXPECT_GE(post("slow/checkpoint").at("checkpoint_ms"), 0.0);
    EXPECT_EQ(post("slow/stop").at("state"), "stopped");
    EXPECT_EQ(post("slow/stop").at("state"), "stopped");
    set_control(target.endpoint, {{"fail_all", true}});
    ASSERT_EQ(target.start("fails", later, 60'000), 201u);
    EXPECT_EQ(target.sync("fails", 10'000), "failed");
}

// The bound holds on a slow machine too, which only lengthens the run.
TEST(stand_in_target, a_throttled_task_runs_at_quarter_speed)
{
    target_process target;
    std::int64_t begin = target.get_time();
    ASSERT_EQ(target.start("a", begin + 60'000, 500, 60'000), 201u);
    fetch_json(target.endpoint, "POST", "/v1/tasks/a/throttle");
    std::int64_t throttled = target.get_time();
    ASSERT_EQ(target.sync("a", 20'000), "done");
    std::int64_t left = 500 - (throttled - begin);
    EXPECT_GE(target.get_time() - throttled, left * 4 - 10);
}

TEST(stand_in_target, connections_over_the_maximum_are_closed_and_counted)
{
    target_process target({"--max-connections=1"});
    test_client first(target.endpoint);
    http_request ask{"GET", "/control/runs", {}, {}, ""};
    ASSERT_TRUE(first.send(ask, long_timeout).response);
    EXPECT_FALSE(fetch(target.endpoint, ask, long_timeout).response);
    http_result result = first.send(ask, long_timeout);
    ASSERT_TRUE(result.response);
    json runs = json::parse(result.response->body);
    EXPECT_EQ(runs.at("highest_connections"), 1);
    EXPECT_EQ(runs.at("refused_connections"), 1);
}

// Guards against a silence that ends or that new connections share.
TEST(stand_in_proxy, silenced_connections_stay_open_and_new_ones_work)
{
    platform_process platform;
    cluster_proxy proxy(platform.endpoint);
    http_request ask{"GET", "/v1/rows", {{"prefix", ""}}, {}, ""};
    test_client open(proxy.endpoint);
    ASSERT_TRUE(open.send(ask, long_timeout).response);
    proxy.control({{"silence_open", true}});
    auto begin = std::chrono::steady_clock::now();
    EXPECT_FALSE(open.send(ask, short_timeout).response);
    // A closed connection would have failed at once.
    EXPECT_GE(std::chrono::steady_clock::now() - begin, short_timeout);
    EXPECT_TRUE(fetch(proxy.endpoint, ask, long_timeout).response);
}

TEST(stand_in_proxy, a_cut_refuses_connections_until_the_restore)
{
    platform_process platform;
    cluster_proxy proxy(platform.endpoint);
    http_request ask{"GET", "/v1/rows", {{"prefix", ""}}, {}, ""};
    test_client open(proxy.endpoint);
    ASSERT_TRUE(open.send(ask, long_timeout).response);
    proxy.control({{"cut", true}});
    EXPECT_EQ(fetch_json(proxy.control_endpoint, "GET", "/control/counters")
                  .at("open"),
        0);
    EXPECT_FALSE(open.send(ask, long_timeout).response);
    EXPECT_EQ(fetch(proxy.endpoint, ask, long_timeout).failure,
        http_failure::not_sent);
    proxy.control({{"restore", true}});
    EXPECT_TRUE(fetch(proxy.endpoint, ask, long_timeout).response);
}

// Guards against a lost answer whose request did not arrive, and the reverse.
TEST(stand_in_proxy, each_direction_is_dropped_by_itself)
{
    platform_process platform;
    cluster_proxy proxy(platform.endpoint);
    auto write = [&](const std::string& key)
    {
        json body = {{"writes", {{{"key", key}, {"value", "1"}}}}};
        return fetch(proxy.endpoint,
            {"POST", "/v1/transactions", {}, {}, body.dump()}, effect_timeout);
    };
    proxy.control({{"drop_to_server", true}});
    EXPECT_FALSE(write("request-lost").response);
    proxy.control({{"restore", true}, {"drop_to_client", true}});
    EXPECT_FALSE(write("answer-lost").response);
    proxy.control({{"restore", true}, {"drop_from", {"127.0.0.1"}}});
    EXPECT_FALSE(write("source-blocked").response);
    proxy.control({{"restore", true}, {"drop_from", {"127.0.0.2"}}});
    EXPECT_TRUE(write("another-source-blocked").response);
    proxy.control({{"restore", true}, {"drop_to", {"127.0.0.1"}}});
    EXPECT_FALSE(write("source-answer-lost").response);
    json found = fetch_json(platform.endpoint, "GET", "/v1/rows?prefix=");
    ASSERT_EQ(found.at("rows").size(), 3u);
    EXPECT_EQ(found.at("rows").at(0).at("key"), "another-source-blocked");
    EXPECT_EQ(found.at("rows").at(1).at("key"), "answer-lost");
    EXPECT_EQ(found.at("rows").at(2).at("key"), "source-answer-lost");
}

TEST(stand_in_proxy, answers_are_delayed_and_truncated)
{
    platform_process platform;
    cluster_proxy proxy(platform.endpoint);
    platform.put("k", std::string(1'000, 'x'));
    http_request ask{"GET", "/v1/row", {{"key", "k"}}, {}, ""};
    proxy.control({{"truncate_after_bytes", 500}});
    EXPECT_EQ(fetch(proxy.endpoint, ask, long_timeout).failure,
        http_failure::truncated);
    proxy.control({{"restore", true}, {"delay_ms", 100}});
    auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(fetch(proxy.endpoint, ask, long_timeout).response);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, milliseconds(200));
}

// Guards against processes that outlive a test, and unnoticed failed starts.
TEST(process_fixture, a_process_stops_on_sigterm_and_a_failed_start_is_told)
{
    platform_process platform;
    EXPECT_TRUE(platform.process.stop());
    EXPECT_FALSE(fetch(platform.endpoint, {}, long_timeout).response);
    try
    {
        child_process proxy("tests/stand_in_proxy", {"--to=nowhere"}, 2);
        FAIL() << "a proxy without a valid address started";
    }
    catch (const std::runtime_error& e)
    {
        EXPECT_NE(std::string(e.what()).find("nowhere"), std::string::npos);
    }
}

TEST(process_fixture, a_cluster_starts_and_publishes_its_instances)
{
    cluster_options options;
    options.data_centres = 2;
    options.pools = {"pool-1", "pool-2"};
    options.has_platform_proxies = true;
    options.has_peer_proxies = true;
    options.has_target_proxies = true;
    options.starts_entries = false;
    cluster fleet(options);
    json list = fetch_json(
        fleet.get_entries()[1].platform_proxy->endpoint, "GET", "/v1/instances")
                    .at("instances");
    EXPECT_EQ(list.size(), 6u);
    cluster_target& target = fleet.get_target("target-2-pool-2-1");
    EXPECT_NO_THROW(fetch_json(target.get_endpoint(), "GET", "/v1/tasks"));
    target.process->kill(SIGKILL);
    ASSERT_TRUE(target.process->wait(long_timeout));
    fleet.start_target(target);
    EXPECT_NO_THROW(fetch_json(target.get_endpoint(), "GET", "/v1/tasks"));
    fleet.block_platform_of(0);
    EXPECT_FALSE(fetch(fleet.get_entries()[0].platform_proxy->endpoint,
        {"GET", "/v1/instances", {}, {}, ""}, short_timeout)
                     .response);
    fleet.block_peers_of(0);
    fleet.heal();
    EXPECT_NO_THROW(fetch_json(fleet.get_entries()[0].platform_proxy->endpoint,
        "GET", "/v1/instances"));
}

} // namespace cowslippass
