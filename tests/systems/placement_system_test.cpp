#include "tests/systems/placement_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace cowslippass
{

using namespace placement_test;

// Guards against urgent tasks that wait behind slow tasks that arrived earlier.
TEST(placement_system, urgent_work_starts_before_earlier_slow_work)
{
    placement_system system;
    system.set_target(make_target("a", 1));
    system.add_task(make_task("slow", "x", queue_kind::slow));
    system.add_task(make_task("urgent", "y", queue_kind::urgent, epoch + 1s));
    auto items = tick(system, epoch + 1s);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].task, task_id("urgent"));
    EXPECT_EQ(items[0].rule, placement_rule::urgent_first);
}

// Guards against slow tasks that fill the pool and leave no slot for an urgent
// task that arrives shortly after.
TEST(placement_system, slow_work_leaves_the_headroom_free)
{
    placement_system system(make_policy(0.125));
    system.set_target(make_target("a"));
    for (int i = 0; i < 10; ++i)
        system.add_task(
            make_task("s" + std::to_string(i), "x", queue_kind::slow));
    // 7 connections less the one that carries the status synchronization.
    EXPECT_EQ(tick(system, epoch).size(), 6u);
    EXPECT_EQ(tick(system, epoch).size(), 1u);
    EXPECT_EQ(system.count_free_slots(), 1u);
}

// Guards against a team that gains credit while it is idle and then takes the
// whole pool, and against a team that is held back later because it used slots
// that no other team needed.
TEST(placement_system, team_that_returns_gets_its_share_and_no_more)
{
    placement_system system(make_policy(0.0));
    auto target = make_target("a", 8);
    target.connections = 100;
    system.set_target(target);
    for (int i = 0; i < 200; ++i)
        system.add_task(
            make_task("x" + std::to_string(i), "x", queue_kind::slow));
    auto now = epoch;
    std::vector<placement_decision> running = tick(system, now);
    auto run_for = [&](int rounds)
    {
        int started_y = 0;
        for (int i = 0; i < rounds; ++i)
        {
            now += 1s;
            for (const auto& item : running)
                system.on_task_end(item.task, task_outcome::done, now);
            running = tick(system, now);
            for (const auto& item : running)
                started_y += item.team == team_id("y") ? 1 : 0;
        }
        return started_y;
    };
    run_for(10);
    for (int i = 0; i < 100; ++i)
        system.add_task(
            make_task("y" + std::to_string(i), "y", queue_kind::slow, now));
    int started_y = run_for(5);
    EXPECT_GE(started_y, 18);
    EXPECT_LE(started_y, 22);
}

// Guards against a burst of a large team that waits beyond the start bound
// while urgent tasks of other teams start at once.
TEST(placement_system, urgent_work_that_waited_long_precedes_other_teams)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 1));
    for (int i = 0; i < 5; ++i)
        system.add_task(make_task("x" + std::to_string(i), "x"));
    tick(system, epoch);
    auto now = epoch + 600ms;
    system.add_task(make_task("y", "y", queue_kind::urgent, now));
    system.on_task_end(task_id("x0"), task_outcome::done, now);
    auto items = tick(system, now);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].rule, placement_rule::long_wait);
    EXPECT_EQ(items[0].team, team_id("x"));
}

// Guards against slow tasks that starve behind urgent tasks of teams that are
// far above their share.
TEST(placement_system, slow_work_far_below_its_share_precedes_urgent_work)
{
    placement_system system(make_policy(0.0));
    system.set_target(make_target("a", 2));
    system.add_task(make_task("slow", "x", queue_kind::slow));
    auto now = epoch;
    int n = 0;
    std::vector<placement_decision> running;
    bool is_started = false;
    for (; now < epoch + 60s && !is_started; now += 1s)
    {
        for (const auto& item : running)
            system.on_task_end(item.task, task_outcome::done, now);
        for (int i = 0; i < 4; ++i)
            system.add_task(make_task(
                "u" + std::to_string(++n), "y", queue_kind::urgent, now));
        running = tick(system, now);
        for (const auto& item : running)
            is_started |= item.rule == placement_rule::share_debt;
    }
    EXPECT_TRUE(is_started);
    EXPECT_GT(now, epoch + 5s);
}

