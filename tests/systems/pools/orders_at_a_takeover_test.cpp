#include "systems/pools/pool_planner.hpp"
#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

const job_id job_1("1");

/// Instances in one pool with one long-running task each, all of one step that
/// allows one unavailable task, and a wave of all instances.
class orders_at_a_takeover_test : public testing::Test,
                                  public coordinator_fixture
{
protected:
    void set_up(std::size_t instance_count)
    {
        state = make_published_state();
        wave.number = 1;
        wave.time_limit = milliseconds(20'000);
        wave.max_unavailable_instances = 5;
        for (std::size_t i = 0; i < instance_count; ++i)
            add_instance("m" + std::to_string(i));
        state.waves[1] = wave;
        it.set_published_state(state);
        planner.set_instances(instances, at(0));
    }

    void add_instance(const std::string& id)
    {
        platform_instance added;
        added.instance = instance_id(id);
        added.pool = pool_a;
        added.condition = instance_condition::up;
        added.data_centre = data_centre_id("z");
        added.capacity = {16'000, 32'768, 0};
        added.target = target_id("t-" + id);
        instances.push_back(added);
        wave.instances.push_back(added.instance);
        add_target(make_report(added.target.get()));
    }

    void start_tasks(std::uint32_t count)
    {
        step_spec step = make_step(count);
        step.is_long_running = true;
        step.max_per_target = 1;
        step.max_unavailable = 1;
        it.submit(job_1, make_record({step}), at(0));
        ASSERT_EQ(plan().size(), count);
        report_all(10);
    }

    /// All targets report their runs as at work.
    void report_all(std::int64_t ms)
    {
        for (const auto& [id, target] : it.get_targets())
            it.handle_status(id, make_status(id), at(ms), at(ms));
    }

    /// The target reports the ends of its stopped runs.
    void end_stopped_runs(std::int64_t ms)
    {
        std::map<target_id, target_status> statuses;
        for (const stop_decision& stop : it.list_stops())
            statuses[stop.target].ended.push_back(
                {++last_end, stop.task, stop.run, run_outcome::stopped, ""});
        for (const auto& [id, status] : statuses)
            it.handle_status(id, status, at(ms), at(ms));
    }

    pool_decisions plan_pools(std::int64_t ms)
    {
        planner.set_instances(instances, at(ms));
        return planner.plan(it, at(ms));
    }

    bool is_cordoned(std::size_t instance) const
    {
        return it.get_targets().at(instances[instance].target).is_cordoned;
    }

    static pool_planner make_planner()
    {
        pool_planner_options options;
        options.standby_delay = milliseconds(3'600'000);
        return pool_planner(options);
    }

    published_state state;
    maintenance_wave wave;
    std::vector<platform_instance> instances;
    pool_planner planner = make_planner();
    std::uint64_t last_end = 0;
};

} // namespace

