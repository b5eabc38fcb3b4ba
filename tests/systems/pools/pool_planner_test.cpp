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

/// Sets up two pools and a standby pool of instances with 16 cores. Orders take
/// effect at once. A moved instance has a new target, or none in standby.
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
        it.set_published_state(state);
    }

    void add_instance(const std::string& id, const pool_id& pool)
    {
        platform_instance report;
        report.instance = instance_id(id);
        report.pool = pool;
        report.condition = instance_condition::up;
        report.data_centre = data_centre_id("z");
        report.capacity = {16'000, 32'768, 0};
        instances.push_back(report);
        if (pool != pool_off)
            start_target(instances.back());
    }

    void start_target(platform_instance& instance)
    {
        auto report = make_report("t" + std::to_string(++last_target));
        report.pool = instance.pool;
        instance.target = report.target;
        add_target(report);
    }

    /// Plans one round and carries out its orders.
    pool_decisions run_round(std::int64_t ms)
    {
        planner.set_instances(instances, at(ms));
        auto out = planner.plan(it, at(ms));
        for (const instance_order& order : out.orders)
        {
            planner.handle_order_reply(
                order, instance_order_outcome::accepted, it, at(ms));
            for (platform_instance& instance : instances)
                if (instance.instance == order.instance)
                    apply_order(instance, order);
        }
        return out;
    }

    void apply_order(platform_instance& instance, const instance_order& order)
    {
        it.handle_target_change({instance.target, std::nullopt}, at(0));
        instance.target = target_id();
        if (!order.is_maintenance())
            instance.pool = order.pool;
        if (instance.pool != pool_off)
            start_target(instance);
    }

    /// @return number of instances in the pool.
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

    /// Plans tasks and pools every 100 ms.
    void run_rounds(std::int64_t from, std::int64_t to)
    {
        for (std::int64_t ms = from; ms < to; ms += 100)
        {
            plan(ms);
            run_round(ms);
        }
    }

    published_state state;
    pool_planner planner{pool_planner_options{}};
    std::vector<platform_instance> instances;
    int last_target = 0;
};

} // namespace

// Guards against the cost of idle instances that are never moved to standby.
TEST_F(pool_planner_test, moves_idle_instances_to_standby_except_a_reserve)
{
    for (int i = 0; i < 6; ++i)
        add_instance("m" + std::to_string(i), pool_a);
    std::int64_t idle = pool_planner_options{}.standby_delay.count();
    run_rounds(0, idle);
    EXPECT_EQ(count(pool_a), 6U);
    run_rounds(idle, idle + 500);
    EXPECT_EQ(count(pool_a), 1U);
    EXPECT_EQ(count(pool_off), 5U);
}

// Guards against a burst that waits for capacity: the demand on one queue is a
// multiple of its pool's capacity. Standby instances and idle instances of
// other pools must join the pool within a few planning rounds.
TEST_F(pool_planner_test, scales_a_pool_up_for_a_burst)
{
    add_instance("m0", pool_a);
    for (int i = 1; i < 4; ++i)
        add_instance("m" + std::to_string(i), pool_b);
    for (int i = 4; i < 10; ++i)
        add_instance("m" + std::to_string(i), pool_off);
    for (int i = 0; i < 8; ++i)
        submit(std::to_string(i), queue_a, 16, 0);
    run_rounds(0, 300);
    EXPECT_GE(count(pool_a), 7U);
    // An idle instance moves straight to the busy pool instead of to standby.
    EXPECT_LE(count(pool_b), 1U);
}