// Guards against non-preemptible tasks that accumulate in the pool, and against
// slots that stay free although only such tasks wait.
TEST(placement_system, bounds_non_preemptible_slow_work)
{
    placement_system system(make_policy(0.0));
    auto target = make_target("a", 32);
    target.connections = 100;
    system.set_target(target);
    auto add = [&](const std::string& id, bool is_idempotent)
    {
        auto task = make_task(id, "x", queue_kind::slow);
        task.is_idempotent = is_idempotent;
        system.add_task(task);
    };
    for (int i = 0; i < 20; ++i)
        add("fixed" + std::to_string(i), false);
    for (int i = 0; i < 20; ++i)
        add("slow" + std::to_string(i), true);
    auto items = tick(system, epoch);
    auto count = std::count_if(items.begin(), items.end(),
        [](const auto& item) { return item.task.get().starts_with("fixed"); });
    EXPECT_EQ(count, 12); // 2 by the bound, 10 once no others wait.
    EXPECT_EQ(items.size(), 32u);
    EXPECT_TRUE(items[2].task.get().starts_with("slow"));
}

// Guards against a team that starves while others wait, because it has only
// non-preemptible tasks and the pool runs its maximum of these.
TEST(placement_system,
    a_team_far_behind_exceeds_the_bound_on_non_preemptible_work)
{
    placement_system system(make_policy(0.0));
    auto target = make_target("a", 16);
    target.connections = 100;
    system.set_target(target);
    auto add = [&](const std::string& id, const std::string& team,
                   bool is_idempotent, monotonic_time now)
    {
        auto task = make_task(id, team, queue_kind::slow, now);
        task.is_idempotent = is_idempotent;
        system.add_task(task);
    };
    for (int i = 0; i < 30; ++i)
        add("a" + std::to_string(i), "a", true, epoch);
    for (int i = 0; i < 5; ++i)
        add("b" + std::to_string(i), "b", false, epoch);
    auto now = epoch;
    auto items = tick(system, now);
    EXPECT_EQ(system.count_running(team_id("b")), 1u);
    for (; now < epoch + 30s; now += 100ms)
        tick(system, now);
    // Team c has used less than team b, but only team b has a deficit.
    add("c", "c", false, now);
    auto ended = std::find_if(items.begin(), items.end(),
        [](const auto& item) { return item.team == team_id("a"); });
    system.on_task_end(ended->task, task_outcome::done, now);
    items = tick(system, now);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].team, team_id("b"));
}

// Guards against tasks that can never start, that run after the deadline of
// their caller, that fill the memory or that are queued twice.
TEST(placement_system, refuses_tasks_with_the_matching_rule)
{
    placement_policy policy;
    policy.max_waiting_per_class = 1;
    placement_system system(policy);
    auto target = make_target("a", 1);
    target.memory = byte_count(100);
    system.set_target(target);
    auto large = make_task("large", "x");
    large.memory = byte_count(101);
    EXPECT_EQ(system.add_task(large)->rule, placement_rule::fits_no_target);
    auto task = make_task("t", "x");
    task.deadline = epoch + 2s;
    EXPECT_FALSE(system.add_task(task).has_value());
    EXPECT_EQ(system.add_task(task)->rule, placement_rule::duplicate_task);
    EXPECT_EQ(system.add_task(make_task("u", "x"))->rule,
        placement_rule::team_queue_full);
    EXPECT_EQ(get_rules(tick(system, epoch + 2s)),
        std::vector{placement_rule::deadline_passed});
    EXPECT_EQ(system.count_tasks(), 0u);
}

// Guards against a rack failure that stops most of the urgent tasks.
TEST(placement_system, spreads_urgent_work_over_racks)
{
    placement_system system;
    for (int i = 0; i < 8; ++i)
    {
        auto target = make_target(std::to_string(i));
        target.rack = rack_id(i < 6 ? "large" : "small" + std::to_string(i));
        system.set_target(target);
    }
    std::map<rack_id, int> count;
    for (int i = 0; i < 8; ++i)
        system.add_task(make_task(std::to_string(i), "x"));
    for (const auto& item : tick(system, epoch))
        ++count[item.rack];
    EXPECT_EQ(count[rack_id("large")], 6);
    EXPECT_EQ(count[rack_id("small6")], 1);
}

// Guards against a large slow task that never fits because small tasks take the
// memory that becomes free.
TEST(placement_system, reserves_a_target_for_a_large_task)
{
    placement_system system(make_policy(0.0));
    auto target = make_target("a", 4);
    target.memory = byte_count(100);
    system.set_target(target);
    auto now = epoch;
    auto large = make_task("large", "x", queue_kind::slow, now);
    large.memory = byte_count(100);
    std::vector<task_id> running;
    bool is_started = false;
    for (int i = 0; i < 100 && !is_started; ++i)
    {
        auto small =
            make_task("s" + std::to_string(i), "y", queue_kind::slow, now);
        small.memory = byte_count(10);
        system.add_task(small);
        if (i == 5)
            system.add_task(large);
        if (running.size() == 3)
        {
            system.on_task_end(running.front(), task_outcome::done, now);
            running.erase(running.begin());
        }
        for (const auto& item : tick(system, now += 1s))
        {
            running.push_back(item.task);
            is_started |= item.rule == placement_rule::reservation;
        }
        if (running.size() < 3 && i > 20 && !running.empty())
        {
            system.on_task_end(running.front(), task_outcome::done, now);
            running.erase(running.begin());
        }
    }
    EXPECT_TRUE(is_started);
}

