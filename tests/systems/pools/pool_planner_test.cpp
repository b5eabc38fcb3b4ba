#include "systems/pools/pool_planner.hpp"
#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cowslippass
{

namespace
{

const pool_id pool_b("b");
const queue_id queue_b("qb");

/// Two pools and a standby pool of instances with 16 cores. Orders take
/// effect at once; a moved instance has a new target, or none in standby.
class pool_planner_test : public testing::Test, public coordinator_fixture
{
protected:
    pool_planner_test()
    {
        state = make_published_state();
        state.config->pools[pool_b] = {pool_b, false, false};
        queue_config queue = state.config->queues[queue_a];
        queue.queue = queue_b;
        queue.pool = pool_b;
        state.config->queues[queue_b] = queue;
        it.set_publication(state);
    }

    void add_instance(const std::string& id, const pool_id& pool)
    {
        instance_report report;
        report.instance = instance_id(id);
        report.pool = pool;
        report.condition = instance_condition::up;
        report.data_centre = data_centre_id("z");
        report.capacity = {16'000, 32'768, 0};
        instances.push_back(report);
        if (pool != pool_off)
            start_target(instances.back());
    }

    void start_target(instance_report& instance)
    {
        auto report = make_report("t" + std::to_string(++last_target));
        report.pool = instance.pool;
        instance.target = report.target;
        add_target(report);
    }

    pool_decisions tick(std::int64_t ms)
    {
        planner.set_instances(instances, at(ms));
        auto out = planner.plan(it, at(ms));
        for (const instance_order& order : out.orders)
        {
            planner.note_reply(order, machine_outcome::accepted, it, at(ms));
            for (instance_report& instance : instances)
                if (instance.instance == order.instance)
                    obey(instance, order);
        }
        return out;
    }

    void obey(instance_report& instance, const instance_order& order)
    {
        it.note_target_change({instance.target, std::nullopt}, at(0));
        instance.target = target_id();
        if (!order.is_maintenance())
            instance.pool = order.pool;
        if (instance.pool != pool_off)
            start_target(instance);
    }

    std::size_t count(const pool_id& pool) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            instances, [&](const auto& it) { return it.pool == pool; }));
    }

    void submit(const std::string& id, const queue_id& queue,
        std::uint32_t tasks, std::int64_t ms)
    {
        auto record = make_record({make_step(tasks)});
        record.queue = queue;
        it.submit(job_id(id), record, at(ms));
    }

    void run_ticks(std::int64_t from, std::int64_t to)
    {
        for (std::int64_t ms = from; ms < to; ms += 100)
        {
            plan(ms);
            tick(ms);
        }
    }

    published_state state;
    pool_planner planner{pool_planner_options{}};
    std::vector<instance_report> instances;
    int last_target = 0;
};

} // namespace

// Guards against instances that are paid for while nobody needs them.
TEST_F(pool_planner_test, switches_idle_instances_off_but_for_a_reserve)
{
    for (int i = 0; i < 6; ++i)
        add_instance("m" + std::to_string(i), pool_a);
    std::int64_t idle = pool_planner_options{}.park_after.count();
    run_ticks(0, idle);
    EXPECT_EQ(count(pool_a), 6U);
    run_ticks(idle, idle + 500);
    EXPECT_EQ(count(pool_a), 1U);
    EXPECT_EQ(count(pool_off), 5U);
}

// Answers a burst on one queue of several times what its pool holds: instances
// of standby and idle ones of other pools join it within a few ticks.
TEST_F(pool_planner_test, gives_a_burst_the_instances_that_it_needs)
{
    add_instance("m0", pool_a);
    for (int i = 1; i < 4; ++i)
        add_instance("m" + std::to_string(i), pool_b);
    for (int i = 4; i < 10; ++i)
        add_instance("m" + std::to_string(i), pool_off);
    for (int i = 0; i < 8; ++i)
        submit(std::to_string(i), queue_a, 16, 0);
    run_ticks(0, 300);
    EXPECT_GE(count(pool_a), 7U);
    // An idle instance saves the move to standby that it is about to make.
    EXPECT_LE(count(pool_b), 1U);
}

