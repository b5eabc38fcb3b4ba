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
        it.set_published_state(state);
    }

    void submit(
        const std::string& id, std::vector<step_spec> steps, std::int64_t ms)
    {
        it.submit(job_id(id), make_record(std::move(steps)), at(ms));
    }
};

} // namespace

// Guards against a critical path that leaves out steps or adds up parallel
// ones.
TEST(critical_path, is_the_longest_path_through_the_steps)
{
    step_spec last = make_step(1);
    last.after = {0, 1};
    step_spec longer = make_step(4);
    longer.estimate = milliseconds(1'500);
    job it(job_id("j"), queue_a, team_a,
        make_record({make_step(2), longer, last}).spec);
    std::vector<milliseconds> run_times;
    for (const step_spec& step : it.get_spec().steps)
        run_times.push_back(step.estimate);
    EXPECT_EQ(
        estimate_remaining_critical_path(it, run_times), milliseconds(2'500));
    for (std::uint32_t i = 0; i < 4; ++i)
        it.record_run_end({0, 1, i}, it.assign({0, 1, i}, target_id("t")),
            run_outcome::done, "", 1);
    EXPECT_EQ(
        estimate_remaining_critical_path(it, run_times), milliseconds(2'000));
    queue_config queue;
    queue.stretch_factor = 2;
    queue.deadline_allowance = milliseconds(100);
    EXPECT_EQ(
        get_time_allowed(it.get_spec(), run_times, queue), milliseconds(5'100));
}

// Guards against a burst beyond the pool's capacity that makes all jobs late:
// in order of arrival, each job would wait for those before it.
TEST_F(job_urgency_test, starts_jobs_that_can_be_in_time_before_late_ones)
{
    // The time allowed for a job is 2 s; the work takes 1 s of it.
    submit("old", {make_step(1)}, 0);
    submit("new", {make_step(1)}, 1'500);
    add_target(make_report("t1", 1));
    auto starts = plan(2'100);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, job_id("new"));
}

// Guards against a job that misses its deadline because one with a later
// deadline starts first.
TEST_F(job_urgency_test, starts_the_job_with_the_earliest_deadline_first)
{
    submit("second", {make_step(1)}, 100);
    submit("first", {make_step(1)}, 50);
    add_target(make_report("t1", 1));
    auto starts = plan(200);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, job_id("first"));
}

// Guards against a burst in which all jobs are started and none finishes,
// because first steps of new jobs go before later steps of started ones.
TEST_F(job_urgency_test, finishes_started_jobs_before_new_ones)
{
    step_spec last = make_step(1);
    last.after = {0};
    add_target(make_report("t1", 1));
    submit("begun", {make_step(1), last}, 0);
    auto first = plan(0);
    ASSERT_EQ(first.size(), 1U);
    submit("fresh", {make_step(1)}, 10);
    target_status status;
    status.ended.push_back(
        {1, first[0].task, first[0].run, run_outcome::done, ""});
    it.handle_status(target_id("t1"), status, at(500), at(501));
    auto starts = plan(502);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, job_id("begun"));
}

// Guards against a team whose burst of submissions delays other teams: the jobs
// beyond its share have to wait.
TEST_F(job_urgency_test, ranks_jobs_beyond_their_team_share_last)
{
    auto state = make_published_state();
    state.config->version = config_version(2);
    state.config->queues[queue_a].deadline_allowance = milliseconds(9'000);
    state.config->teams[team_a].weight = 2;
    state.config->teams[team_id("small")].team = team_id("small");
    it.set_published_state(state);
    for (int i = 0; i < 6; ++i)
        submit("burst" + std::to_string(i), {make_step(1)}, 0);
    auto record = make_record({make_step(1)});
    record.team = team_id("small");
    it.submit(job_id("small"), record, at(100));
    add_target(make_report("t1", 5));
    auto starts = plan(200);
    ASSERT_EQ(starts.size(), 5U);
    EXPECT_TRUE(std::ranges::any_of(starts, [](const start_decision& start)
        { return start.task.job == job_id("small"); }));
}

// Guards against capacity that goes to jobs that would end late even if they
// started now, while others could still end in time: a burst exceeds the pool's
// capacity in a queue with accurate estimates.
TEST_F(job_urgency_test, prefers_jobs_that_can_end_in_time)
{
    add_target(make_report("t1", 40));
    submit("calibration", {make_step(32)}, 0);
    target_status status;
    std::uint64_t n = 0;
    for (const start_decision& start : plan(0))
        status.ended.push_back(
            {++n, start.task, start.run, run_outcome::done, ""});
    it.handle_status(target_id("t1"), status, at(1'000), at(1'000));
    // The time allowed for a job is 2 s; the work takes 1 s of it.
    submit("late", {make_step(20)}, 2'000);
    submit("in_time", {make_step(20)}, 2'900);
    auto starts = plan(3'200);
    ASSERT_EQ(starts.size(), 32U);
    for (std::size_t i = 0; i < 20; ++i)
        EXPECT_EQ(starts[i].task.job, job_id("in_time"));
}

// Guards against jobs that are ranked by inaccurate estimates.
TEST(estimate_calibrator, trusts_only_accurate_estimates)
{
    estimate_calibrator it;
    const queue_id good("good");
    const queue_id bad("bad");
    EXPECT_FALSE(it.get_correction_factor(good));
    for (int i = 0; i < 100; ++i)
    {
        it.add(good, milliseconds(1'000), milliseconds(1'100 + i % 3 * 100));
        it.add(bad, milliseconds(1'000), milliseconds(300 + i % 2 * 1'700));
    }
    EXPECT_GT(it.get_correction_factor(good).value_or(0), 1.2);
    EXPECT_LT(it.get_correction_factor(good).value_or(9), 1.4);
    EXPECT_FALSE(it.get_correction_factor(bad));
}

// Guards against a backlog of overdue jobs that takes the capacity that new
// jobs and other pools need, and against one that makes no progress at all.
TEST_F(job_urgency_test, leaves_capacity_beside_overdue_jobs)
{
    for (int i = 0; i < 20; ++i)
        submit("overdue" + std::to_string(i), {make_step(1)}, 0);
    add_target(make_report("t1", 10));
    // The time allowed for a job is 2 s; after 6 s it is overdue.
    EXPECT_EQ(plan(6'100).size(), 6U);
    EXPECT_TRUE(plan(6'200).empty());
    submit("new", {make_step(4)}, 6'300);
    EXPECT_EQ(plan(6'300).size(), 4U);
}

// Guards against a team that can never submit within its share again after a
// burst, or that exceeds its rate.
TEST(team_share_limiter, refills_with_time)
{
    team_share_limiter it;
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(it.take(team_a, 2, at(0)));
    EXPECT_FALSE(it.take(team_a, 2, at(0)));
    EXPECT_TRUE(it.take(team_a, 2, at(500)));
    EXPECT_FALSE(it.take(team_a, 2, at(500)));
}

// Guards against a deadline that overflows, so that the job counts as overdue
// or as the most urgent one.
TEST(job_urgency, bounds_the_time_allowed)
{
    job_spec spec;
    constexpr std::uint32_t step_count = 10'000;
    for (std::uint32_t i = 0; i < step_count; ++i)
    {
        step_spec step;
        if (i > 0)
            step.after = {i - 1};
        spec.steps.push_back(step);
    }
    std::vector<milliseconds> run_times(
        step_count, std::chrono::hours(24 * 365 * 30));
    queue_config queue;
    queue.stretch_factor = 1'000;
    queue.deadline_allowance = milliseconds(1);
    milliseconds allowed = get_time_allowed(spec, run_times, queue);
    EXPECT_GT(allowed, std::chrono::hours(24 * 365));
    // Times of the scheduler are counted in nanoseconds.
    using nanoseconds = std::chrono::duration<double, std::nano>;
    EXPECT_LT(nanoseconds(allowed) * overdue_factor,
        nanoseconds(boot_clock::duration::max()) / 10);
    job owner(job_id("j"), queue_id("q"), team_id("t"), spec);
    milliseconds remaining = estimate_remaining_critical_path(owner, run_times);
    EXPECT_GT(remaining, std::chrono::hours(24 * 365));
    EXPECT_LT(
        nanoseconds(remaining), nanoseconds(boot_clock::duration::max()) / 10);
}

} // namespace cowslippass
