#include "tests/systems/placement_fixture.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

using namespace placement_test;

// Guards against a preemption that stops a task before its checkpoint is
// stored, and against one that never frees the slot.
TEST(placement_preemption, preempts_by_throttle_checkpoint_and_stop)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 1));
    system.add_task(make_task("slow", "x", queue_kind::slow));
    tick(system, epoch);
    auto now = epoch + 1s;
    system.add_task(make_task("urgent", "y", queue_kind::urgent, now));
    using rules = std::vector<placement_rule>;
    EXPECT_EQ(get_rules(tick(system, now)), rules{});
    now += 20ms;
    EXPECT_EQ(
        get_rules(tick(system, now)), rules{placement_rule::urgent_waits});
    now += 1ms;
    auto items = tick(system, now);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].action, placement_action::checkpoint);
    system.on_checkpointed(task_id("slow"), now);
    EXPECT_EQ(
        get_rules(tick(system, now)), rules{placement_rule::checkpoint_done});
    system.on_task_end(task_id("slow"), task_outcome::stopped, now);
    EXPECT_EQ(
        get_rules(tick(system, now)), rules{placement_rule::urgent_first});
}

// Guards against a checkpoint that never completes and delays an urgent task
// beyond its start bound.
TEST(placement_preemption, stops_a_victim_whose_checkpoint_is_overdue)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 1));
    system.add_task(make_task("slow", "x", queue_kind::slow));
    tick(system, epoch);
    system.add_task(make_task("urgent", "y"));
    tick(system, epoch + 20ms);
    tick(system, epoch + 30ms);
    EXPECT_EQ(get_rules(tick(system, epoch + 1030ms)),
        std::vector{placement_rule::checkpoint_overdue});
}

// Guards against a slow task that is stopped although no urgent task needs its
// slot any more.
TEST(placement_preemption, resumes_a_victim_that_is_no_longer_needed)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 1));
    system.add_task(make_task("slow", "x", queue_kind::slow));
    tick(system, epoch);
    system.add_task(make_task("urgent", "y"));
    tick(system, epoch + 20ms);
    EXPECT_EQ(system.cancel_task(task_id("urgent")),
        placement_system::cancel_outcome::not_run);
    EXPECT_EQ(get_rules(tick(system, epoch + 30ms)),
        std::vector{placement_rule::urgent_served});
}

// Guards against the preemption of a task that must not run twice (invariant
// I8).
TEST(placement_preemption, never_preempts_work_that_is_not_idempotent)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 1));
    auto slow = make_task("slow", "x", queue_kind::slow);
    slow.is_idempotent = false;
    system.add_task(slow);
    tick(system, epoch);
    system.add_task(make_task("urgent", "y"));
    EXPECT_TRUE(tick(system, epoch + 2s).empty());
}

// Guards against a preemption for a team at its fleet-wide limit, which could
// not use the slot.
TEST(placement_preemption, does_not_preempt_for_a_team_without_grant)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 1));
    system.add_task(make_task("slow", "x", queue_kind::slow));
    tick(system, epoch);
    system.add_task(make_task("urgent", "y"));
    auto out = system.tick(epoch + 1s, [](const team_id&) { return false; });
    EXPECT_TRUE(out.items.empty());
    EXPECT_EQ(out.teams_without_grant, std::vector{team_id("y")});
}

// Guards against victims that are preempted in every tick for more tasks than
// the teams with waiting tasks have grants for.
TEST(placement_preemption, frees_at_most_one_slot_per_grant)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 5));
    for (int i = 0; i < 5; ++i)
        system.add_task(
            make_task("s" + std::to_string(i), "s", queue_kind::slow));
    tick(system, epoch);
    for (int i = 0; i < 4; ++i)
    {
        system.add_task(make_task("x" + std::to_string(i), "x"));
        system.add_task(make_task("y" + std::to_string(i), "y"));
    }
    int grants = 1;
    int throttled = 0;
    for (int i = 0; i < 10; ++i)
        for (const auto& item :
            system
                .tick(epoch + 50ms, [&](const team_id& team)
                    { return team == team_id("y") && grants-- > 0; })
                .items)
            throttled += item.action == placement_action::throttle ? 1 : 0;
    EXPECT_EQ(throttled, 1);
}

} // namespace cowslippass
