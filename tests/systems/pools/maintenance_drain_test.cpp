#include "tests/systems/pools/drain_model.hpp"

#include <gtest/gtest.h>

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
        drain_model model(layout, event, ms);
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
    {"one_instance", {.instances = 1, .lasting = {2}}, 0},
    {"two_full_instances", {.lasting = {4}, .max_unavailable_instances = 2}, 0},
    // A step that cannot be whole has no budget left.
    {"step_without_room", {.instances = 3, .lasting = {5}, .max_per_target = 1},
        0},
};

const std::pair<const char*, fleet_event> events[] = {
    {"alone", fleet_event::none},
    {"short_job", fleet_event::short_job},
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
    drain_model model({}, fleet_event::short_job, drain_at - 600);
    model.run_until(drain_at + 8'000);
    model.submit_short("late", 1, 1'000, 300);
    model.run();
    EXPECT_EQ(model.get_faults(), std::vector<std::string>{});
    EXPECT_EQ(model.count_cordoned(), 0U);
    EXPECT_EQ(model.count_maintained(), 2U);
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

} // namespace cowslippass