// Guards against needless moves to standby and back when demand shifts from one
// pool to another: idle instances must move directly.
TEST_F(pool_planner_test, moves_idle_instances_directly_between_pools)
{
    for (int i = 0; i < 8; ++i)
        add_instance("m" + std::to_string(i), i < 6 ? pool_a : pool_off);
    run_rounds(0, 400);
    for (int i = 0; i < 2; ++i)
        submit(std::to_string(i), queue_b, 16, 400);
    run_rounds(400, 1'000);
    EXPECT_GE(count(pool_b), 3U);
    EXPECT_EQ(count(pool_off), 2U);
}

// Guards against tasks that are lost because a move ends their target.
TEST_F(pool_planner_test, does_not_move_instances_with_running_tasks)
{
    add_instance("m0", pool_a);
    add_instance("m1", pool_a);
    add_instance("m2", pool_a);
    submit("1", queue_a, 3, 0);
    plan(0);
    run_rounds(0, 8'000);
    ASSERT_EQ(it.get_runs().size(), 3U);
    for (const auto& entry : it.get_runs())
        EXPECT_TRUE(std::ranges::any_of(instances,
            [&](const auto& at) { return at.target == entry.second.target; }));
}

// Guards against a wave that maintains more instances at once than its limit,
// misses some, or is reported as completed too early.
TEST_F(pool_planner_test, limits_concurrent_maintenance_of_a_wave)
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
    it.set_published_state(state);
    pool_planner_options options;
    options.standby_delay = milliseconds(3'600'000);
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
                planner.handle_order_reply(
                    order, instance_order_outcome::accepted, it, at(ms));
                ++begun;
                ++down;
            }
        EXPECT_LE(down, 2U);
        EXPECT_EQ(planner.get_begun_instances(1).size(), begun);
        EXPECT_EQ(planner.is_wave_completed(wave), begun == 6);
        // Maintenance takes two seconds. After it the platform lists the
        // instances as up again, with a new target.
        if (ms % 2'500 == 2'400)
            for (platform_instance& instance : instances)
                if (planner.get_begun_instances(1).contains(instance.instance))
                {
                    instance.target = target_id("n" + instance.instance.get());
                    instance.condition = instance_condition::up;
                }
    }
    EXPECT_EQ(begun, 6U);
}

