#include "tests/integration/test_fleet.hpp"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace cowslippass
{

namespace
{

cluster_options make_options()
{
    cluster_options out;
    out.data_centres = 2;
    out.entries_per_data_centre = 2;
    out.targets_per_pool = 2;
    return out;
}

} // namespace

// Guards against slots that are held by urgent work after its caller got the
// answer that the deadline has passed.
TEST(requests, urgent_work_past_its_deadline_leaves_its_target)
{
    test_fleet fleet(make_options());
    caller_request request;
    request.run_ms = "25000";
    request.deadline_ms = "1500";
    EXPECT_EQ(fleet.post(request).code, "answer_deadline");
    EXPECT_TRUE(wait_until(
        [&] { return fleet.count_running() == 0; }, milliseconds(10'000)));
    request.queue = "once";
    request.request_id = "runs-on";
    EXPECT_EQ(fleet.post(request).code, "answer_deadline");
    EXPECT_EQ(fleet.count_running(), 1u);
}

// Guards against answers that are cut, crossed or lost on the way through two
// entries (I6).
TEST(requests, every_caller_gets_the_result_of_its_own_payload)
{
    test_fleet fleet(make_options());
    std::vector<std::future<caller_answer>> answers;
    std::vector<std::string> payloads;
    for (std::size_t i = 0; i < 24; ++i)
    {
        payloads.push_back("payload " + std::to_string(i) +
                           std::string(i * 100, static_cast<char>('a' + i)));
        caller_request request;
        request.payload = payloads.back();
        request.key = i % 2 == 0 ? "red" : "blue";
        answers.push_back(std::async(std::launch::async,
            [&fleet, request, i] { return fleet.post(request, i % 4); }));
    }
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        caller_answer answer = answers[i].get();
        EXPECT_EQ(answer.status, 200u) << answer.body;
        EXPECT_EQ(answer.body, get_expected_result(payloads[i]));
    }
}

// Guards against a second run when a caller repeats a request id (I8).
TEST(requests, a_repeated_non_idempotent_request_runs_once)
{
    test_fleet fleet(make_options());
    caller_request request;
    request.queue = "once";
    request.request_id = "reservation-1";
    for (std::size_t i = 0; i < 4; ++i)
    {
        caller_answer answer = fleet.post(request, i);
        EXPECT_EQ(answer.status, 200u) << answer.body;
        EXPECT_EQ(answer.body, get_expected_result(request.payload));
    }
    EXPECT_EQ(fleet.count_runs("reservation-1"), 1u);
    request.payload = "another payload";
    caller_answer other = fleet.post(request);
    EXPECT_EQ(other.status, 409u) << other.body;
    EXPECT_EQ(fleet.count_runs("reservation-1"), 1u);
}

// Guards against row writes that a non-idempotent request does not need: the
// platform's budget counts them, and they bound the requests of the fleet.
TEST(requests, a_non_idempotent_request_writes_one_row_and_one_object)
{
    test_fleet fleet(make_options());
    auto before = fleet.get_platform_counters();
    constexpr std::size_t requests = 20;
    caller_request request;
    request.queue = "once";
    for (std::size_t i = 0; i < requests; ++i)
    {
        request.request_id = "counted-" + std::to_string(i);
        EXPECT_TRUE(fleet.post(request, i % 4).is_ok());
        // A repeat reads the outcome and writes nothing.
        EXPECT_TRUE(fleet.post(request, (i + 1) % 4).is_ok());
    }
    auto after = fleet.get_platform_counters();
    EXPECT_EQ(after["row_writes_by_kind"].value("claims", 0u), requests);
    EXPECT_EQ(after["object_writes"].get<std::size_t>() -
                  before["object_writes"].get<std::size_t>(),
        requests);
}

// Guards against retries that go to the target that failed the task, which is
// the emptiest one, although another is free.
TEST(requests, a_retry_goes_to_another_target)
{
    // The first start goes to either target; one of the two rounds hits the
    // failing one.
    for (std::size_t failing : {0, 1})
    {
        cluster_options options = make_options();
        options.data_centres = 1;
        options.entries_per_data_centre = 1;
        test_fleet fleet(options);
        fleet.wait_until_serving();
        auto& target = fleet.get_cluster().get_targets()[failing];
        set_control(target.get_direct_endpoint(), {{"fail_all", true}});
        caller_request request;
        request.request_id = "retried";
        caller_answer answer = fleet.post(request);
        EXPECT_EQ(answer.status, 200u) << answer.body;
        EXPECT_LE(fleet.count_runs("retried"), 2u);
    }
}

// Guards against slow work that is accepted and then vanishes.
TEST(requests, a_slow_job_is_accepted_and_ends_with_its_result)
{
    test_fleet fleet(make_options());
    caller_request request;
    request.queue = "slow";
    caller_answer accepted = fleet.post(request);
    ASSERT_EQ(accepted.status, 202u) << accepted.body;
    std::string job =
        nlohmann::json::parse(accepted.body).at("job").get<std::string>();
    caller_answer state;
    EXPECT_TRUE(wait_until(
        [&]
        {
            state = fleet.ask("GET", "/v1/jobs/" + job, "red", 3);
            return state.body.find("\"done\"") != std::string::npos;
        },
        milliseconds(20'000)))
        << state.body;
    caller_answer result =
        fleet.ask("GET", "/v1/jobs/" + job + "/result", "red", 2);
    EXPECT_EQ(result.body, get_expected_result(request.payload));
    // A job belongs to its team.
    EXPECT_EQ(fleet.ask("GET", "/v1/jobs/" + job, "blue").status, 404u);
}

// Guards against refusals without a reason and against refusals that claim
// "not run" for work that ran (I7).
TEST(requests, bad_input_is_refused_with_a_code_and_has_not_run)
{
    cluster_options options = make_options();
    options.data_centres = 1;
    options.entry_settings["max_body_bytes"] = "1000";
    test_fleet fleet(options);
    caller_request unknown_queue;
    unknown_queue.queue = "none";
    EXPECT_EQ(fleet.post(unknown_queue).code, "unknown_queue");
    caller_request no_key;
    no_key.key = "";
    EXPECT_EQ(fleet.post(no_key).code, "missing_key");
    caller_request no_id;
    no_id.queue = "once";
    EXPECT_EQ(fleet.post(no_id).code, "missing_request_id");
    caller_request bad_id;
    bad_id.request_id = "a b";
    EXPECT_EQ(fleet.post(bad_id).code, "bad_request_id");
    caller_request large;
    large.payload = std::string(1001, 'x');
    caller_answer answer = fleet.post(large);
    EXPECT_EQ(answer.status, 413u);
    EXPECT_EQ(answer.code, "body_too_large");
    EXPECT_EQ(answer.run, "no");
    http_result syntax = fleet.try_run("create tema x", 0);
    ASSERT_TRUE(syntax.response);
    EXPECT_EQ(syntax.response->status, 400u);
    EXPECT_NE(syntax.response->body.find("\"column\""), std::string::npos);
}

// Guards against a key that goes on working after it was withdrawn (I3).
TEST(requests, a_withdrawn_key_is_refused_by_every_entry_once_in_force)
{
    test_fleet fleet(make_options());
    auto answer = fleet.run("withdraw key red-key", 0, true);
    EXPECT_TRUE(answer.at("in_force").get<bool>());
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_EQ(fleet.post(caller_request{}, i).code, "unknown_key");
    caller_request blue;
    blue.key = "blue";
    EXPECT_TRUE(fleet.post(blue).is_ok());
}

} // namespace cowslippass
