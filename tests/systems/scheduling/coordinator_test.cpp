#include "systems/configuration/queue_record.hpp"
#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cowslippass
{

namespace
{

const job_id job_1("1");
const target_id target_1("t1");
const target_id target_2("t2");

class coordinator_test : public testing::Test, public coordinator_fixture
{
};

} // namespace

// Guards against a target that gets more work than its capacity.
TEST_F(coordinator_test, never_exceeds_the_capacity_of_a_target)
{
    add_target(make_report("t1", 4));
    add_target(make_report("t2", 3));
    it.submit(job_1, make_record({make_step(20)}), at(0));
    EXPECT_EQ(plan().size(), 7U);
    EXPECT_TRUE(plan(1).empty());
    for (const auto& [id, target] : it.get_targets())
        EXPECT_TRUE(target.report.capacity.holds(target.used));
}

// Guards against capacity of a stopped run that is assigned to another run
// before the target reports the end.
TEST_F(coordinator_test, frees_capacity_when_the_end_is_reported)
{
    add_target(make_report("t1", 1));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    auto starts = plan();
    ASSERT_EQ(starts.size(), 1U);
    it.cancel(job_1, at(10));
    it.submit(job_id("2"), make_record({make_step(1)}), at(10));
    auto stops = it.list_stops();
    ASSERT_EQ(stops.size(), 1U);
    it.handle_stop_reply(stops[0], request_outcome::accepted, at(20));
    EXPECT_TRUE(plan(20).empty());
    target_status status;
    status.ended.push_back(
        {1, starts[0].task, starts[0].run, run_outcome::stopped, ""});
    it.handle_status(target_1, status, at(30), at(31));
    EXPECT_EQ(plan(32).size(), 1U);
}

// Guards against a team that uses more resources than its limit.
TEST_F(coordinator_test, keeps_a_team_within_its_limit)
{
    auto state = make_published_state();
    state.config->version = config_version(2);
    state.config->teams[team_a].limit = {3'000, 0, 0};
    it.set_published_state(state);
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(5)}), at(0));
    EXPECT_EQ(plan().size(), 3U);
    // Tasks beyond the limit add nothing to the demand for instances.
    EXPECT_EQ(it.measure_demand(at(0))[pool_a].waiting, resources{});
}