// Guards against urgent tasks that wait in a burst although a reserved target
// has free slots, and against a steady urgent load that delays the large task
// for ever.
TEST(placement_system, a_reservation_yields_to_urgent_work_for_a_while)
{
    placement_system system(make_policy(0.0));
    auto target = make_target("a", 4);
    target.memory = byte_count(100);
    system.set_target(target);
    auto large = make_task("large", "x", queue_kind::slow);
    large.memory = byte_count(100);
    auto add_urgent = [&](int n, monotonic_time now)
    {
        auto task = make_task(std::to_string(n), "y", queue_kind::urgent, now);
        task.memory = byte_count(10);
        system.add_task(task);
    };
    add_urgent(0, epoch);
    system.add_task(large);
    tick(system, epoch);
    auto now = epoch + 60s;
    EXPECT_TRUE(tick(system, now).empty()); // Reserves the target.
    int last = 0;
    bool is_started = false;
    for (int i = 1; i < 100 && !is_started; ++i)
    {
        now += 1s;
        add_urgent(i, now);
        auto items = tick(system, now);
        // Each urgent task runs until the next one has started.
        if (system.count_running(team_id("y")) > 1)
            system.on_task_end(
                task_id(std::to_string(last++)), task_outcome::done, now);
        else if (items.empty() && system.count_running(team_id("y")) == 1)
            system.on_task_end(
                task_id(std::to_string(last)), task_outcome::done, now);
        EXPECT_TRUE(i > 5 || items.size() == 1) << i;
        is_started = std::any_of(items.begin(), items.end(),
            [](const auto& item)
            { return item.rule == placement_rule::reservation; });
    }
    EXPECT_TRUE(is_started);
}

// Guards against a retry that waits until its deadline because the only target
// where it has not failed yet is out of service.
TEST(placement_system, avoids_a_target_only_while_another_can_serve)
{
    placement_system system;
    auto other = make_target("b");
    system.set_target(make_target("a"));
    system.set_target(other);
    auto retry = make_task("t", "x");
    retry.avoided_targets = {instance_id("a")};
    system.add_task(retry);
    auto items = tick(system, epoch);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].target, other.id);
    other.state = instance_state::draining;
    system.set_target(other);
    retry.id = task_id("u");
    system.add_task(retry);
    items = tick(system, epoch);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].target, instance_id("a"));
}

// Guards against starts on a target that has just refused one, and on one whose
// slots another owner still uses.
TEST(placement_system, avoids_targets_that_refuse_or_are_used_by_others)
{
    placement_system system;
    system.set_target(make_target("a", 1));
    system.add_task(make_task("t", "x"));
    system.tick(epoch, always);
    system.on_start_refused(task_id("t"), start_refusal::no_free_slot, epoch);
    EXPECT_TRUE(tick(system, epoch + 100ms).empty());
    auto target = make_target("a", 1);
    target.free_slots = slot_count(0);
    system.set_target(target);
    EXPECT_TRUE(tick(system, epoch + 600ms).empty());
    target.free_slots = slot_count(1);
    system.set_target(target);
    EXPECT_EQ(tick(system, epoch + 600ms).size(), 1u);
}

// Guards against a retry on the target where the task failed while another one
// is usable, and against a retry that waits although no other is usable.
TEST(placement_system, uses_an_avoided_target_only_when_no_other_is_usable)
{
    for (bool is_other_quarantined : {false, true})
    {
        placement_system system;
        system.set_target(make_target("a"));
        auto other = make_target("b");
        if (is_other_quarantined)
            other.health = target_health_state::quarantined;
        system.set_target(other);
        auto task = make_task("t", "x");
        task.avoided_targets = {instance_id("a")};
        system.add_task(task);
        auto items = tick(system, epoch);
        ASSERT_EQ(items.size(), 1u);
        EXPECT_EQ(items[0].target.get(), is_other_quarantined ? "a" : "b");
    }
}

