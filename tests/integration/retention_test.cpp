#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds hour{3'600'000};
constexpr milliseconds pass_timeout{60'000};

void set_platform_clock(test_fleet& fleet, milliseconds ahead)
{
    set_control(fleet.get_cluster().get_platform_endpoint(),
        {{"clock_ahead_ms", ahead.count()}});
}

std::size_t count_rows(test_fleet& fleet, const std::string& prefix)
{
    return fetch_json(fleet.get_cluster().get_platform_endpoint(), "GET",
        "/v1/rows?prefix=" + prefix + "&limit=1000")
        .at("rows")
        .size();
}

std::string accept_job(test_fleet& fleet, const std::string& run_ms)
{
    caller_request request;
    request.queue = "slow";
    request.payload = "job of " + run_ms;
    request.run_ms = run_ms;
    caller_answer answer = fleet.post(request);
    return json::parse(answer.body).at("job").get<std::string>();
}

bool wait_for_state(
    test_fleet& fleet, const std::string& job, const std::string& state)
{
    auto is_there = [&]
    {
        auto answer = fleet.ask("GET", "/v1/jobs/" + job);
        return answer.body.find('"' + state + '"') != std::string::npos;
    };
    return wait_until(is_there, milliseconds(30'000));
}

} // namespace

// Guards against rows and objects that grow without end, against the removal
// of what has not ended, and against a repeat within the lifetime that runs
// again (I8). Claims are looked at in the order of their ids, so that those
// that must stay have been looked at when `old` is gone.
TEST(retention, old_rows_go_and_what_has_not_ended_stays)
{
    cluster_options options;
    options.entries_per_data_centre = 2;
    test_fleet fleet(options);
    caller_request old_one;
    old_one.queue = "once";
    old_one.request_id = "old";
    caller_request running = old_one;
    running.request_id = "a-running";
    running.run_ms = "150000";
    running.deadline_ms = "500";
    caller_request young = old_one;
    young.request_id = "a-young";
    ASSERT_TRUE(fleet.post(old_one).is_ok());
    EXPECT_EQ(fleet.post(running).run, "unknown");
    std::string ended_job = accept_job(fleet, "100");
    std::string running_job = accept_job(fleet, "150000");
    ASSERT_TRUE(wait_for_state(fleet, ended_job, "done"));
    ASSERT_TRUE(wait_for_state(fleet, running_job, "running"));
    set_platform_clock(fleet, hour * 12);
    ASSERT_TRUE(fleet.post(young).is_ok());
    auto get_objects = [&]
    { return fleet.get_platform_counters().at("objects").get<int>(); };
    int objects = get_objects();
    set_platform_clock(fleet, hour * 24 + hour / 6);
    auto is_clean = [&]
    {
        return count_rows(fleet, "claims/red/old") == 0 &&
               count_rows(fleet, "ended/") == 0 &&
               count_rows(fleet, "config/command/") == 0;
    };
    ASSERT_TRUE(wait_until(is_clean, pass_timeout));
    // Three claims and one removal.
    auto writes = fleet.get_platform_counters().at("row_writes_by_kind");
    EXPECT_EQ(writes.at("claims").get<int>(), 4);
    EXPECT_EQ(count_rows(fleet, "claims/red/"), 2u);
    EXPECT_EQ(count_rows(fleet, "jobs/"), 1u);
    // The result of `old`, and payload and result of the job.
    EXPECT_EQ(get_objects(), objects - 3);
    EXPECT_EQ(fleet.ask("GET", "/v1/jobs/" + ended_job).code, "unknown_job");
    EXPECT_TRUE(wait_for_state(fleet, running_job, "running"));
    for (std::size_t entry : {0, 1})
    {
        caller_answer answer = fleet.post(young, entry);
        EXPECT_EQ(answer.body, get_expected_result(young.payload));
        EXPECT_EQ(fleet.post(running, entry).run, "unknown");
    }
    EXPECT_EQ(fleet.count_runs("a-young"), 1u);
    EXPECT_EQ(fleet.count_runs("a-running"), 1u);
    // The caller that tells when it first sent the request is refused.
    old_one.first_sent = std::to_string(get_unix_ms() / 1'000);
    caller_answer late = fleet.post(old_one);
    EXPECT_EQ(late.code, "request_id_expired");
    EXPECT_EQ(late.run, "unknown");
    EXPECT_EQ(fleet.count_runs("old"), 1u);
}

} // namespace cowslippass
