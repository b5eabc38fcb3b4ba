#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

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
    out.has_peer_proxies = true;
    out.has_target_proxies = true;
    out.entry_settings["task_lease_ms"] = "3000";
    return out;
}

/// Sends requests through all entries at the same time and checks that each
/// gets its own whole result within its deadline.
void expect_whole_answers(test_fleet& fleet)
{
    std::vector<std::future<caller_answer>> answers;
    std::vector<std::string> payloads;
    for (std::size_t i = 0; i < 16; ++i)
    {
        payloads.push_back("payload " + std::to_string(i) +
                           std::string(i * 500, static_cast<char>('a' + i)));
        caller_request request;
        request.payload = payloads.back();
        request.deadline_ms = "20000";
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

} // namespace

// Guards against a cut result that reaches a caller as if it were whole, and
// against callers that miss their deadline because of it (I6).
TEST(whole_answers, a_target_that_truncates_results_spoils_no_answer)
{
    cluster_options options = make_options();
    options.targets_per_pool = 2;
    test_fleet fleet(options);
    auto& target = fleet.get_cluster().get_target("target-1-pool-1-1");
    set_control(target.get_direct_endpoint(), {{"truncate_results", true}});
    // Twice, as the target has been found out by the second time.
    expect_whole_answers(fleet);
    expect_whole_answers(fleet);
}

// Guards against callers that wait on a connection to a target that has gone
// silent while new connections work (I6).
TEST(whole_answers, silent_connections_to_targets_are_replaced)
{
    test_fleet fleet(make_options());
    expect_whole_answers(fleet);
    for (const auto& it : fleet.get_cluster().get_targets())
        it.proxy->control({{"silence_open", true}});
    expect_whole_answers(fleet);
}

// The same between entries (I6).
TEST(whole_answers, silent_connections_between_entries_are_replaced)
{
    test_fleet fleet(make_options());
    expect_whole_answers(fleet);
    for (const auto& it : fleet.get_cluster().get_entries())
        it.peer_proxy->control({{"silence_open", true}});
    expect_whole_answers(fleet);
}

// Guards against work that is lost or held up by a target that went silent
// while it was idle and seldom asked: nothing was sent to it, so that also
// non-idempotent work runs elsewhere.
TEST(whole_answers, work_for_a_target_that_froze_while_idle_runs_elsewhere)
{
    cluster_options options;
    options.targets_per_pool = 2;
    test_fleet fleet(options);
    fleet.wait_until_serving();
    std::this_thread::sleep_for(milliseconds(5'000));
    auto& frozen = fleet.get_cluster().get_targets().front();
    set_control(frozen.get_direct_endpoint(), {{"freeze_ms", 60'000}});
    for (const char* queue : {"once", "urgent"})
        for (std::size_t i = 0; i < 4; ++i)
        {
            caller_request request;
            request.queue = queue;
            request.request_id = queue + std::to_string(i);
            caller_answer answer = fleet.post(request);
            EXPECT_EQ(answer.status, 200u) << answer.body;
            EXPECT_EQ(fleet.count_runs(request.request_id), 1u);
        }
}

} // namespace cowslippass