// Guards against instances that go to standby and back between the queues'
// turns: demand that moves on takes them along.
TEST_F(pool_planner_test, moves_instances_along_when_demand_moves_on)
{
    for (int i = 0; i < 8; ++i)
        add_instance("m" + std::to_string(i), i < 6 ? pool_a : pool_off);
    run_ticks(0, 400);
    for (int i = 0; i < 2; ++i)
        submit(std::to_string(i), queue_b, 16, 400);
    run_ticks(400, 1'000);
    EXPECT_GE(count(pool_b), 3U);
    EXPECT_EQ(count(pool_off), 2U);
}

// Guards against work that is thrown away by a move.
TEST_F(pool_planner_test, leaves_instances_with_work_where_they_are)
{
    add_instance("m0", pool_a);
    add_instance("m1", pool_a);
    add_instance("m2", pool_a);
    submit("1", queue_a, 3, 0);
    plan(0);
    run_ticks(0, 8'000);
    ASSERT_EQ(it.get_runs().size(), 3U);
    for (const auto& entry : it.get_runs())
        EXPECT_TRUE(std::ranges::any_of(instances,
            [&](const auto& at) { return at.target == entry.second.target; }));
}

// Guards against a wave that takes more instances at once than it may, misses
// some, or is said to be done too early.
TEST_F(pool_planner_test, maintains_a_wave_within_its_bound)
{
    maintenance_wave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(20'000);
    wave.max_unavailable_instances = 2;
    for (int i = 0; i < 6; ++i)
    {
        add_instance("m" + std::to_string(i), pool_a);
        wave.instances.emplace_back("m" + std::to_string(i));
    }
    state.waves[1] = wave;
    it.set_publication(state);
    pool_planner_options options;
    options.park_after = milliseconds(3'600'000);
    planner = pool_planner(options);
    std::size_t begun = 0;
    for (std::int64_t ms = 0; ms < 20'000 && begun < 6; ms += 100)
    {
        planner.set_instances(instances, at(ms));
        auto out = planner.plan(it, at(ms));
        std::size_t down = 0;
        for (const instance_order& order : out.orders)
            if (order.is_maintenance())
            {
                planner.note_reply(
                    order, machine_outcome::accepted, it, at(ms));
                ++begun;
                ++down;
            }
        EXPECT_LE(down, 2U);
        EXPECT_EQ(planner.get_begun(1).size(), begun);
        EXPECT_EQ(planner.is_wave_completed(wave), begun == 6);
        // The platform shows the instances as down for two seconds.
        if (ms % 2'500 == 2'400)
            for (instance_report& instance : instances)
                if (planner.get_begun(1).contains(instance.instance))
                {
                    instance.target = target_id("n" + instance.instance.get());
                    instance.condition = instance_condition::up;
                }
    }
    EXPECT_EQ(begun, 6U);
}

// Guards against one instance too many in maintenance: an order whose answer
// was lost is sent again, and the instance is busy with the first copy.
TEST_F(pool_planner_test, counts_an_instance_that_is_busy_with_an_earlier_copy)
{
    for (int i = 0; i < 3; ++i)
        add_instance("m" + std::to_string(i), pool_a);
    maintenance_wave wave;
    wave.number = 1;
    wave.max_unavailable_instances = 1;
    wave.time_limit = milliseconds(20'000);
    for (const auto& instance : instances)
        wave.instances.push_back(instance.instance);
    state.waves[1] = wave;
    it.set_publication(state);
    pool_planner_options options;
    options.park_after = milliseconds(3'600'000);
    planner = pool_planner(options);
    planner.set_instances(instances, at(0));
    auto first = planner.plan(it, at(0));
    ASSERT_EQ(first.orders.size(), 1U);
    planner.note_reply(first.orders[0], machine_outcome::no_answer, it, at(0));
    // The list is still the one from before the order.
    auto second = planner.plan(it, at(800));
    ASSERT_EQ(second.orders.size(), 1U);
    EXPECT_EQ(second.orders[0].instance, first.orders[0].instance);
    planner.note_reply(second.orders[0], machine_outcome::busy, it, at(800));
    EXPECT_TRUE(planner.plan(it, at(900)).orders.empty());
    // The platform says so when the first copy has been carried out.
    auto third = planner.plan(it, at(1'600));
    ASSERT_EQ(third.orders.size(), 1U);
    planner.note_reply(
        third.orders[0], machine_outcome::accepted, it, at(1'600));
    EXPECT_EQ(planner.get_begun(1).size(), 1U);
}

// Guards against a successor that maintains an instance twice.
TEST_F(pool_planner_test, remembers_what_a_predecessor_has_maintained)
{
    maintenance_wave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(20'000);
    wave.max_unavailable_instances = 5;
    add_instance("m0", pool_a);
    add_instance("m1", pool_a);
    wave.instances = {instance_id("m0"), instance_id("m1")};
    state.waves[1] = wave;
    it.set_publication(state);
    planner.load_wave(1, {instance_id("m0")}, at(0));
    auto out = tick(0);
    ASSERT_EQ(out.orders.size(), 1U);
    EXPECT_EQ(out.orders[0].instance, instance_id("m1"));
}

// Guards against maintenance that ends a task of a step when as many others as
// may be are away already.
TEST_F(pool_planner_test, drains_long_running_tasks_within_their_budget)
{
    maintenance_wave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(1'000);
    wave.max_unavailable_instances = 5;
    for (int i = 0; i < 2; ++i)
    {
        add_instance("m" + std::to_string(i), pool_a);
        wave.instances.emplace_back("m" + std::to_string(i));
    }
    step_spec step = make_step(2);
    step.is_long_running = true;
    step.max_per_target = 1;
    step.max_unavailable = 1;
    it.submit(job_id("1"), make_record({step}), at(0));
    plan(0);
    for (const auto& [id, target] : it.get_targets())
        it.note_look(id, make_look(id), at(10), at(11));
    state.waves[1] = wave;
    it.set_publication(state);
    tick(100);
    auto out = tick(600);
    EXPECT_EQ(out.stops.size(), 1U);
    EXPECT_TRUE(out.orders.empty());
}

// Guards against a wave that ends too late: a new coordinator must know how
// much of its time has passed, and drain instances that are at work.
TEST_F(pool_planner_test, drains_for_a_wave_that_a_predecessor_has_begun)
{
    add_instance("m0", pool_a);
    submit("1", queue_a, 4, 0);
    plan(0);
    maintenance_wave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(20'000);
    wave.max_unavailable_instances = 5;
    wave.instances = {instance_id("m0")};
    state.waves[1] = wave;
    it.set_publication(state);
    tick(7'000);
    EXPECT_FALSE(it.get_targets().at(target_id("t1")).is_cordoned);
    planner = pool_planner(pool_planner_options{});
    planner.load_wave(1, {}, at(0));
    tick(7'100);
    EXPECT_TRUE(it.get_targets().at(target_id("t1")).is_cordoned);
    EXPECT_EQ(planner.get_first_seen(1), at(0));
}

// Guards against a backlog that is past its use and yet draws instances from
// pools whose jobs can be in time.
TEST_F(pool_planner_test, gives_overdue_jobs_no_more_instances)
{
    for (int i = 0; i < 10; ++i)
        add_instance("m" + std::to_string(i), i < 4 ? pool_a : pool_off);
    for (int i = 0; i < 100; ++i)
        submit(std::to_string(i), queue_a, 16, 0);
    plan(20'000);
    tick(20'000);
    EXPECT_EQ(count(pool_a), 4U);
    const pool_balance& balance = planner.get_balances().at(pool_a);
    EXPECT_LT(balance.needed, 4U);
    EXPECT_GT(balance.kept, 4U);
}

// Guards against tasks that wait out the leases of a target whose instance has
// started another life.
TEST_F(pool_planner_test, finds_lives_that_have_ended)
{
    add_instance("m0", pool_a);
    add_instance("m1", pool_a);
    planner.set_instances(instances, at(0));
    EXPECT_TRUE(planner.find_ended_lives(it, at(0)).empty());
    target_id crashed = instances[0].target;
    instances[0].condition = instance_condition::down;
    instances[0].target = target_id();
    planner.set_instances(instances, at(100));
    EXPECT_EQ(
        planner.find_ended_lives(it, at(100)), std::vector<target_id>{crashed});
    // A target that no list has named may be newer than the list.
    add_target(make_report("fresh"));
    EXPECT_EQ(planner.find_ended_lives(it, at(200)).size(), 1U);
    EXPECT_EQ(planner.find_ended_lives(it, at(1'800)).size(), 2U);
}

// Guards against bursts that the meter sees too late, or that it never forgets.
TEST(load_meter, follows_what_comes_in)
{
    load_meter meter{milliseconds(1'000)};
    for (int i = 0; i < 200; ++i)
        meter.add(pool_a, 1'000, at(i * 10));
    // One core-second each 10 ms is 100 cores.
    EXPECT_NEAR(meter.get_rate(pool_a, at(2'000)), 100.0, 15.0);
    EXPECT_LT(meter.get_rate(pool_a, at(7'000)), 1.0);
    EXPECT_EQ(meter.get_rate(pool_b, at(0)), 0.0);
}

// Answers a burst that begins at once: jobs would wait for the second that an
// average takes to follow. A single large job is no burst.
TEST(load_meter, sees_a_burst_before_its_average_does)
{
    load_meter meter{milliseconds(1'000)};
    for (int i = 0; i < 30; ++i)
        meter.add(pool_a, 1'000, at(5'000 + i * 10));
    EXPECT_GT(meter.get_rate(pool_a, at(5'300)), 45.0);
    meter.add(pool_b, 10'000, at(5'000));
    EXPECT_LT(meter.get_rate(pool_b, at(5'000)), 10.5);
}

} // namespace cowslippass
