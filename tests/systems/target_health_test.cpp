#include "systems/target_health.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

using namespace std::chrono_literals;

const monotonic_time epoch{1h};

bool always(const instance_id&)
{
    return true;
}

struct target_health_test : ::testing::Test
{
    target_health_test()
    {
        for (int i = 0; i < 10; ++i)
            health.set_target(get_target(i));
    }

    static instance_id get_target(int i)
    {
        return instance_id("t" + std::to_string(i));
    }

    void end(const std::string& task, int target, bool is_done)
    {
        health.on_task_end(task_id(task), get_target(target),
            is_done ? task_outcome::done : task_outcome::failed, now);
    }

    health_decisions tick() { return health.tick(now, always); }

    monotonic_time now = epoch;
    target_health health;
};

} // namespace

// Guards against a faulty target that attracts most tasks because it fails them
// quickly and so has free slots.
TEST_F(target_health_test, quarantines_a_target_that_fails_everything)
{
    for (int i = 0; i < 3; ++i)
    {
        end("a" + std::to_string(i), 0, false);
        end("b" + std::to_string(i), 1, true);
    }
    auto out = tick();
    ASSERT_EQ(out.changes.size(), 1u);
    EXPECT_EQ(out.changes[0].target, get_target(0));
    EXPECT_EQ(out.changes[0].rule, health_rule::fails_what_succeeds_elsewhere);
}

// Guards against healthy targets that are quarantined because many bad tasks
// fail on them.
TEST_F(target_health_test, many_bad_tasks_quarantine_no_target)
{
    std::size_t bad = 0;
    for (int i = 0; i < 400; ++i)
    {
        // Half of the work succeeds; the other half fails on every attempt.
        end("good" + std::to_string(i), i % 10, true);
        for (int attempt = 0; attempt < 3; ++attempt)
            end("bad" + std::to_string(i), (i + attempt * 3) % 10, false);
        auto out = tick();
        EXPECT_TRUE(out.changes.empty()) << "after task " << i;
        bad += out.bad_tasks.size();
    }
    EXPECT_GT(bad, 200u);
}

// Guards against a good task that is reported as bad because its attempts ran
// on faulty targets.
TEST_F(target_health_test, failures_on_faulty_targets_do_not_make_a_bad_task)
{
    for (int i = 0; i < 10; ++i)
        end("first", i, true);
    for (int i = 0; i < 3; ++i)
        for (int task = 0; task < 5; ++task)
            end("x" + std::to_string(task) + std::to_string(i), i, false);
    for (int i = 0; i < 3; ++i)
        end("good", i, false);
    EXPECT_TRUE(tick().bad_tasks.empty());
}

// Guards against a quarantined target that gets all kinds of tasks again
// without a probation, and against one that keeps failing and returning at the
// same rate because its quarantine does not get longer.
TEST_F(target_health_test, returns_on_probation_after_longer_quarantines)
{
    for (int i = 0; i < 3; ++i)
        end("a" + std::to_string(i), 0, false);
    tick();
    now += 9s;
    EXPECT_TRUE(tick().changes.empty());
    now += 1s;
    ASSERT_EQ(tick().changes.size(), 1u);
    EXPECT_EQ(health.get_state(get_target(0)), target_health_state::probation);
    end("b0", 0, false);
    end("b1", 0, false);
    tick();
    now += 19s;
    EXPECT_TRUE(tick().changes.empty());
    now += 1s;
    ASSERT_EQ(tick().changes.size(), 1u);
    for (int i = 0; i < 3; ++i)
        end("c" + std::to_string(i), 0, true);
    auto out = tick();
    ASSERT_EQ(out.changes.size(), 1u);
    EXPECT_EQ(out.changes[0].rule, health_rule::probation_passed);
}

// Guards against more quarantined targets than the availability budget of the
// pool allows (invariant I1).
TEST_F(target_health_test, respects_the_availability_budget)
{
    auto never = [](const instance_id&) { return false; };
    health.on_silent(get_target(0), now);
    auto out = health.tick(now, never);
    ASSERT_EQ(out.changes.size(), 1u);
    EXPECT_EQ(out.changes[0].state, target_health_state::probation);
    EXPECT_TRUE(health.tick(now, never).changes.empty());
    out = tick();
    ASSERT_EQ(out.changes.size(), 1u);
    EXPECT_EQ(out.changes[0].state, target_health_state::quarantined);
}

// Guards against a silent target that gets tasks as soon as it answers once.
TEST_F(target_health_test, a_silent_target_returns_after_it_answers_for_a_while)
{
    health.on_silent(get_target(0), now);
    tick();
    now += 60s;
    EXPECT_TRUE(tick().changes.empty());
    health.on_answer(get_target(0), now);
    EXPECT_TRUE(tick().changes.empty());
    now += 2s;
    auto out = tick();
    ASSERT_EQ(out.changes.size(), 1u);
    EXPECT_EQ(out.changes[0].rule, health_rule::answers_again);
}

// Guards against retries that multiply the load when all tasks fail.
RC_GTEST_PROP(retry_budget, retries_stay_a_fraction_of_successes, ())
{
    retry_budget budget(0.1, 20.0);
    auto successes = *rc::gen::inRange(0, 1000);
    int retries = 0;
    for (int i = 0; i < successes; ++i)
    {
        budget.on_success();
        retries += budget.try_acquire(epoch) ? 1 : 0;
    }
    for (int i = 0; i < 1000; ++i)
        retries += budget.try_acquire(epoch) ? 1 : 0;
    RC_ASSERT(retries <= 21 + successes / 10);
}

} // namespace cowslippass
