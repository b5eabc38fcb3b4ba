#include "systems/scheduling/target_evidence.hpp"

#include <gtest/gtest.h>
#include <random>

namespace cowslippass
{

namespace
{

constexpr double sound_pool = 0.02;

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

job_id make_job(int i)
{
    return job_id("job-" + std::to_string(i));
}

} // namespace

// Failure: a target that fails all that it starts. It has always room, so that
// a placement by free capacity sends it one job after the other.
TEST(target_evidence_test, suspends_a_target_that_fails_two_jobs)
{
    target_evidence it;
    it.add_end(make_job(1), true, sound_pool, true, at(0));
    EXPECT_FALSE(it.is_suspended(at(0)));
    it.add_end(make_job(2), true, sound_pool, true, at(10));
    EXPECT_TRUE(it.is_suspended(at(20)));
    EXPECT_FALSE(it.is_suspended(at(3'000)));
    EXPECT_TRUE(it.is_on_probation(at(3'000)));
}

// Failure: a job that can never be done, with many tasks at one target.
TEST(target_evidence_test, does_not_blame_the_target_for_one_faulty_job)
{
    target_evidence it;
    for (int i = 0; i < 50; ++i)
        it.add_end(make_job(1), true, sound_pool, true, at(i));
    EXPECT_FALSE(it.is_suspended(at(50)));
}

// Load: many jobs that can never be done, at sound targets.
TEST(target_evidence_test, tolerates_failures_that_the_whole_pool_has)
{
    target_evidence it;
    std::mt19937 generator(3);
    std::bernoulli_distribution fails(0.4);
    int suspended = 0;
    for (int i = 0; i < 500; ++i)
    {
        it.add_end(make_job(i), fails(generator), 0.4, true, at(20 * i));
        suspended += it.is_suspended(at(20 * i));
    }
    EXPECT_EQ(suspended, 0);
}

// Failure: a target that fails half of its runs.
TEST(target_evidence_test, finds_a_target_that_fails_half_of_its_runs)
{
    target_evidence it;
    int n = 0;
    while (!it.is_suspended(at(n)) && n < 30)
    {
        it.add_end(make_job(n), n % 2 == 0, sound_pool, true, at(n));
        ++n;
    }
    EXPECT_LE(n, 5);
}

// Guards against a target that stays out of use after it has recovered.
TEST(target_evidence_test, done_runs_end_the_probation)
{
    target_evidence it;
    it.add_end(make_job(1), true, sound_pool, true, at(0));
    it.add_end(make_job(2), true, sound_pool, true, at(0));
    for (int i = 0; i < 6; ++i)
        it.add_end(make_job(3 + i), false, sound_pool, true, at(2'500 + i));
    EXPECT_FALSE(it.is_on_probation(at(3'000)));
    EXPECT_FALSE(it.is_suspended(at(3'000)));
}

// Failure: a target that goes on failing. It is tried less and less often.
TEST(target_evidence_test, suspensions_grow_while_the_target_fails)
{
    target_evidence it;
    it.add_end(make_job(1), true, sound_pool, true, at(0));
    it.add_end(make_job(2), true, sound_pool, true, at(0));
    it.add_end(make_job(3), true, sound_pool, true, at(2'100));
    EXPECT_TRUE(it.is_suspended(at(6'000)));
    EXPECT_FALSE(it.is_suspended(at(6'200)));
}

// Guards against a pool that loses all of its targets to suspicion.
TEST(target_evidence_test, is_not_suspended_while_too_many_others_are)
{
    target_evidence it;
    for (int i = 0; i < 10; ++i)
        it.add_end(make_job(i), true, sound_pool, false, at(i));
    EXPECT_FALSE(it.is_suspended(at(10)));
}

// Failure: a target at which tasks stand still, and which later recovers.
TEST(target_evidence_test, a_slow_target_is_slow_while_its_tasks_show_it)
{
    target_evidence it;
    EXPECT_FALSE(it.is_slow(at(0)));
    it.set_speed(0.1, at(100));
    EXPECT_TRUE(it.is_slow(at(200)));
    EXPECT_FALSE(it.is_slow(at(3'200)));
    it.set_speed(0.1, at(4'000));
    it.set_speed(0.9, at(4'500));
    EXPECT_FALSE(it.is_slow(at(4'600)));
}

// Guards against a baseline of 0 or 1, by which one run would decide.
TEST(failure_baseline_test, stays_within_its_bounds)
{
    failure_baseline it;
    for (int i = 0; i < 5'000; ++i)
        it.add(false);
    EXPECT_GT(it.get_share(), 0);
    for (int i = 0; i < 5'000; ++i)
        it.add(true);
    EXPECT_LT(it.get_share(), 0.5);
}

} // namespace cowslippass
