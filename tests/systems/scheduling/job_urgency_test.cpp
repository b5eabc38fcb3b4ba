#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cowslippass
{

namespace
{

class job_urgency_test : public testing::Test, public coordinator_fixture
{
protected:
    job_urgency_test()
    {
        auto state = make_published_state();
        state.config->queues[queue_a].stretch_factor = 1.5;
        state.config->queues[queue_a].deadline_allowance = milliseconds(500);
        state.config->teams[team_a].weight = 100;
        it.set_publication(state);
    }

    void submit(
        const std::string& id, std::vector<step_spec> steps, std::int64_t ms)
    {
        it.submit(job_id(id), make_record(std::move(steps)), at(ms));
    }
};

} // namespace

// Guards against a chain that leaves out steps or counts parallel ones twice.
TEST(job_chain, is_the_longest_way_through_the_steps)
{
    step_spec last = make_step(1);
    last.after = {0, 1};
    step_spec longer = make_step(4);
    longer.estimate = milliseconds(1'500);
    job it(job_id("j"), queue_a, team_a,
        make_record({make_step(2), longer, last}).spec);
    EXPECT_EQ(estimate_remaining_chain(it), milliseconds(2'500));
    for (std::uint32_t i = 0; i < 4; ++i)
        it.record_run_end({0, 1, i}, it.assign({0, 1, i}, target_id("t")),
            run_outcome::done, "", 1);
    EXPECT_EQ(estimate_remaining_chain(it), milliseconds(2'000));
    queue_config queue;
    queue.stretch_factor = 2;
    queue.deadline_allowance = milliseconds(100);
    EXPECT_EQ(get_time_allowed(it.get_spec(), queue), milliseconds(5'100));
}

// Answers a burst that the pool cannot hold: served in order of arrival, each
// job would wait for those before it until all were late.
TEST_F(job_urgency_test, starts_jobs_that_can_be_in_time_before_late_ones)
{
    // A job may take two seconds, of which its work is one.
    submit("old", {make_step(1)}, 0);
    submit("new", {make_step(1)}, 1'500);
    add_target(make_report("t1", 1));
    auto starts = plan(2'100);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, job_id("new"));
}

TEST_F(job_urgency_test, starts_the_most_pressing_job_in_time_first)
{
    submit("second", {make_step(1)}, 100);
    submit("first", {make_step(1)}, 50);
    add_target(make_report("t1", 1));
    auto starts = plan(200);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, job_id("first"));
}

// Guards against jobs that are all begun and none finished in a burst.
TEST_F(job_urgency_test, finishes_begun_jobs_before_new_ones)
{
    step_spec last = make_step(1);
    last.after = {0};
    add_target(make_report("t1", 1));
    submit("begun", {make_step(1), last}, 0);
    auto first = plan(0);
    ASSERT_EQ(first.size(), 1U);
    submit("fresh", {make_step(1)}, 10);
    target_look look;
    look.ended.push_back(
        {1, first[0].task, first[0].run, run_outcome::done, ""});
    it.note_look(target_id("t1"), look, at(500), at(501));
    auto starts = plan(502);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, job_id("begun"));
}

// Answers a team that sends many times its usual: its excess waits, others do
// not wait for it.
TEST_F(job_urgency_test, puts_what_a_team_sends_beyond_its_share_last)
{
    auto state = make_published_state();
    state.config->version = config_version(2);
    state.config->queues[queue_a].deadline_allowance = milliseconds(9'000);
    state.config->teams[team_a].weight = 2;
    state.config->teams[team_id("small")].team = team_id("small");
    it.set_publication(state);
    for (int i = 0; i < 6; ++i)
        submit("hot" + std::to_string(i), {make_step(1)}, 0);
    auto record = make_record({make_step(1)});
    record.team = team_id("small");
    it.submit(job_id("small"), record, at(100));
    add_target(make_report("t1", 5));
    auto starts = plan(200);
    ASSERT_EQ(starts.size(), 5U);
    EXPECT_TRUE(std::ranges::any_of(starts, [](const start_decision& start)
        { return start.task.job == job_id("small"); }));
}

// Answers a burst beyond the pool in a queue with good estimates: a job that
// would end late even if it started now gives way to one that would not.
TEST_F(job_urgency_test, passes_over_jobs_that_would_end_late)
{
    add_target(make_report("t1", 40));
    submit("teacher", {make_step(32)}, 0);
    target_look look;
    std::uint64_t n = 0;
    for (const start_decision& start : plan(0))
        look.ended.push_back(
            {++n, start.task, start.run, run_outcome::done, ""});
    it.note_look(target_id("t1"), look, at(1'000), at(1'000));
    // A job may take two seconds, of which its work is one.
    submit("doomed", {make_step(20)}, 2'000);
    submit("savable", {make_step(20)}, 2'900);
    auto starts = plan(3'200);
    ASSERT_EQ(starts.size(), 32U);
    for (std::size_t i = 0; i < 20; ++i)
        EXPECT_EQ(starts[i].task.job, job_id("savable"));
}

// Guards against an order by estimates that say nothing.
TEST(estimate_meter, trusts_only_estimates_that_hold)
{
    estimate_meter it;
    const queue_id good("good");
    const queue_id bad("bad");
    EXPECT_FALSE(it.get_factor(good));
    for (int i = 0; i < 100; ++i)
    {
        it.add(good, milliseconds(1'000), milliseconds(1'100 + i % 3 * 100));
        it.add(bad, milliseconds(1'000), milliseconds(300 + i % 2 * 1'700));
    }
    EXPECT_GT(it.get_factor(good).value_or(0), 1.2);
    EXPECT_LT(it.get_factor(good).value_or(9), 1.4);
    EXPECT_FALSE(it.get_factor(bad));
}

// Answers a backlog of which most is past its use: it must not hold the room
// that new jobs and other pools need, and goes on in what is left.
TEST_F(job_urgency_test, leaves_room_beside_overdue_jobs)
{
    for (int i = 0; i < 20; ++i)
        submit("overdue" + std::to_string(i), {make_step(1)}, 0);
    add_target(make_report("t1", 10));
    // A job may take two seconds; after six it is overdue.
    EXPECT_EQ(plan(6'100).size(), 6U);
    EXPECT_TRUE(plan(6'200).empty());
    submit("new", {make_step(4)}, 6'300);
    EXPECT_EQ(plan(6'300).size(), 4U);
}

TEST(share_meter, refills_with_time)
{
    share_meter it;
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(it.take(team_a, 2, at(0)));
    EXPECT_FALSE(it.take(team_a, 2, at(0)));
    EXPECT_TRUE(it.take(team_a, 2, at(500)));
    EXPECT_FALSE(it.take(team_a, 2, at(500)));
}

} // namespace cowslippass
