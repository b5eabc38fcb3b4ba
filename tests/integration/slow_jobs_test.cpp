#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <map>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds park_timeout{140'000};

cluster_options make_options()
{
    cluster_options out;
    out.data_centres = 2;
    out.entries_per_data_centre = 2;
    out.target_flags = {"--run-ms=300"};
    out.entry_settings["heartbeat_interval_ms"] = "500";
    out.entry_settings["session_death_ms"] = "3000";
    out.entry_settings["task_lease_ms"] = "3000";
    return out;
}

/// @return the id of an accepted job, or nothing.
std::optional<std::string> accept_job(test_fleet& fleet,
    const std::string& payload, std::size_t entry,
    const std::string& run_ms = "", const std::string& queue = "slow")
{
    caller_request request;
    request.queue = queue;
    if (queue != "slow")
        request.request_id = "request-of-" + queue;
    request.payload = payload;
    request.run_ms = run_ms;
    request.timeout = milliseconds(5'000);
    caller_answer answer = fleet.post(request, entry);
    if (answer.status != 202)
        return std::nullopt;
    return json::parse(answer.body).at("job").get<std::string>();
}

json get_job(test_fleet& fleet, const std::string& job, std::size_t entry)
{
    auto answer = fleet.ask("GET", "/v1/jobs/" + job, "red", entry);
    json out = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && out.is_object() ? out : json::object();
}

bool wait_for_state(test_fleet& fleet, const std::string& job,
    const std::string& state, std::size_t entry, milliseconds timeout)
{
    return wait_until([&]
        { return get_job(fleet, job, entry).value("state", "") == state; },
        timeout);
}

void fail_all(test_fleet& fleet)
{
    for (const auto& it : fleet.get_cluster().get_targets())
        set_control(it.get_direct_endpoint(), {{"fail_all", true}});
}

/// @return the number of rows of a job, live or ended.
std::size_t count_rows(test_fleet& fleet, const std::string& job)
{
    std::size_t n = 0;
    for (std::string prefix : {"jobs/pool-1/", "ended/pool-1/"})
        n += fetch_json(fleet.get_cluster().get_platform_endpoint(), "GET",
            "/v1/rows?prefix=" + prefix + job + "&limit=10")
                 .at("rows")
                 .size();
    return n;
}

} // namespace