// Guards against a task that runs twice because a silent target still executes
// it: the target's leases have to expire first.
TEST_F(coordinator_test, waits_for_the_leases_of_a_silent_target)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    ASSERT_EQ(plan().size(), 1U);
    it.record_lease(target_1, at(6'000));
    it.handle_poll_failure(target_1, at(1'000));
    add_target(make_report("t2"));
    it.end_runs_without_lease(at(5'999));
    EXPECT_TRUE(plan(5'999).empty());
    it.end_runs_without_lease(at(6'000));
    auto starts = plan(6'000);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.get(), 2U);
    EXPECT_EQ(starts[0].target, target_2);
}

// Failure: an outage of the store, in which a submission is withdrawn and comes
// again. Guards against a start of the withdrawn job that waited for the store
// and is sent for the new one, which is not stored yet.
TEST_F(coordinator_test, sends_no_start_of_a_withdrawn_job)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    auto withdrawn = it.plan(at(0), platform_time(0));
    ASSERT_EQ(withdrawn.size(), 1U);
    auto acceptance = it.get_acceptance_number(job_1);
    it.withdraw_job(job_1);
    EXPECT_EQ(it.get_acceptance_number(job_1), 0U);
    it.submit(job_1, make_record({make_step(1)}), at(2'000));
    EXPECT_NE(it.get_acceptance_number(job_1), acceptance);
    auto planned = it.plan(at(2'000), platform_time(2'000));
    ASSERT_EQ(planned.size(), 1U);
    EXPECT_EQ(planned[0].run, withdrawn[0].run);
    EXPECT_FALSE(it.make_start_request(withdrawn[0]));
    it.abandon_start(withdrawn[0], at(2'000));
    EXPECT_EQ(it.get_runs().size(), 1U);
    EXPECT_TRUE(it.make_start_request(planned[0]));
}

// Guards against leases of a silent target that are renewed with every poll,
// so that its tasks never start elsewhere.
TEST_F(coordinator_test, lets_leases_of_a_silent_target_expire)
{
    add_target(make_report("t1"));
    EXPECT_FALSE(it.should_renew_leases(target_1));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    plan();
    EXPECT_TRUE(it.should_renew_leases(target_1));
    it.handle_poll_failure(target_1, at(1'000));
    EXPECT_FALSE(it.should_renew_leases(target_1));
    it.handle_status(target_1, make_status(target_1), at(1'500), at(1'501));
    EXPECT_TRUE(it.should_renew_leases(target_1));
}

// Guards against tasks that wait for a lease to expire although their target
// has restarted and lost them.
TEST_F(coordinator_test, restarts_at_once_tasks_that_a_new_incarnation_lost)
{
    target_status first;
    first.incarnation_start = platform_time(1);
    it.handle_target_change({target_1, make_report("t1")}, at(0));
    it.handle_status(target_1, first, at(0), at(0));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    ASSERT_EQ(plan().size(), 1U);
    target_status second;
    second.incarnation_start = platform_time(2);
    it.handle_status(target_1, second, at(100), at(101));
    EXPECT_EQ(plan(102).size(), 1U);
}

// Guards against a run that counts as lost because it is missing in the answer
// to a poll that was sent before the run was confirmed.
TEST_F(coordinator_test, ignores_polls_sent_before_the_start)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    plan(100);
    it.handle_status(target_1, {}, at(90), at(110));
    EXPECT_EQ(it.get_runs().size(), 1U);
    it.handle_status(target_1, {}, at(120), at(130));
    EXPECT_TRUE(it.get_runs().empty());
}

// Guards against a task that runs twice because a start request without an
// answer arrives late: only a confirmed stop frees the task.
TEST_F(coordinator_test, stops_a_run_whose_start_may_arrive_late)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    auto starts = it.plan(at(0), platform_time(0));
    ASSERT_EQ(starts.size(), 1U);
    it.make_start_request(starts[0]);
    it.handle_start_reply(starts[0], request_outcome::no_answer, at(600));
    it.handle_start_reply(starts[0], request_outcome::unavailable, at(700));
    EXPECT_EQ(it.get_runs().size(), 1U);
    auto stops = it.list_stops();
    ASSERT_EQ(stops.size(), 1U);
    it.handle_status(target_1, {}, at(800), at(801));
    EXPECT_EQ(it.get_runs().size(), 1U);
    it.handle_stop_reply(stops[0], request_outcome::accepted, at(900));
    it.handle_status(target_1, {}, at(1'000), at(1'001));
    EXPECT_TRUE(it.get_runs().empty());
    EXPECT_EQ(plan(2'000).size(), 1U);
}

// Guards against a run that is never started, stopped or ended: the coordinator
// lost the store and gave up sending the start request.
TEST_F(coordinator_test, stops_a_run_whose_start_is_abandoned)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(2)}), at(0));
    auto starts = it.plan(at(0), platform_time(0));
    ASSERT_EQ(starts.size(), 2U);
    it.abandon_start(starts[0], at(10));
    EXPECT_EQ(it.get_runs().size(), 1U);
    it.make_start_request(starts[1]);
    it.handle_start_reply(starts[1], request_outcome::no_answer, at(600));
    it.abandon_start(starts[1], at(700));
    EXPECT_EQ(it.list_stops().size(), 1U);
}

// Guards against a task that never starts again: each repeated stop reset the
// time of confirmation, so that the poll on its way was too old to tell that
// the run is gone.
TEST_F(coordinator_test, judges_a_stopped_run_by_the_first_poll_after_the_stop)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    auto starts = it.plan(at(0), platform_time(0));
    ASSERT_EQ(starts.size(), 1U);
    it.make_start_request(starts[0]);
    it.handle_start_reply(starts[0], request_outcome::no_answer, at(600));
    it.abandon_start(starts[0], at(700));
    auto stops = it.list_stops();
    ASSERT_EQ(stops.size(), 1U);
    it.handle_stop_reply(stops[0], request_outcome::accepted, at(1'000));
    it.handle_stop_reply(stops[0], request_outcome::accepted, at(1'300));
    it.handle_status(target_1, {}, at(1'100), at(2'600));
    EXPECT_TRUE(it.get_runs().empty());
}

// Load pattern: targets leave some requests unanswered while they answer the
// next ones. Guards against a pool that loses most of its targets to back-offs.
TEST_F(coordinator_test, uses_a_target_again_that_answers_after_a_lost_answer)
{
    add_target(make_report("t1"));
    it.submit(job_id("1"), make_record({make_step(1)}), at(0));
    auto first = it.plan(at(0), platform_time(0));
    ASSERT_EQ(first.size(), 1U);
    it.make_start_request(first[0]);
    it.handle_start_reply(first[0], request_outcome::no_answer, at(100));
    it.submit(job_id("2"), make_record({make_step(1)}), at(100));
    EXPECT_TRUE(plan(110).empty());
    // The answer to a poll that was sent before says nothing.
    it.handle_status(target_id("t1"), {}, at(90), at(120));
    EXPECT_TRUE(plan(120).empty());
    it.handle_status(target_id("t1"), {}, at(130), at(140));
    EXPECT_EQ(plan(140).size(), 1U);
    // A refusal keeps the target out, whatever it answers to polls.
    it.handle_start_reply(first[0], request_outcome::unavailable, at(150));
    it.handle_status(
        target_id("t1"), make_status(target_id("t1")), at(160), at(170));
    it.submit(job_id("3"), make_record({make_step(1)}), at(170));
    EXPECT_TRUE(plan(170).empty());
    EXPECT_EQ(plan(1'200).size(), 1U);
}

// Guards against work for targets that are draining, cordoned, evacuated or in
// another pool, or that have not answered a poll yet.
TEST_F(coordinator_test, uses_only_eligible_targets)
{
    auto draining = make_report("t1");
    draining.is_draining = true;
    add_target(draining);
    it.handle_target_change({target_2, make_report("t2")}, at(0));
    auto elsewhere = make_report("t3");
    elsewhere.pool = pool_off;
    add_target(elsewhere);
    auto evacuated = make_report("t4");
    evacuated.data_centre = data_centre_id("y");
    auto state = make_published_state();
    state.evacuated.insert(data_centre_id("y"));
    it.set_published_state(state);
    add_target(evacuated);
    add_target(make_report("t5"));
    it.set_cordon(target_id("t5"), true);
    it.submit(job_1, make_record({make_step(1)}), at(0));
    EXPECT_TRUE(plan().empty());
    it.handle_status(target_2, {}, at(1), at(2));
    EXPECT_EQ(plan(3).size(), 1U);
}

// Guards against more tasks of one step on a target than the step allows.
TEST_F(coordinator_test, keeps_the_maximum_for_each_target)
{
    add_target(make_report("t1"));
    add_target(make_report("t2"));
    step_spec step = make_step(5);
    step.max_per_target = 2;
    it.submit(job_1, make_record({step}), at(0));
    EXPECT_EQ(plan().size(), 4U);
    auto demand = it.measure_demand(at(0))[pool_a];
    EXPECT_EQ(demand.spread, 3U);
}

// Guards against a gang of which only some members start, because not all of
// them fit.
TEST_F(coordinator_test, starts_all_members_of_a_gang_or_none)
{
    add_target(make_report("t1", 3));
    step_spec step = make_step(4);
    step.is_gang = true;
    it.submit(job_1, make_record({step}), at(0));
    EXPECT_TRUE(plan().empty());
    EXPECT_TRUE(it.get_runs().empty());
    add_target(make_report("t2", 3));
    auto starts = plan(1);
    ASSERT_EQ(starts.size(), 4U);
    for (const start_decision& start : starts)
        EXPECT_EQ(start.run, starts[0].run);
}

// Guards against a job that is not counted as waiting although each target has
// refused to start its task.
TEST_F(coordinator_test, counts_a_job_as_queued_until_a_task_starts)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    for (std::int64_t ms : {0, 2'000, 4'000})
    {
        auto starts = it.plan(at(ms), platform_time(ms));
        ASSERT_EQ(starts.size(), 1U);
        it.make_start_request(starts[0]);
        EXPECT_EQ(it.count_queued(queue_a), 1U);
        it.handle_start_reply(
            starts[0], request_outcome::unavailable, at(ms + 10));
        EXPECT_EQ(it.count_queued(queue_a), 1U);
        EXPECT_EQ(it.find_job(job_1)->get_phase(), job_phase::queued);
    }
    EXPECT_EQ(plan(6'000).size(), 1U);
    EXPECT_EQ(it.count_queued(queue_a), 0U);
    EXPECT_EQ(it.find_job(job_1)->get_phase(), job_phase::running);
}

// Guards against a successor that counts jobs as running, or as waiting, by the
// assignments of its predecessor instead of what the targets run.
TEST_F(coordinator_test, counts_jobs_of_a_predecessor_by_what_targets_run)
{
    const job_id job_2("2");
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    it.submit(job_2, make_record({make_step(1)}), at(0));
    ASSERT_EQ(it.plan(at(0), platform_time(0)).size(), 2U);
    coordinator_fixture next;
    for (const job_id& id : {job_1, job_2})
        next.it.load_job(id, make_record({make_step(1)}),
            it.find_job(id)->encode_progress(), at(0), platform_time(0));
    next.it.handle_target_change({target_1, make_report("t1")}, at(0));
    target_status status = make_status(target_1);
    std::erase_if(status.running,
        [&](const running_report& run) { return run.task.job == job_2; });
    next.it.handle_status(target_1, status, at(10), at(11));
    EXPECT_EQ(next.it.count_queued(queue_a), 1U);
    EXPECT_EQ(next.it.find_job(job_1)->get_phase(), job_phase::running);
    EXPECT_EQ(next.it.find_job(job_2)->get_phase(), job_phase::queued);
}

// Failure: a target crashes while a gang that saves works on it. Guards against
// members that are started with different checkpoints: the one whose target
// crashed has none, and the gang never works again. Also after a takeover, when
// a start is repeated, and when a former run reports late.
TEST_F(coordinator_test, resumes_a_gang_from_one_checkpoint)
{
    add_target(make_report("t1", 1));
    add_target(make_report("t2", 1));
    step_spec step = make_step(2);
    step.is_gang = true;
    step.saves_checkpoints = true;
    job_record record = make_record({step});
    it.submit(job_1, record, at(0));
    auto first = plan(0);
    ASSERT_EQ(first.size(), 2U);
    auto report_end = [](coordinator& to, const start_decision& start,
                          std::uint64_t number, const std::string& saved,
                          std::int64_t ms)
    {
        target_status status;
        status.ended.push_back(
            {number, start.task, start.run, run_outcome::gang_broken, saved});
        to.handle_status(start.target, status, at(ms), at(ms));
    };
    auto expect_checkpoint = [](coordinator& from,
                                 const std::vector<start_decision>& starts,
                                 const std::string& saved)
    {
        ASSERT_EQ(starts.size(), 2U);
        EXPECT_EQ(starts[0].run, starts[1].run);
        for (int i = 0; i < 2; ++i)
            for (const start_decision& start : starts)
                EXPECT_EQ(from.make_start_request(start)->saved, saved);
    };
    // The first member's target crashes, the second one reports its checkpoint.
    it.handle_status(first[0].target, {}, at(100), at(100));
    report_end(it, first[1], 1, "v1", 100);
    auto second = it.plan(at(200), platform_time(200));
    expect_checkpoint(it, second, "v1");
    for (const start_decision& start : second)
        it.handle_start_reply(start, request_outcome::accepted, at(200));
    // A successor takes over, learns the next checkpoint from one member alone
    // and that the other target has lost its run.
    std::string row = it.find_job(job_1)->encode_progress();
    coordinator successor({});
    successor.set_published_state(make_published_state());
    for (const char* id : {"t1", "t2"})
    {
        target_report report = make_report(id, 1);
        successor.handle_target_change({report.target, report}, at(300));
    }
    successor.load_job(job_1, record, row, at(300), platform_time(300));
    report_end(successor, second[0], 7, "v2", 400);
    successor.handle_status(second[1].target, {}, at(400), at(400));
    auto third = successor.plan(at(500), platform_time(500));
    expect_checkpoint(successor, third, "v2");
    // An end of the former run comes late.
    report_end(successor, second[1], 8, "v1", 600);
    expect_checkpoint(successor, third, "v2");
    EXPECT_GT(third[0].run, second[0].run);
}

// Guards against members of a gang that wait for one that cannot join them: its
// start was not sent, or got no answer and was given up.
TEST_F(coordinator_test, stops_the_members_that_a_gang_waits_with)
{
    add_target(make_report("t1", 1));
    add_target(make_report("t2", 1));
    add_target(make_report("t3", 1));
    step_spec step = make_step(3);
    step.is_gang = true;
    it.submit(job_1, make_record({step}), at(0));
    auto starts = it.plan(at(0), platform_time(0));
    ASSERT_EQ(starts.size(), 3U);
    it.make_start_request(starts[0]);
    it.handle_start_reply(starts[0], request_outcome::accepted, at(10));
    it.make_start_request(starts[1]);
    EXPECT_TRUE(it.list_stops().empty());
    it.handle_start_reply(starts[1], request_outcome::not_sent, at(20));
    // The first member runs and is stopped; the third one is not sent any more.
    auto stops = it.list_stops();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].task, starts[0].task);
    EXPECT_FALSE(it.make_start_request(starts[2]));
    it.abandon_start(starts[2], at(20));
    // The gang starts again once all of it has ended.
    EXPECT_TRUE(it.plan(at(30), platform_time(30)).empty());
    target_status status;
    status.ended.push_back(
        {1, starts[0].task, starts[0].run, run_outcome::stopped, ""});
    it.handle_status(starts[0].target, status, at(40), at(40));
    it.handle_status(starts[1].target, {}, at(2'000), at(2'000));
    auto again = it.plan(at(2'000), platform_time(2'000));
    ASSERT_EQ(again.size(), 3U);
    EXPECT_GT(again[0].run, starts[0].run);
    EXPECT_EQ(again[0].run, again[2].run);
}

// Failure: a target is cut off until its lease has expired, and has done its
// task meanwhile. Guards against an end that is acknowledged and forgotten: the
// next step waited for the second run, which had begun elsewhere.
TEST_F(coordinator_test, accepts_a_task_that_was_done_at_a_silent_target)
{
    add_target(make_report("t1"));
    step_spec next = make_step(1);
    next.after = {0};
    it.submit(job_1, make_record({make_step(1), next}), at(0));
    auto first = plan(0);
    ASSERT_EQ(first.size(), 1U);
    it.record_lease(first[0].target, at(6'000));
    it.handle_poll_failure(first[0].target, at(1'000));
    add_target(make_report("t2"));
    it.end_runs_without_lease(at(6'100));
    auto second = plan(6'200);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].target, target_id("t2"));
    target_status status;
    status.ended.push_back(
        {1, first[0].task, first[0].run, run_outcome::done, ""});
    it.handle_status(first[0].target, status, at(7'000), at(7'000));
    // The second run is stopped, and the next step does not wait for it.
    auto stops = it.list_stops();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].run, second[0].run);
    auto third = plan(7'100);
    ASSERT_EQ(third.size(), 1U);
    EXPECT_EQ(third[0].task.key.step, 1U);
    // However the second run ends, it does not count.
    status.ended = {
        {1, second[0].task, second[0].run, run_outcome::failed, ""}};
    for (int i = 0; i < 5; ++i)
    {
        it.handle_status(second[0].target, status, at(7'200), at(7'200));
        ++status.ended[0].number;
    }
    EXPECT_EQ(it.find_job(job_1)->get_phase(), job_phase::running);
    status.ended = {{8, third[0].task, third[0].run, run_outcome::done, ""}};
    it.handle_status(third[0].target, status, at(8'000), at(8'000));
    EXPECT_EQ(it.find_job(job_1)->get_phase(), job_phase::completed);
    EXPECT_TRUE(it.find_job(job_1)->is_settled());
}

// Guards against runs that nobody stops and whose leases each poll extends with
// those of the others: of a job that is not known or has ended, and an earlier
// run of a task. What a later coordinator has started is left alone.
TEST_F(coordinator_test, stops_runs_that_must_not_be_there)
{
    add_target(make_report("t1"));
    add_target(make_report("t2"));
    const job_id job_2("2");
    it.submit(job_1, make_record({make_step(1)}), at(0));
    it.submit(job_2, make_record({make_step(1)}), at(0));
    auto starts = plan(0);
    ASSERT_EQ(starts.size(), 2U);
    if (starts[0].task.job == job_2)
        std::swap(starts[0], starts[1]);
    it.cancel(job_2, at(10));
    const start_decision& own = starts[0];
    target_status status;
    status.ended.push_back(
        {1, starts[1].task, starts[1].run, run_outcome::stopped, ""});
    if (own.target == starts[1].target)
        status.running.push_back({own.task, own.run, "", 50, 0});
    it.handle_status(starts[1].target, status, at(20), at(20));
    EXPECT_TRUE(it.list_stops().empty());

    auto list = [&](const char* target, std::vector<running_report> running)
    {
        target_status out;
        out.running = std::move(running);
        it.handle_status(target_id(target), out, at(30), at(30));
        return it.list_stops();
    };
    const std::string elsewhere = own.target == target_id("t1") ? "t2" : "t1";
    // Its own run is no stray.
    EXPECT_TRUE(list(own.target.get().c_str(),
        {{own.task, own.run, "", 50,
            0}}).empty());
    const task_name unknown{job_id("9"), {0, 0, 0}};
    auto stops = list(elsewhere.c_str(),
        {{unknown, run_number(3), "", 50, 0},
            {starts[1].task, starts[1].run, "", 50, 0},
            {own.task, own.run, "", 50, 0},
            {own.task, run_number(own.run.get() + 1), "", 50, 0}});
    ASSERT_EQ(stops.size(), 3U);
    EXPECT_EQ(stops[0].task, unknown);
    EXPECT_EQ(stops[0].run, run_number(3));
    EXPECT_EQ(stops[0].target, target_id(elsewhere));
    EXPECT_EQ(stops[1].task, starts[1].task);
    // The same run number at another target.
    EXPECT_EQ(stops[2].task, own.task);
    EXPECT_EQ(stops[2].run, own.run);
    // The target has stopped them; the job's own run is not affected.
    EXPECT_TRUE(list(elsewhere.c_str(), {}).empty());
    EXPECT_EQ(it.get_runs().size(), 1U);
}

// Guards against runs that a rollback ends: a later version has written rows
// that this one cannot decode.
TEST_F(coordinator_test, leaves_runs_of_unreadable_jobs_alone)
{
    add_target(make_report("t1"));
    it.add_unreadable_job(job_id("9"));
    target_status status;
    status.running.push_back(
        {{job_id("9"), {0, 0, 0}}, run_number(3), "", 50, 0});
    it.handle_status(target_id("t1"), status, at(30), at(30));
    EXPECT_TRUE(it.list_stops().empty());
}

// Guards against a gang that is started although its members cannot all be
// started while the first ones wait: its work is thrown away round after round.
TEST_F(coordinator_test, holds_a_gang_that_cannot_be_started_in_time)
{
    add_target(make_report("t1", 1'000));
    step_spec step = make_step(1'200, 1);
    step.need.memory = 1;
    step.is_gang = true;
    it.submit(job_1, make_record({step}), at(0));
    // Three starts in flight, 4 ms each, in half of the 3 s that members wait.
    EXPECT_TRUE(it.plan(at(0), platform_time(0)).empty());
    EXPECT_EQ(it.take_gangs_beyond_start_rate(), std::set{job_1});
    EXPECT_TRUE(it.take_gangs_beyond_start_rate().empty());
    // A fast target takes them all.
    it.record_start_time(target_id("t1"), milliseconds(3));
    EXPECT_EQ(it.plan(at(100), platform_time(100)).size(), 1'200U);
}

// The same on a slow target, and with a second one that takes the rest.
TEST_F(coordinator_test, spreads_a_gang_over_targets_that_start_it_in_time)
{
    add_target(make_report("t1", 1'000));
    it.record_start_time(target_id("t1"), milliseconds(45));
    step_spec step = make_step(150, 1);
    step.need.memory = 1;
    step.is_gang = true;
    it.submit(job_1, make_record({step}), at(0));
    EXPECT_TRUE(it.plan(at(0), platform_time(0)).empty());
    add_target(make_report("t2", 1'000));
    auto starts = it.plan(at(100), platform_time(100));
    ASSERT_EQ(starts.size(), 150U);
    EXPECT_EQ(
        std::ranges::count(starts, target_id("t1"), &start_decision::target),
        100);
}

// Guards against a gang that counts as running, raises its run numbers or
// writes its row while it waits, and against tasks of other jobs that wait
// because a member did not fit beside the others.
TEST_F(coordinator_test, leaves_no_trace_of_a_gang_that_does_not_fit)
{
    add_target(make_report("t1", 3));
    step_spec step = make_step(4);
    step.is_gang = true;
    it.submit(job_1, make_record({step}), at(0));
    const std::string before = it.find_job(job_1)->encode_progress();
    it.take_changed_jobs();
    for (std::int64_t ms = 0; ms < 5; ++ms)
        EXPECT_TRUE(plan(ms).empty());
    EXPECT_TRUE(it.take_changed_jobs().empty());
    EXPECT_EQ(it.find_job(job_1)->encode_progress(), before);
    EXPECT_EQ(it.find_job(job_1)->get_phase(), job_phase::queued);
    EXPECT_EQ(it.count_queued(queue_a), 1U);
    it.submit(job_id("2"), make_record({make_step(2)}), at(10));
    EXPECT_EQ(plan(10).size(), 2U);
    it.submit(job_id("3"), make_record({make_step(5)}), at(20));
    EXPECT_EQ(plan(20).size(), 1U);
    EXPECT_EQ(it.count_queued(queue_a), 1U);
}

// Guards against members of a gang that exceed the capacity of a target, or the
// number that it may have, because they are placed in the same round.
TEST_F(coordinator_test, places_a_gang_within_the_limits_of_each_target)
{
    add_target(make_report("t1", 2));
    step_spec step = make_step(4);
    step.is_gang = true;
    step.max_per_target = 2;
    it.submit(job_1, make_record({step}), at(0));
    EXPECT_TRUE(plan().empty());
    add_target(make_report("t2", 1));
    EXPECT_TRUE(plan(1).empty());
    add_target(make_report("t3", 16));
    EXPECT_EQ(plan(2).size(), 4U);
    for (const auto& [id, target] : it.get_targets())
    {
        EXPECT_TRUE(target.report.capacity.holds(target.used));
        EXPECT_LE(target.runs.size(), 2U);
    }
}

// Guards against maintenance that interrupts a second task of a step while
// another one is on a silent target, whose last report is out of date.
TEST_F(coordinator_test, counts_tasks_on_silent_targets_as_unavailable)
{
    add_target(make_report("t1", 1));
    add_target(make_report("t2", 1));
    step_spec step = make_step(2);
    step.is_long_running = true;
    step.max_unavailable = 1;
    it.submit(job_1, make_record({step}), at(0));
    ASSERT_EQ(plan().size(), 2U);
    it.handle_status(target_1, make_status(target_1), at(10), at(11));
    it.handle_status(target_2, make_status(target_2), at(10), at(11));
    const task_name first{job_1, {0, 0, 0}};
    const task_name second{job_1, {0, 0, 1}};
    EXPECT_TRUE(it.may_interrupt(first));
    const target_id other = it.get_runs().at(second).target;
    it.handle_poll_failure(other, at(1'000));
    EXPECT_FALSE(it.may_interrupt(first));
    it.handle_status(other, make_status(other), at(1'100), at(1'101));
    EXPECT_TRUE(it.may_interrupt(first));
    it.stop_run(second);
    EXPECT_FALSE(it.may_interrupt(first));
}

// Guards against a new coordinator that starts tasks a second time while they
// still run, or that never starts those that were lost.
TEST_F(coordinator_test, recovers_runs_from_rows_and_targets)
{
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(2)}), at(0));
    ASSERT_EQ(plan().size(), 2U);
    coordinator_fixture next;
    next.it.load_job(job_1, make_record({make_step(2)}),
        it.find_job(job_1)->encode_progress(), at(0), platform_time(0));
    next.it.record_lease(target_1, at(9'000));
    next.it.handle_target_change({target_1, make_report("t1")}, at(0));
    EXPECT_TRUE(next.plan().empty());
    // One run is still there; the start of the other never arrived and cannot
    // arrive any more.
    target_status status = make_status(target_1);
    status.running.resize(1);
    next.it.handle_status(target_1, status, at(10), at(11));
    auto starts = next.plan(12);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].run.get(), 2U);
}

// Guards against a job that fails before its attempts are used up, or never
// goes on: its queue was removed, and the coordinator that knew it was lost.
TEST_F(coordinator_test, keeps_removed_queues_with_jobs_over_a_takeover)
{
    step_spec last = make_step(1);
    last.after = {0};
    const job_record record = make_record({make_step(1), last});
    add_target(make_report("t1"));
    it.submit(job_1, record, at(0));
    auto stored = it.take_queue_changes();
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].queue, queue_a);
    auto starts = plan();
    ASSERT_EQ(starts.size(), 1U);
    auto without_queue = make_published_state();
    without_queue.config->version = config_version(2);
    without_queue.config->queues.clear();
    it.set_published_state(without_queue);
    EXPECT_TRUE(it.take_queue_changes().empty());
    coordinator next{coordinator_options{}};
    next.load_queue(queue_a, stored[0].value.value());
    next.load_job(job_1, record, it.find_job(job_1)->encode_progress(), at(0),
        platform_time(0));
    next.set_published_state(without_queue);
    next.handle_target_change({target_1, make_report("t1")}, at(0));
    std::uint64_t end_number = 0;
    auto end_run = [&](run_number run, std::uint32_t step, run_outcome outcome)
    {
        target_status status;
        status.ended.push_back(
            {++end_number, {job_1, {0, step, 0}}, run, outcome, ""});
        next.handle_status(target_1, status, at(10), at(11));
    };
    end_run(starts[0].run, 0, run_outcome::failed);
    EXPECT_EQ(next.find_job(job_1)->get_phase(), job_phase::running);
    auto again = next.plan(at(20), platform_time(20));
    ASSERT_EQ(again.size(), 1U);
    end_run(again[0].run, 0, run_outcome::done);
    auto second_step = next.plan(at(30), platform_time(30));
    ASSERT_EQ(second_step.size(), 1U);
    EXPECT_TRUE(next.take_queue_changes().empty());
    end_run(second_step[0].run, 1, run_outcome::done);
    EXPECT_EQ(next.find_job(job_1)->get_phase(), job_phase::completed);
    auto removed = next.take_queue_changes();
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_FALSE(removed[0].value);
}

// Guards against a job that fails because its queue is not known yet.
TEST_F(coordinator_test, fails_no_job_while_its_queue_is_unknown)
{
    coordinator next{coordinator_options{}};
    add_target(make_report("t1"));
    it.submit(job_1, make_record({make_step(1)}), at(0));
    auto starts = plan();
    ASSERT_EQ(starts.size(), 1U);
    next.load_job(job_1, make_record({make_step(1)}),
        it.find_job(job_1)->encode_progress(), at(0), platform_time(0));
    next.handle_target_change({target_1, make_report("t1")}, at(0));
    target_status status;
    status.ended.push_back(
        {1, starts[0].task, starts[0].run, run_outcome::failed, ""});
    next.handle_status(target_1, status, at(10), at(11));
    EXPECT_EQ(next.find_job(job_1)->get_phase(), job_phase::running);
    next.set_published_state(make_published_state());
    EXPECT_EQ(next.plan(at(20), platform_time(20)).size(), 1U);
}

// Guards against a field of a queue that is lost over a takeover.
TEST(queue_record, keeps_every_field_when_encoded)
{
    queue_config queue{queue_id("q"), "h", "/q/", pool_id("p"), 3, 4, 1.25,
        milliseconds(5), true,
        advice_config{milliseconds(6), milliseconds(7), milliseconds(8)}};
    const std::string text = encode_queue_config(queue);
    queue_config copy = decode_queue_config(text);
    EXPECT_EQ(encode_queue_config(copy), text);
    EXPECT_EQ(copy.queue, queue.queue);
    EXPECT_EQ(copy.host, "h");
    EXPECT_EQ(copy.path_prefix, "/q/");
    EXPECT_EQ(copy.pool, queue.pool);
    EXPECT_EQ(copy.priority, 3U);
    EXPECT_EQ(copy.max_attempts, 4U);
    EXPECT_EQ(copy.stretch_factor, 1.25);
    EXPECT_EQ(copy.deadline_allowance, milliseconds(5));
    EXPECT_TRUE(copy.allows_anonymous_callers);
    EXPECT_EQ(copy.advice->ticket_validity, milliseconds(8));
    EXPECT_THROW(decode_queue_config("{}"), systems_error);
    EXPECT_THROW(decode_queue_config("x"), systems_error);
}

// Guards against ended jobs that are kept for ever, or removed while callers
// may still ask for them.
TEST_F(coordinator_test, removes_ended_jobs_after_the_retention_time)
{
    it.submit(job_1, make_record({make_step(1)}), at(0));
    it.cancel(job_1, at(1'000));
    EXPECT_TRUE(it.take_expired_jobs(at(120'000)).empty());
    EXPECT_EQ(it.take_expired_jobs(at(160'000)).size(), 1U);
    EXPECT_EQ(it.find_job(job_1), nullptr);
}

} // namespace cowslippass