// Guards against tasks that end beyond their step's budget after a takeover: an
// order of the predecessor has no answer, and its instance has work again.
TEST_F(orders_at_a_takeover_test, sends_no_order_to_an_instance_that_works)
{
    set_up(3);
    start_tasks(3);
    planner.restore_wave(1,
        {{}, {{instance_id("m0"), {}}, {instance_id("m1"), {}}}, at(0)},
        at(100));
    for (std::int64_t ms = 100; ms <= 8'000; ms += 100)
    {
        auto out = plan_pools(ms);
        EXPECT_TRUE(out.orders.empty());
        EXPECT_TRUE(is_cordoned(0));
        EXPECT_TRUE(is_cordoned(1));
        EXPECT_LE(it.list_stops().size(), 1U);
    }
    // The wave goes on within the budget.
    EXPECT_EQ(it.list_stops().size(), 1U);
    // The orders still count against the limit of the wave.
    EXPECT_EQ(planner.get_wave_progress(1)->ordered.size(), 2U);
    end_stopped_runs(8'050);
    EXPECT_EQ(plan_pools(8'100).orders.size(), 1U);
}

// Guards against new work on an instance that a late order of a predecessor may
// still end, also while the order is repeated without an answer.
TEST_F(orders_at_a_takeover_test, keeps_new_work_off_until_the_order_is_settled)
{
    set_up(1);
    planner.restore_wave(1, {{}, {{instance_id("m0"), {}}}, at(0)}, at(100));
    for (std::int64_t ms = 100; ms <= 3'000; ms += 100)
    {
        for (const instance_order& order : plan_pools(ms).orders)
            planner.handle_order_reply(
                order, instance_order_outcome::no_answer, it, at(ms));
        EXPECT_TRUE(is_cordoned(0));
        // The instance has another target, which has never been listed.
        if (ms == 1'000)
        {
            instances[0].target = target_id("t-next");
            add_target(make_report("t-next"));
        }
    }
    auto out = plan_pools(3'700);
    ASSERT_EQ(out.orders.size(), 1U);
    planner.handle_order_reply(
        out.orders[0], instance_order_outcome::accepted, it, at(3'700));
    plan_pools(3'900);
    EXPECT_FALSE(is_cordoned(0));
    EXPECT_TRUE(planner.get_begun_instances(1).contains(instance_id("m0")));
}

// Guards against tasks that start on an ordered instance before the successor
// has read the list of instances, which names its target.
TEST_F(orders_at_a_takeover_test, keeps_new_work_off_before_the_first_list)
{
    set_up(1);
    auto out = plan_pools(0);
    ASSERT_EQ(out.orders.size(), 1U);
    wave_progress saved = *planner.get_wave_progress(1);
    planner = make_planner();
    it.set_cordon(instances[0].target, false);
    planner.restore_wave(1, saved, at(100));
    EXPECT_TRUE(planner.plan(it, at(100)).orders.empty());
    EXPECT_TRUE(is_cordoned(0));
}

// Guards against a second task of a step that is interrupted while an order of
// a predecessor may still end the first one.
TEST_F(orders_at_a_takeover_test, counts_tasks_that_an_order_may_end)
{
    set_up(2);
    start_tasks(2);
    const task_name first =
        *it.get_targets().at(target_id("t-m0")).runs.begin();
    const task_name second =
        *it.get_targets().at(target_id("t-m1")).runs.begin();
    EXPECT_TRUE(it.may_interrupt(second));
    planner.restore_wave(1, {{}, {{instance_id("m0"), {}}}, at(0)}, at(100));
    plan_pools(100);
    EXPECT_FALSE(it.may_interrupt(second));
    EXPECT_TRUE(it.get_runs().at(first).must_stop || it.may_interrupt(first));
}

// Guards against an own order that is repeated although its instance is back
// with another target that has work.
TEST_F(orders_at_a_takeover_test, repeats_no_order_to_an_instance_that_works)
{
    set_up(1);
    auto out = plan_pools(0);
    ASSERT_EQ(out.orders.size(), 1U);
    planner.handle_order_reply(
        out.orders[0], instance_order_outcome::no_answer, it, at(100));
    it.handle_target_change({instances[0].target, std::nullopt}, at(200));
    instances[0].target = target_id("t-next");
    add_target(make_report("t-next"));
    start_tasks(1);
    out = plan_pools(1'000);
    EXPECT_TRUE(out.orders.empty());
    EXPECT_TRUE(is_cordoned(0));
}

// Guards against an instance that gets no work for good: it is no longer listed
// when a coordinator takes over its order.
TEST_F(orders_at_a_takeover_test, drops_the_order_of_an_instance_that_is_gone)
{
    set_up(1);
    planner.restore_wave(1, {{}, {{instance_id("gone"), {}}}, at(0)}, at(100));
    plan_pools(200);
    EXPECT_TRUE(
        planner.get_wave_progress(1)->ordered.count(instance_id("gone")) == 0);
}

} // namespace cowslippass