// Load pattern: a queue's turn begins, and its arrival rate rises by the same
// amount each second. A move ordered now has to meet the rate at its end.
TEST_F(pool_planner_test, scales_up_ahead_of_a_rising_arrival_rate)
{
    for (int i = 0; i < 70; ++i)
        add_instance("m" + std::to_string(i), pool_a);
    constexpr double cores_per_second = 100;
    step_spec step = make_step(1, 100);
    step.need.memory = 10;
    double left = 0;
    int n = 0;
    std::int64_t ms = 0;
    for (; ms < 4'000; ms += 20)
    {
        left += cores_per_second * static_cast<double>(ms) / 1'000 * 0.020;
        for (; left >= 0.1; left -= 0.1)
            it.submit(job_id(std::to_string(++n)), make_record({step}), at(ms));
        plan(ms);
    }
    run_round(ms);
    const pool_sizing& sizing = planner.get_pool_sizings().at(pool_a);
    EXPECT_EQ(sizing.waiting_cores, 0);
    pool_planner_options options;
    std::chrono::duration<double> move_time = options.move_time;
    double rate = cores_per_second * (4 + move_time.count());
    EXPECT_GE(
        sizing.required_instances, rate / (16 * options.packing_efficiency));
}

// Load pattern: a queue's turn ends. Idle instances are no longer needed, and
// each second in the pool costs about as much as their move.
TEST_F(pool_planner_test, frees_idle_instances_early_when_the_rate_falls)
{
    for (int i = 0; i < 60; ++i)
        add_instance("m" + std::to_string(i), pool_a);
    double left = 0;
    int n = 0;
    for (std::int64_t ms = 0; ms < 3'500; ms += 20)
        for (left +=
             2 -
             static_cast<double>(std::max<std::int64_t>(ms - 2'000, 0)) / 750;
             left >= 1; --left)
            submit(std::to_string(++n), queue_a, 1, ms);
    plan(3'500);
    pool_planner_options options;
    std::int64_t idle_ms = options.falling_standby_delay.count();
    EXPECT_LT(idle_ms, options.standby_delay.count());
    run_round(3'500 - idle_ms);
    EXPECT_GT(run_round(3'500).orders.size(), 10U);
}

// Guards against one instance too many in maintenance: an order whose reply was
// lost is sent again, and the instance is busy with the first copy. It still
// counts against the wave's limit.
TEST_F(pool_planner_test, counts_an_instance_busy_with_a_duplicate_order)
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
    it.set_published_state(state);
    pool_planner_options options;
    options.standby_delay = milliseconds(3'600'000);
    planner = pool_planner(options);
    planner.set_instances(instances, at(0));
    auto first = planner.plan(it, at(0));
    ASSERT_EQ(first.orders.size(), 1U);
    planner.handle_order_reply(
        first.orders[0], instance_order_outcome::no_answer, it, at(0));
    // The instance list is still the one from before the order.
    auto second = planner.plan(it, at(800));
    ASSERT_EQ(second.orders.size(), 1U);
    EXPECT_EQ(second.orders[0].instance, first.orders[0].instance);
    planner.handle_order_reply(
        second.orders[0], instance_order_outcome::busy, it, at(800));
    EXPECT_TRUE(planner.plan(it, at(900)).orders.empty());
    // Once the first copy has been carried out, the platform accepts the next.
    auto third = planner.plan(it, at(1'600));
    ASSERT_EQ(third.orders.size(), 1U);
    planner.handle_order_reply(
        third.orders[0], instance_order_outcome::accepted, it, at(1'600));
    EXPECT_EQ(planner.get_begun_instances(1).size(), 1U);
}

// Guards against a second maintenance of an instance: a new coordinator takes a
// wave over in which its predecessor has already begun that instance.
TEST_F(pool_planner_test, skips_instances_maintained_by_a_predecessor)
{
    maintenance_wave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(20'000);
    wave.max_unavailable_instances = 5;
    add_instance("m0", pool_a);
    add_instance("m1", pool_a);
    wave.instances = {instance_id("m0"), instance_id("m1")};
    state.waves[1] = wave;
    it.set_published_state(state);
    planner.restore_wave(1, {{{instance_id("m0"), {}}}, {}, at(0)}, at(0));
    auto out = run_round(0);
    ASSERT_EQ(out.orders.size(), 1U);
    EXPECT_EQ(out.orders[0].instance, instance_id("m1"));
}

// Guards against one instance too many in maintenance after a takeover: the
// lost coordinator has sent orders that the platform has not answered and may
// still carry out, and the list does not show the orders that it has accepted.
TEST_F(pool_planner_test, counts_maintenance_ordered_by_a_predecessor)
{
    constexpr std::size_t limit = 55;
    maintenance_wave wave;
    wave.number = 1;
    wave.time_limit = milliseconds(20'000);
    wave.max_unavailable_instances = limit;
    for (int i = 0; i < 80; ++i)
    {
        add_instance("m" + std::to_string(i), pool_a);
        wave.instances.push_back(instances.back().instance);
    }
    state.waves[1] = wave;
    it.set_published_state(state);
    pool_planner_options options;
    options.orders_per_second = 1'000;
    options.standby_delay = milliseconds(3'600'000);
    planner = pool_planner(options);
    planner.set_instances(instances, at(0));
    std::set<instance_id> down;
    auto first = planner.plan(it, at(0));
    ASSERT_EQ(first.orders.size(), limit);
    for (std::size_t i = 0; i < first.orders.size(); ++i)
    {
        down.insert(first.orders[i].instance);
        if (i % 2 == 0)
            planner.handle_order_reply(
                first.orders[i], instance_order_outcome::accepted, it, at(100));
    }
    wave_progress saved = *planner.get_wave_progress(1);
    EXPECT_EQ(saved.begun.size() + saved.ordered.size(), limit);
    // The successor reads a list from before all of that.
    planner = pool_planner(options);
    planner.restore_wave(1, saved, at(1'000));
    planner.set_instances(instances, at(900));
    auto second = planner.plan(it, at(1'000));
    EXPECT_EQ(second.orders.size(), saved.ordered.size());
    for (const instance_order& order : second.orders)
        EXPECT_TRUE(saved.ordered.contains(order.instance));
    for (const instance_order& order : second.orders)
        planner.handle_order_reply(
            order, instance_order_outcome::accepted, it, at(1'100));
    EXPECT_TRUE(planner.plan(it, at(1'200)).orders.empty());
    // The first ones are back after their maintenance.
    std::size_t freed = saved.begun.size();
    EXPECT_EQ(planner.plan(it, at(2'150)).orders.size(),
        std::min(freed, std::size_t{80} - limit));
}

// Guards against a drain that interrupts a task of a step although as many
// others as `max_unavailable` allows are already unavailable.
TEST_F(pool_planner_test, drains_long_running_tasks_within_max_unavailable)
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
        it.handle_status(id, make_status(id), at(10), at(11));
    state.waves[1] = wave;
    it.set_published_state(state);
    run_round(100);
    auto out = run_round(600);
    EXPECT_EQ(out.tasks_to_stop.size(), 1U);
    EXPECT_TRUE(out.orders.empty());
}

// Guards against a wave that exceeds its time limit after a takeover: a new
// coordinator must know how much of the time has passed, and drain instances
// with running tasks.
TEST_F(pool_planner_test, drains_for_a_wave_begun_by_a_predecessor)
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
    it.set_published_state(state);
    run_round(7'000);
    EXPECT_FALSE(it.get_targets().at(target_id("t1")).is_cordoned);
    planner = pool_planner(pool_planner_options{});
    planner.restore_wave(1, {{}, {}, at(0)}, at(7'100));
    run_round(7'100);
    EXPECT_TRUE(it.get_targets().at(target_id("t1")).is_cordoned);
    EXPECT_EQ(planner.get_wave_first_seen(1), at(0));
}

// Guards against a backlog of overdue jobs that takes instances from pools
// whose jobs can still meet their deadlines.
TEST_F(pool_planner_test, does_not_scale_up_for_overdue_jobs)
{
    for (int i = 0; i < 10; ++i)
        add_instance("m" + std::to_string(i), i < 4 ? pool_a : pool_off);
    for (int i = 0; i < 100; ++i)
        submit(std::to_string(i), queue_a, 16, 0);
    plan(20'000);
    run_round(20'000);
    EXPECT_EQ(count(pool_a), 4U);
    const pool_sizing& sizing = planner.get_pool_sizings().at(pool_a);
    EXPECT_LT(sizing.required_instances, 4U);
    EXPECT_GT(sizing.retained_instances, 4U);
}

// Guards against tasks that wait until the leases of a target expire although
// that incarnation of its instance has ended.
TEST_F(pool_planner_test, finds_ended_incarnations)
{
    add_instance("m0", pool_a);
    add_instance("m1", pool_a);
    planner.set_instances(instances, at(0));
    EXPECT_TRUE(planner.find_ended_incarnations(it, at(0)).empty());
    target_id crashed = instances[0].target;
    instances[0].condition = instance_condition::down;
    instances[0].target = target_id();
    planner.set_instances(instances, at(100));
    EXPECT_EQ(planner.find_ended_incarnations(it, at(100)),
        std::vector<target_id>{crashed});
    // A target that has never been listed may be newer than the list.
    add_target(make_report("fresh"));
    EXPECT_EQ(planner.find_ended_incarnations(it, at(200)).size(), 1U);
    EXPECT_EQ(planner.find_ended_incarnations(it, at(1'800)).size(), 2U);
}

// Guards against a rate that follows the arrivals too late, or that does not
// decay after the last one.
TEST(arrival_rate_meter, follows_the_arrival_rate)
{
    arrival_rate_meter meter{milliseconds(1'000)};
    for (int i = 0; i < 200; ++i)
        meter.add(pool_a, 1'000, at(i * 10));
    // One core-second every 10 ms amounts to 100 cores.
    EXPECT_NEAR(meter.get_rate(pool_a, at(2'000)), 100.0, 15.0);
    EXPECT_LT(meter.get_rate(pool_a, at(7'000)), 1.0);
    EXPECT_EQ(meter.get_rate(pool_b, at(0)), 0.0);
}

// Guards against a sudden burst whose jobs wait for the second that the slow
// average needs to follow, and against a single large job that counts as a
// burst.
TEST(arrival_rate_meter, detects_a_burst_before_the_slow_average)
{
    arrival_rate_meter meter{milliseconds(1'000)};
    for (int i = 0; i < 30; ++i)
        meter.add(pool_a, 1'000, at(5'000 + i * 10));
    EXPECT_GT(meter.get_rate(pool_a, at(5'300)), 45.0);
    meter.add(pool_b, 10'000, at(5'000));
    EXPECT_LT(meter.get_rate(pool_b, at(5'000)), 10.5);
}

// Load pattern: long tasks wait because every instance was in use when they
// arrived. The pool gets no more instances than they can use at once: 128 tasks
// of one core fill 10 instances, as an instance is used to 85 %.
TEST_F(pool_planner_test, sizes_a_pool_by_what_waiting_tasks_use_at_once)
{
    auto count_after_backlog = [&](bool packs_by_shape)
    {
        pool_planner_options options;
        options.packs_by_shape = packs_by_shape;
        planner = pool_planner(options);
        instances.clear();
        it = coordinator(coordinator_options{});
        it.set_published_state(state);
        add_instance("m0", pool_a);
        for (int i = 0; i < 8; ++i)
        {
            auto record = make_record({make_step(16)});
            record.spec.steps[0].estimate = milliseconds(4'000);
            it.submit(job_id(std::to_string(i)), record, at(0));
        }
        run_rounds(0, 3'000);
        for (int i = 1; i < 40; ++i)
            add_instance("m" + std::to_string(i), pool_off);
        run_rounds(3'000, 3'400);
        return count(pool_a);
    };
    EXPECT_GT(count_after_backlog(false), 16U);
    std::size_t packed = count_after_backlog(true);
    EXPECT_GE(packed, 8U);
    EXPECT_LE(packed, 11U);
}

} // namespace cowslippass
