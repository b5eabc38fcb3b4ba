#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr std::int64_t start_ms = 1'000;

coordinator_options make_options(bool sheds_overload = true)
{
    coordinator_options out;
    out.sheds_overload = sheds_overload;
    out.refuses_overload = sheds_overload;
    return out;
}

/// A pool of targets of four cores, with jobs of four tasks of a second that
/// are in time within 2.2 s and still help within 6.6 s.
struct small_pool : coordinator_fixture
{
    explicit small_pool(bool sheds_overload = true)
        : coordinator_fixture(make_options(sheds_overload))
    {
        auto state = make_published_state();
        state.config->queues[queue_a].stretch_factor = 1.6;
        state.config->queues[queue_a].deadline_allowance = milliseconds(600);
        state.config->teams[team_a].weight = 30;
        it.set_published_state(state);
    }

    void submit(const std::string& id, std::int64_t ms = start_ms)
    {
        it.submit(job_id(id), make_record({make_step(4)}), at(ms));
    }

    void submit_jobs(int count)
    {
        for (int i = 0; i < count; ++i)
            submit("j" + std::to_string(i));
        plan(start_ms);
    }

    /// Ends all runs at the targets as done.
    void end_runs(std::int64_t ms)
    {
        std::map<target_id, target_status> ended;
        for (const auto& [task, run] : it.get_runs())
            ended[run.target].ended.push_back(
                {++end_number, task, run.number, run_outcome::done, ""});
        for (const auto& [target, status] : ended)
            it.handle_status(target, status, at(ms), at(ms));
    }

    std::optional<milliseconds> decide_refusal(
        const std::string& id, std::int64_t ms = start_ms)
    {
        return it.decide_refusal(
            job_id(id), make_record({make_step(4)}), at(ms));
    }

    std::uint64_t end_number = 0;
};

/// @return whether the job's first task started.
bool has_started(const std::vector<start_decision>& starts, const char* id)
{
    return std::ranges::any_of(starts,
        [&](const start_decision& it) { return it.task.job == job_id(id); });
}

