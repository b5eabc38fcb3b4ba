#include "tests/systems/pools/drain_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <tuple>

namespace cowslippass
{

namespace
{

/// Drains begin at a quarter of the wave's time.
constexpr std::int64_t drain_at =
    drain_model::wave_at_ms + drain_model::wave_limit_ms / 4;

/// Runs the model with an event at each 200 ms of a wave's drains and
/// maintenance, and with a job that arrives some seconds later.
void sweep_event(const fleet_layout& layout, fleet_event event,
    std::size_t expected_maintained)
{
    for (std::int64_t ms = drain_at - 1'000; ms <= drain_at + 12'000; ms += 200)
    {
        SCOPED_TRACE("event at " + std::to_string(ms) + " ms");
        drain_model model(layout, {{ms, event}});
        model.run_until(ms + 4'000);
        model.submit_short("late", 1, 1'000, 300);
        model.run();
        ASSERT_EQ(model.get_faults(), std::vector<std::string>{});
        EXPECT_EQ(model.count_cordoned(), 0U);
        std::size_t maintained = model.count_maintained();
        bool is_complete = maintained == expected_maintained;
        EXPECT_TRUE(is_complete || !model.is_wave_published()) << maintained;
    }
}

struct drain_case
{
    const char* name;
    fleet_layout layout;
    std::size_t maintained; ///< Instances that can be maintained.
};

const drain_case cases[] = {
    {"two_instances", {}, 2},
    {"two_instances_at_once", {.max_unavailable_instances = 2}, 2},
    {"all_instances_of_two_jobs",
        {.instances = 4, .lasting = {4, 3}, .max_unavailable_instances = 4}, 4},
    {"two_of_a_step",
        {.instances = 4,
            .lasting = {4, 2},
            .max_per_target = 2,
            .budget = 2,
            .max_unavailable_instances = 2},
        4},
    {"with_a_spare",
        {.spares = 1, .lasting = {4}, .max_unavailable_instances = 2}, 2},
    // The budget allows no instance to be emptied.
    {"without_lasting", {.lasting = {}}, 2},
    {"one_instance_without_lasting", {.instances = 1, .lasting = {}}, 1},
    {"one_instance", {.instances = 1, .lasting = {2}}, 0},
    {"two_full_instances", {.lasting = {4}, .max_unavailable_instances = 2}, 0},
    // A step that cannot be whole has no budget left.
    {"step_without_room", {.instances = 3, .lasting = {5}, .max_per_target = 1},
        0},
};

const std::pair<const char*, fleet_event> events[] = {
    {"alone", fleet_event::none},
    {"short_job", fleet_event::short_job},
    {"long_task", fleet_event::long_task},
    {"takeover", fleet_event::takeover},
    {"withdrawn", fleet_event::withdraw_wave},
    {"replaced", fleet_event::replace_wave},
    {"crash", fleet_event::crash},
    {"another_job", fleet_event::cancel_and_next},
};

class maintenance_drain_test
    : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>>
{
};

} // namespace

// Guards against instances that stay closed to new work for good: a wave chose
// another instance to drain before the one that it was draining was empty
// (review/12).
TEST(maintenance_drain, closes_no_more_instances_than_the_wave_allows)
{
    drain_model model({}, {{drain_at - 600, fleet_event::short_job}});
    model.run_until(drain_at + 8'000);
    model.submit_short("late", 1, 1'000, 300);
    model.run();
    EXPECT_EQ(model.get_faults(), std::vector<std::string>{});
    EXPECT_EQ(model.count_cordoned(), 0U);
    EXPECT_EQ(model.count_maintained(), 2U);
}

// Guards against jobs that wait for a drained instance while its pool is nearly
// empty: a long task keeps the only instance from being maintained.
TEST(maintenance_drain, holds_no_job_back_in_a_pool_that_is_hardly_used)
{
    drain_model model({.instances = 1, .lasting = {}},
        {{drain_model::wave_at_ms - 500, fleet_event::long_task}});
    model.run_until(drain_at + 500);
    model.submit_short("late", 1, 1'000, 300);
    model.run();
    EXPECT_EQ(model.get_faults(), std::vector<std::string>{});
    EXPECT_EQ(model.count_maintained(), 1U);
}

// Guards against long-running tasks that are stopped without a place to go
// while another task keeps their instance from being maintained.
TEST(maintenance_drain, stops_a_task_without_room_elsewhere_only_at_the_end)
{
    drain_model model({.lasting = {2}, .max_per_target = 1},
        {{drain_at - 500, fleet_event::long_task}});
    model.run();
    EXPECT_EQ(model.get_faults(), std::vector<std::string>{});
    EXPECT_EQ(model.count_maintained(), 2U);
    EXPECT_EQ(model.count_interruptions(), 2U);
}

// Guards against a drain that cannot go on and takes another instance's place
// in the wave: its task may not be interrupted, as a sibling never starts up.
TEST(maintenance_drain, gives_up_a_drain_that_cannot_go_on)
{
    coordinator_fixture fleet;
    published_state state = make_published_state();
    maintenance_wave& wave = state.waves[1];
    wave.number = 1;
    wave.time_limit = milliseconds(4'000);
    std::vector<platform_instance> instances;
    for (const char* id : {"t0", "t1"})
    {
        fleet.add_target(make_report(id));
        instances.push_back({instance_id(id), pool_a, instance_condition::up,
            data_centre_id("z"), {}, {16'000, 32'768, 0}, target_id(id)});
        wave.instances.emplace_back(id);
    }
    step_spec step = make_step(2);
    step.is_long_running = true;
    step.max_per_target = 1;
    fleet.it.submit(job_id("1"), make_record({step}), at(0));
    ASSERT_EQ(fleet.plan().size(), 2U);
    fleet.it.set_published_state(state);
    pool_planner planner{pool_planner_options{}};
    std::set<target_id> drained;
    for (std::int64_t ms = 0; ms <= 10'000; ms += 100)
    {
        for (const platform_instance& it : instances)
            fleet.it.handle_status(it.target,
                fleet.make_status(
                    it.target, it.target.get() == "t0" ? 100 : 10),
                at(ms), at(ms));
        planner.set_instances(instances, at(ms));
        planner.plan(fleet.it, at(ms));
        for (const auto& [id, it] : fleet.it.get_targets())
            if (it.is_cordoned)
                drained.insert(id);
    }
    EXPECT_EQ(drained.size(), 2U);
}

// Guards against the same with a second event at any moment of the wave, and
// against tasks that wait beside free capacity.
TEST_P(maintenance_drain_test, leaves_no_instance_closed)
{
    const drain_case& it = cases[std::get<0>(GetParam())];
    sweep_event(
        it.layout, events[std::get<1>(GetParam())].second, it.maintained);
}

INSTANTIATE_TEST_SUITE_P(all, maintenance_drain_test,
    testing::Combine(testing::Range(std::size_t{0}, std::size(cases)),
        testing::Range(std::size_t{0}, std::size(events))),
    [](const auto& it)
    {
        return std::string(cases[std::get<0>(it.param)].name) + "_" +
               events[std::get<1>(it.param)].first;
    });

// Guards against the same in fleets, and with series of events, that nobody has
// chosen. RC_PARAMS sets the number of plans.
RC_GTEST_PROP(maintenance_drain, leaves_no_instance_closed_in_random_fleets, ())
{
    auto draw = [](int from, int to, const char* name)
    { return *rc::gen::inRange(from, to + 1).as(name); };
    fleet_layout layout;
    layout.instances = draw(1, 5, "instances");
    layout.spares = draw(0, 2, "spares");
    layout.lasting.assign(static_cast<std::size_t>(draw(0, 4, "jobs")), 0);
    for (std::uint32_t& tasks : layout.lasting)
        tasks = static_cast<std::uint32_t>(draw(1, 5, "tasks"));
    layout.max_per_target =
        static_cast<std::uint32_t>(draw(0, 2, "max_per_target"));
    layout.budget = static_cast<std::uint32_t>(draw(0, 3, "budget"));
    layout.max_unavailable_instances =
        static_cast<std::uint32_t>(draw(1, layout.instances, "limit"));
    std::vector<timed_event> plan(static_cast<std::size_t>(draw(0, 6, "n")));
    std::int64_t ms = drain_model::step_ms;
    for (timed_event& it : plan)
    {
        ms += drain_model::step_ms * draw(0, 120, "delay");
        it = {ms, events[static_cast<std::size_t>(draw(0,
                             static_cast<int>(std::size(events)) - 1, "event"))]
                      .second};
    }
    drain_model model(layout, plan);
    model.run();
    RC_ASSERT(model.get_faults() == std::vector<std::string>{});
    RC_ASSERT(model.count_cordoned() == 0U);
}

} // namespace cowslippass
