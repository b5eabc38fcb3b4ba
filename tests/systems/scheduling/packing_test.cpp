#include "systems/scheduling/target_fit.hpp"
#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace cowslippass
{

namespace
{

coordinator_options make_options(bool packs_by_shape)
{
    coordinator_options out;
    out.packs_by_shape = packs_by_shape;
    return out;
}

step_spec make_lasting_step(std::uint32_t tasks, std::int64_t processor)
{
    step_spec out = make_step(tasks, processor);
    out.is_long_running = true;
    out.max_per_target = 1;
    return out;
}

/// A pool of six targets with 64 cores. A long-running job keeps three of
/// them, and a short task fills most of another one.
struct turn_that_ends : coordinator_fixture
{
    explicit turn_that_ends(bool packs_by_shape)
        : coordinator_fixture(make_options(packs_by_shape))
    {
        for (int i = 0; i < 6; ++i)
            add_target(make_report("t" + std::to_string(i), 64));
        it.submit(job_id("short"), make_record({make_step(1, 60'000)}), at(0));
        short_target = plan().front().target;
        it.submit(
            job_id("lasts"), make_record({make_lasting_step(3, 8'000)}), at(0));
        for (const start_decision& start : plan())
            lasting_targets.insert(start.target);
    }

    target_id short_target;
    std::set<target_id> lasting_targets;
};

} // namespace

// Load pattern: at the end of a turn short tasks still arrive. Beside
// long-running tasks they keep no target that could leave the pool.
TEST(packing, places_short_tasks_beside_long_running_ones)
{
    turn_that_ends pool(true);
    ASSERT_EQ(pool.lasting_targets.size(), 3U);
    pool.it.submit(job_id("1"), make_record({make_step(8, 4'000)}), at(0));
    for (const start_decision& start : pool.plan())
        EXPECT_TRUE(pool.lasting_targets.contains(start.target));
}

// Load pattern: several long-running jobs that run one task on each target. The
// tasks of the second one belong on the targets of the first one, also when
// short tasks make others fuller.
TEST(packing, gathers_long_running_jobs_on_the_same_targets)
{
    turn_that_ends pool(true);
    pool.it.submit(
        job_id("2"), make_record({make_lasting_step(3, 4'000)}), at(0));
    std::set<target_id> chosen;
    for (const start_decision& start : pool.plan())
        chosen.insert(start.target);
    EXPECT_EQ(chosen, pool.lasting_targets);
}

// Without the setting the fullest target goes first, as before.
TEST(packing, fills_the_fullest_target_unless_it_is_switched_on)
{
    turn_that_ends pool(false);
    pool.it.submit(job_id("1"), make_record({make_step(1, 4'000)}), at(0));
    auto starts = pool.plan();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().target, pool.short_target);
}

// Load pattern: tasks that need much memory beside tasks that need many cores.
// What a task leaves is measured in the resource that it makes scarcest.
TEST(target_fit, compares_the_scarcest_resource)
{
    target_entry roomy;
    roomy.report.capacity = {64'000, 128'000, 0};
    target_entry tight = roomy;
    resources need{8'000, 17'000, 0};
    EXPECT_LT(measure_fit(tight, {64'000, 20'000, 0}, need),
        measure_fit(roomy, {30'000, 128'000, 0}, need));
    tight.long_running = {1'000, 1'000, 0};
    EXPECT_FALSE(measure_fit(tight, {64'000, 128'000, 0}, need).can_empty);
}

namespace
{

constexpr int target_count = 5;
constexpr std::int64_t team_limit = 120'000;

/// Random jobs on a small pool: short and long-running tasks of any shape,
/// gangs, a limit of the team, ends and interruptions.
class packing_simulation : public coordinator_fixture
{
public:
    packing_simulation() : coordinator_fixture(make_options(true))
    {
        published_state state = make_published_state();
        state.config->teams[team_a].limit.processor = team_limit;
        it.set_published_state(state);
        for (int i = 0; i < target_count; ++i)
            add_target(make_report("t" + std::to_string(i), 40));
    }

    void step(int choice)
    {
        now_ms_ += 10;
        int n = choice / 4;
        switch (choice % 4)
        {
        case 0:
            submit(n);
            break;
        case 1:
            plan_round();
            break;
        case 2:
            end_run(n);
            break;
        default:
            interrupt(n);
            break;
        }
        check_limits();
    }

private:
    void submit(int n)
    {
        step_spec step = make_step(
            1 + static_cast<std::uint32_t>(n % 7), 1'000 * (1 + n / 7 % 40));
        step.need.memory = 500 * (1 + n / 280 % 40);
        step.is_long_running = n % 3 == 0;
        step.is_gang = n % 5 == 0 && !step.is_long_running;
        step.max_per_target = static_cast<std::uint32_t>(n % 4 % 3);
        step.max_unavailable = static_cast<std::uint32_t>(n % 3);
        it.submit(job_id(std::to_string(++last_job_)), make_record({step}),
            at(now_ms_));
    }

    void plan_round()
    {
        it.take_changed_jobs();
        auto runs = it.get_runs().size();
        auto used = sum_used();
        bool is_empty = plan(now_ms_).empty();
        if (is_empty)
        {
            RC_ASSERT(it.get_runs().size() == runs);
            RC_ASSERT(sum_used() == used);
            RC_ASSERT(it.take_changed_jobs().empty());
        }
        for (const auto& [id, target] : it.get_targets())
            it.handle_status(id, make_status(id), at(now_ms_), at(now_ms_));
    }

    std::pair<task_name, active_run> choose_run(int n) const
    {
        auto found = it.get_runs().begin();
        std::advance(found, n % static_cast<int>(it.get_runs().size()));
        return *found;
    }

    void end_run(int n)
    {
        if (it.get_runs().empty())
            return;
        std::pair<task_name, active_run> chosen = choose_run(n);
        const task_name& task = chosen.first;
        const active_run& run = chosen.second;
        target_status status = make_status(run.target);
        std::erase_if(status.running,
            [&](const auto& report) { return report.task == task; });
        status.ended.push_back({++end_numbers_[run.target], task, run.number,
            run.must_stop ? run_outcome::stopped : run_outcome::done, ""});
        it.handle_status(run.target, status, at(now_ms_), at(now_ms_));
    }

    void interrupt(int n)
    {
        if (it.get_runs().empty())
            return;
        task_name task = choose_run(n).first;
        if (!it.may_interrupt(task))
            return;
        it.stop_run(task);
        const step_spec& step = it.find_job(task.job)->get_step(task.key);
        std::uint32_t serving = 0;
        for (const auto& [name, run] : it.get_runs())
            serving +=
                name.job == task.job && run.percent == 100 && !run.must_stop;
        RC_ASSERT(
            step.task_count - serving <= std::max(1U, step.max_unavailable));
    }

    resources sum_used() const
    {
        resources out;
        for (const auto& [id, target] : it.get_targets())
            out += target.used;
        return out;
    }

    void check_limits() const
    {
        for (const auto& [id, target] : it.get_targets())
        {
            RC_ASSERT(target.report.capacity.holds(target.used));
            std::map<job_id, std::uint32_t> counts;
            for (const task_name& task : target.runs)
                ++counts[task.job];
            for (const auto& [job, n] : counts)
            {
                std::uint32_t most =
                    it.find_job(job)->get_step({}).max_per_target;
                RC_ASSERT(most == 0 || n <= most);
            }
        }
        RC_ASSERT(sum_used().processor <= team_limit);
    }

    std::int64_t now_ms_ = 0;
    int last_job_ = 0;
    std::map<target_id, std::uint64_t> end_numbers_;
};

} // namespace

// Guards against a packing rule that places a task beyond a target's capacity,
// its team's limit or max_per_target, that interrupts beyond a step's budget,
// or that changes anything in a round without a start.
RC_GTEST_PROP(packing, never_exceeds_a_limit, ())
{
    auto choices = *rc::gen::container<std::vector<int>>(
        120, rc::gen::inRange(0, 100'000));
    packing_simulation it;
    for (int choice : choices)
        it.step(choice);
}

} // namespace cowslippass