/// Floods the pool, serves two jobs and lets a new one arrive when the others
/// can no longer be in time, though their deadline has not passed.
/// @return what starts then.
std::vector<start_decision> start_after_a_flood(bool sheds_overload)
{
    small_pool pool(sheds_overload);
    pool.add_target(make_report("t1", 4));
    pool.submit_jobs(8);
    pool.end_runs(2'000);
    pool.plan(2'000);
    pool.submit("new", 2'900);
    pool.end_runs(3'000);
    return pool.plan(3'000);
}

} // namespace

// A flood that the pool can serve only in part: what can still be in time goes
// before older jobs that cannot.
TEST(overload, jobs_that_can_be_in_time_go_first)
{
    EXPECT_FALSE(has_started(start_after_a_flood(false), "new"));
    EXPECT_TRUE(has_started(start_after_a_flood(true), "new"));
}

// The same flood: the jobs that are left out start when no other one waits, and
// all of them end.
TEST(overload, jobs_that_are_left_out_are_not_forgotten)
{
    small_pool pool;
    pool.add_target(make_report("t1", 4));
    pool.submit_jobs(8);
    auto changes = pool.it.take_overload_changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].state.is_overloaded);
    EXPECT_GE(changes[0].state.selected, 1U);
    EXPECT_LE(changes[0].state.selected, 2U);
    EXPECT_EQ(changes[0].state.selected + changes[0].state.left_out, 8U);
    for (std::int64_t ms = 2'000; ms <= 10'000; ms += 1'000)
    {
        pool.end_runs(ms);
        pool.plan(ms);
    }
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(
            pool.it.find_job(job_id("j" + std::to_string(i)))->get_phase(),
            job_phase::completed);
    changes = pool.it.take_overload_changes();
    ASSERT_FALSE(changes.empty());
    EXPECT_FALSE(changes.back().state.is_overloaded);
}

// A pool with room for all: the same starts as without the setting, and
// nothing is refused.
TEST(overload, has_no_effect_while_all_fit)
{
    small_pool with(true);
    small_pool without(false);
    for (small_pool* it : {&with, &without})
        for (const char* id : {"t1", "t2", "t3", "t4"})
            it->add_target(make_report(id, 16));
    for (std::int64_t ms = start_ms; ms < 6'000; ms += 200)
    {
        std::vector<start_decision> starts[2];
        for (small_pool* it : {&with, &without})
        {
            it->submit("j" + std::to_string(ms), ms);
            starts[it == &without] = it->plan(ms);
            if (ms % 1'000 == 0)
                it->end_runs(ms);
        }
        ASSERT_EQ(starts[0].size(), starts[1].size());
        for (std::size_t i = 0; i < starts[0].size(); ++i)
        {
            EXPECT_EQ(starts[0][i].task, starts[1][i].task);
            EXPECT_EQ(starts[0][i].target, starts[1][i].target);
        }
        EXPECT_FALSE(with.decide_refusal("new", ms));
    }
    EXPECT_TRUE(with.it.take_overload_changes().empty());
}

// A flood of more than the pool can serve even late: the job that is refused
// leaves nothing behind, and jobs that were accepted are never refused.
TEST(overload, a_refused_job_leaves_nothing)
{
    small_pool pool;
    pool.add_target(make_report("t1", 4));
    pool.submit_jobs(20);
    pool.it.take_changed_jobs();
    ASSERT_TRUE(pool.decide_refusal("new"));
    EXPECT_EQ(pool.it.count_jobs(), 20U);
    EXPECT_FALSE(pool.it.find_job(job_id("new")));
    EXPECT_TRUE(pool.it.take_changed_jobs().empty());
    for (int i = 0; i < 20; ++i)
        EXPECT_FALSE(pool.decide_refusal("j" + std::to_string(i)));
    // The same job handed in again later is a new try.
    pool.submit("new");
    EXPECT_TRUE(pool.it.find_job(job_id("new")));
    EXPECT_FALSE(pool.decide_refusal("new"));
}

// One team floods the pool beyond its share: its jobs are refused, another
// team's are not.
TEST(overload, jobs_beyond_the_share_are_refused_first)
{
    small_pool pool;
    auto state = pool.it.get_published_state();
    state.config->teams[team_a].weight = 1;
    team_config other;
    other.team = team_id("other");
    state.config->teams[other.team] = other;
    pool.it.set_published_state(state);
    pool.add_target(make_report("t1", 4));
    pool.submit_jobs(20);
    EXPECT_TRUE(pool.decide_refusal("new"));
    job_record record = make_record({make_step(4)});
    record.team = other.team;
    EXPECT_FALSE(pool.it.decide_refusal(job_id("new"), record, at(start_ms)));
}

// The same flood while another pool has free instances, which could move here:
// nothing is refused, since the job may run in time after all.
TEST(overload, nothing_is_refused_while_other_pools_have_room)
{
    small_pool pool;
    pool.add_target(make_report("t1", 4));
    auto report = make_report("t2", 64);
    report.pool = pool_off;
    pool.add_target(report);
    pool.submit_jobs(20);
    EXPECT_FALSE(pool.decide_refusal("new"));
}

// A takeover during a flood: until the targets have reported, nobody knows the
// room, and nothing is refused. The successor then decides anew.
TEST(overload, nothing_is_refused_until_targets_have_reported)
{
    small_pool pool;
    for (const char* id : {"t1", "t2", "t3"})
    {
        auto report = make_report(id, 4);
        pool.it.handle_target_change({report.target, report}, at(0));
    }
    for (int i = 0; i < 40; ++i)
        pool.it.load_job(job_id("j" + std::to_string(i)),
            make_record({make_step(4)}), "", at(start_ms), platform_time(0));
    pool.plan(start_ms);
    EXPECT_FALSE(pool.decide_refusal("new"));
    for (const char* id : {"t1", "t2", "t3"})
        pool.it.handle_status(target_id(id), {}, at(1'100), at(1'100));
    pool.plan(1'200);
    EXPECT_TRUE(pool.decide_refusal("new", 1'200));
    // Nobody has planned for a while, for example without a valid term.
    EXPECT_FALSE(pool.decide_refusal("new", 3'000));
}

} // namespace cowslippass
