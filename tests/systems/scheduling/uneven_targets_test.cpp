#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

const target_id target_1("t1");
const target_id target_2("t2");

coordinator_options make_options(bool judges_targets)
{
    coordinator_options out;
    out.judges_targets = judges_targets;
    return out;
}

/// A pool of three targets of which t1 fails every run at once.
struct faulty_target_pool : coordinator_fixture
{
    explicit faulty_target_pool(bool judges_targets)
        : coordinator_fixture(make_options(judges_targets))
    {
        for (const char* id : {"t1", "t2", "t3"})
            add_target(make_report(id, 4));
    }

    /// Submits a job of four tasks every 100 ms and ends all of its runs.
    void run_jobs(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            std::int64_t ms = 100 * i;
            job_id id("j" + std::to_string(i));
            it.submit(id, make_record({make_step(4)}), at(ms));
            for (int round = 0; round < 5; ++round)
                end_runs(plan(ms + 10 * round), ms + 10 * round + 5);
            failed_jobs += it.find_job(id)->get_phase() == job_phase::failed;
        }
    }

    void end_runs(const std::vector<start_decision>& starts, std::int64_t ms)
    {
        std::map<target_id, target_status> statuses;
        for (const start_decision& start : starts)
        {
            bool is_faulty = start.target == target_1;
            runs_at_faulty_target += is_faulty;
            statuses[start.target].ended.push_back(
                {++end_numbers[start.target], start.task, start.run,
                    is_faulty ? run_outcome::failed : run_outcome::done, ""});
        }
        for (const auto& [id, status] : statuses)
            it.handle_status(id, status, at(ms), at(ms));
    }

    std::map<target_id, std::uint64_t> end_numbers;
    int failed_jobs = 0;
    int runs_at_faulty_target = 0;
};

/// Reports a progress of the runs at a target.
void report_progress(
    coordinator_fixture& fixture, const target_id& id, int percent, int ms)
{
    fixture.it.handle_status(
        id, fixture.make_status(id, percent), at(ms), at(ms));
}

} // namespace

// Failure: a target that fails all that it starts and therefore always has
// room. Without evidence it uses up the attempts of each job.
TEST(uneven_targets_test, a_faulty_target_fails_no_job)
{
    faulty_target_pool unjudged(false);
    unjudged.run_jobs(20);
    EXPECT_GT(unjudged.failed_jobs, 0);
    faulty_target_pool judged(true);
    judged.run_jobs(20);
    EXPECT_EQ(judged.failed_jobs, 0);
    EXPECT_LE(judged.runs_at_faulty_target, 12);
}

// Failure: the target comes back repaired under its id. Guards against evidence
// that outlives the incarnation that it is about.
TEST(uneven_targets_test, a_new_incarnation_starts_without_evidence)
{
    faulty_target_pool it(true);
    it.run_jobs(10);
    ASSERT_TRUE(it.it.get_targets().at(target_1).evidence.is_suspended(at(0)));
    target_status repaired;
    repaired.incarnation_start = platform_time(7);
    it.it.handle_status(target_1, repaired, at(1'000), at(1'000));
    EXPECT_FALSE(it.it.get_targets().at(target_1).evidence.is_suspended(at(0)));
}

// Failure: a target at which tasks stand still. It gets work only when no other
// target has room.
TEST(uneven_targets_test, a_slow_target_gets_work_last)
{
    coordinator_fixture it(make_options(true));
    it.add_target(make_report("t1", 2));
    it.it.submit(job_id("1"), make_record({make_step(1)}), at(0));
    ASSERT_EQ(it.plan(0).size(), 1U);
    it.add_target(make_report("t2", 16));
    report_progress(it, target_1, 1, 800);
    it.it.submit(job_id("2"), make_record({make_step(1)}), at(800));
    auto starts = it.plan(800);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, target_2);
    it.it.submit(job_id("3"), make_record({make_step(16)}), at(810));
    EXPECT_EQ(it.plan(810).size(), 16U);
}

// Guards against a target that counts as slow because of its usual progress.
TEST(uneven_targets_test, a_sound_target_stays_the_first_choice)
{
    coordinator_fixture it(make_options(true));
    it.add_target(make_report("t1", 2));
    it.it.submit(job_id("1"), make_record({make_step(1)}), at(0));
    ASSERT_EQ(it.plan(0).size(), 1U);
    it.add_target(make_report("t2", 16));
    report_progress(it, target_1, 60, 800);
    it.it.submit(job_id("2"), make_record({make_step(1)}), at(800));
    auto starts = it.plan(800);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, target_1);
}

} // namespace cowslippass