// Guards against tasks that are counted twice after the pool has changed its
// owner, and against tasks of a removed target that stay in the table.
TEST(placement_system, counts_adopted_tasks_and_tasks_of_removed_targets)
{
    placement_system system;
    system.set_target(make_target("a", 1));
    EXPECT_TRUE(
        system.adopt_running(make_task("t", "x"), instance_id("a"), epoch));
    EXPECT_FALSE(
        system.adopt_running(make_task("t", "x"), instance_id("a"), epoch));
    system.add_task(make_task("u", "x"));
    EXPECT_TRUE(tick(system, epoch).empty());
    system.remove_target(instance_id("a"));
    EXPECT_EQ(system.count_running(team_id("x")), 1u);
    system.on_task_end(task_id("t"), task_outcome::lapsed, epoch);
    EXPECT_TRUE(tick(system, epoch).empty());
}

// Guards against a cancelled task that is started again after the target has
// refused it.
TEST(placement_system, cancelled_start_that_was_refused_has_not_run)
{
    placement_system system;
    system.set_target(make_target("a", 1));
    system.add_task(make_task("t", "x"));
    system.tick(epoch, always);
    EXPECT_EQ(system.cancel_task(task_id("t")),
        placement_system::cancel_outcome::stopping);
    auto items = tick(system, epoch);
    ASSERT_EQ(items.size(), 1u);
    EXPECT_EQ(items[0].action, placement_action::stop);
    system.on_start_refused(task_id("t"), start_refusal::leaving, epoch);
    auto out = system.tick(epoch, always);
    EXPECT_EQ(get_rules(out.items), std::vector{placement_rule::cancelled});
    EXPECT_EQ(out.returned_grants, std::vector{team_id("x")});
}

// Guards against more tasks on a target than it has slots, against lost or
// doubled grants and against lost tasks, under random sequences of calls.
RC_GTEST_PROP(placement_system, conserves_slots_grants_and_tasks, ())
{
    placement_system system(make_policy(0.1));
    for (int i = 0; i < 3; ++i)
        system.set_target(make_target(std::to_string(i), 2));
    std::map<std::string, int> grants;
    std::map<task_id, placement_decision> placed;
    std::set<task_id> confirmed;
    std::map<instance_id, int> on_target;
    int added = 0;
    int ended = 0;
    auto now = epoch;
    auto end = [&](const task_id& id)
    {
        --on_target[placed[id].target];
        --grants[placed[id].team.get()];
        placed.erase(id);
        confirmed.erase(id);
        ++ended;
    };
    auto apply = [&](const placement_decision& item)
    {
        if (item.action == placement_action::refuse)
            ++ended;
        if (item.action == placement_action::start)
        {
            placed[item.task] = item;
            RC_ASSERT(++on_target[item.target] <= 2);
        }
        if (item.action == placement_action::stop)
        {
            system.on_task_end(item.task, task_outcome::stopped, now);
            end(item.task);
        }
    };
    auto steps =
        *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 100));
    for (int step : steps)
    {
        now += milliseconds(step);
        std::string name = std::to_string(added);
        if (step < 50)
        {
            auto task = make_task(name, "t" + std::to_string(step % 3),
                step % 2 ? queue_kind::slow : queue_kind::urgent, now);
            if (step % 5 == 0)
                task.deadline = now + 1s;
            ++added;
            RC_ASSERT(!system.add_task(task));
        }
        else if (step < 55)
        {
            auto id = task_id(std::to_string(step % std::max(added, 1)));
            ended += system.cancel_task(id) ==
                     placement_system::cancel_outcome::not_run;
        }
        else if (!placed.empty())
        {
            auto it = std::next(
                placed.begin(), step % static_cast<int>(placed.size()));
            task_id id = it->first;
            if (step < 65 && !confirmed.contains(id))
            {
                system.on_start_refused(
                    id, start_refusal::deadline_passed, now);
                --on_target[placed[id].target];
                placed.erase(id);
                continue;
            }
            system.on_started(id, now);
            confirmed.insert(id);
            system.on_checkpointed(id, now);
            if (step < 65)
                continue;
            system.on_task_end(id, task_outcome::done, now);
            end(id);
        }
        auto out = system.tick(now,
            [&](const team_id& team)
            {
                if (grants[team.get()] >= 3)
                    return false;
                ++grants[team.get()];
                return true;
            });
        for (const auto& team : out.returned_grants)
            RC_ASSERT(--grants[team.get()] >= 0);
        for (const auto& item : out.items)
            apply(item);
        RC_ASSERT(
            system.count_tasks() == static_cast<std::size_t>(added - ended));
    }
}

} // namespace cowslippass