// Guards against accepted jobs that vanish, end twice or end with a wrong
// result when the owner is killed, the platform fails and replies are lost.
TEST(slow_jobs, accepted_jobs_all_end_once_with_their_result)
{
    test_fleet fleet(make_options());
    auto& entries = fleet.get_cluster().get_entries();
    auto platform = fleet.get_cluster().get_platform_endpoint();
    std::size_t killed = find_pool_owner(fleet, "dc-1");
    std::size_t survivor = killed == 0 ? 1 : 0;
    std::map<std::string, std::string> payloads;
    auto accept = [&](std::size_t i, std::size_t entry)
    {
        std::string payload = "job " + std::to_string(i);
        if (auto job = accept_job(fleet, payload, entry))
            payloads[*job] = payload;
    };
    set_control(platform, {{"lose_replies", 3}});
    for (std::size_t i = 0; i < 12; ++i)
        accept(i, i % 4);
    entries[killed].process->kill(SIGKILL);
    set_control(platform, {{"lose_replies", 5}});
    for (std::size_t i = 12; i < 24; ++i)
        accept(i, i % 2 == 0 ? survivor : 2);
    set_control(platform, {{"down", true}, {"lose_replies", 0}});
    std::this_thread::sleep_for(milliseconds(3'000));
    set_control(platform, {{"down", false}, {"lose_replies", 5}});
    for (std::size_t i = 24; i < 30; ++i)
        accept(i, survivor);
    EXPECT_GE(payloads.size(), 10u);
    for (const auto& [job, payload] : payloads)
    {
        EXPECT_TRUE(
            wait_for_state(fleet, job, "done", survivor, milliseconds(60'000)))
            << get_job(fleet, job, survivor).dump();
        auto result =
            fleet.ask("GET", "/v1/jobs/" + job + "/result", "red", survivor);
        EXPECT_EQ(result.body, get_expected_result(payload));
        EXPECT_EQ(count_rows(fleet, job), 1u) << job;
    }
}

// Guards against accepted jobs that vanish or end twice when every entry is
// killed and started again in turn while the platform is slow.
TEST(slow_jobs, accepted_jobs_end_once_in_a_wave_of_restarts)
{
    test_fleet fleet(make_options());
    auto& entries = fleet.get_cluster().get_entries();
    auto platform = fleet.get_cluster().get_platform_endpoint();
    set_control(platform, {{"delay_ms", 200}, {"reply_delay_ms", 200}});
    std::map<std::string, std::string> payloads;
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        for (std::size_t j = 0; j < 4; ++j)
        {
            std::string payload =
                "wave " + std::to_string(i) + " " + std::to_string(j);
            if (auto job = accept_job(fleet, payload, j, "1500"))
                payloads[*job] = payload;
        }
        entries[i].process->kill(SIGKILL);
        entries[i].process->wait(milliseconds(10'000));
        fleet.get_cluster().start_entry(entries[i]);
    }
    set_control(platform, {{"delay_ms", 0}, {"reply_delay_ms", 0}});
    EXPECT_GE(payloads.size(), 4u);
    for (const auto& [job, payload] : payloads)
    {
        EXPECT_TRUE(wait_for_state(fleet, job, "done", 0, milliseconds(90'000)))
            << get_job(fleet, job, 0).dump();
        auto result = fleet.ask("GET", "/v1/jobs/" + job + "/result", "red", 0);
        EXPECT_EQ(result.body, get_expected_result(payload));
        EXPECT_EQ(count_rows(fleet, job), 1u) << job;
    }
}

// Guards against a job that can never succeed and holds a target for ever. The
// delays between the five attempts sum up to 85 s.
TEST(slow_jobs, a_job_that_always_fails_is_parked_with_a_reason)
{
    cluster_options options = make_options();
    options.data_centres = 1;
    options.target_flags = {"--run-ms=20"};
    test_fleet fleet(options);
    fail_all(fleet);
    auto job = accept_job(fleet, "payload", 0);
    ASSERT_TRUE(job);
    EXPECT_TRUE(wait_for_state(fleet, *job, "parked", 1, park_timeout));
    json found = get_job(fleet, *job, 1);
    EXPECT_NE(found.value("reason", ""), "") << found.dump();
    EXPECT_EQ(found.value("attempts", 0), 5) << found.dump();
    EXPECT_EQ(count_rows(fleet, *job), 1u);
}

// Guards against a second attempt of slow work that must not run twice (I8).
TEST(slow_jobs, a_failed_non_idempotent_job_is_parked_after_one_attempt)
{
    cluster_options options = make_options();
    options.data_centres = 1;
    options.target_flags = {"--run-ms=20"};
    test_fleet fleet(options);
    fleet.run(
        "create queue slow-once pool pool-1 slow non-idempotent", 0, true);
    fail_all(fleet);
    auto job = accept_job(fleet, "payload", 0, "", "slow-once");
    ASSERT_TRUE(job);
    EXPECT_TRUE(wait_for_state(fleet, *job, "parked", 1, park_timeout));
    json found = get_job(fleet, *job, 1);
    EXPECT_NE(found.value("reason", ""), "") << found.dump();
    EXPECT_EQ(fleet.count_runs(*job), 1u) << found.dump();
}

// Guards against cancelled work that goes on, and against a cancellation that
// discards a result.
TEST(slow_jobs, a_cancelled_job_stops_and_a_done_one_keeps_its_result)
{
    test_fleet fleet(make_options());
    auto job = accept_job(fleet, "long", 0, "60000");
    ASSERT_TRUE(job);
    EXPECT_TRUE(wait_until(
        [&] { return fleet.count_running() == 1; }, milliseconds(20'000)));
    fleet.ask("DELETE", "/v1/jobs/" + *job, "red", 2);
    EXPECT_TRUE(
        wait_for_state(fleet, *job, "cancelled", 3, milliseconds(20'000)));
    EXPECT_TRUE(wait_until(
        [&] { return fleet.count_running() == 0; }, milliseconds(20'000)));
    auto done = accept_job(fleet, "short", 0);
    ASSERT_TRUE(done);
    EXPECT_TRUE(wait_for_state(fleet, *done, "done", 3, milliseconds(20'000)));
    fleet.ask("DELETE", "/v1/jobs/" + *done, "red", 2);
    EXPECT_EQ(get_job(fleet, *done, 1).value("state", ""), "done");
    EXPECT_EQ(fleet.ask("GET", "/v1/jobs/" + *done + "/result", "red", 1).body,
        get_expected_result("short"));
}

} // namespace cowslippass
