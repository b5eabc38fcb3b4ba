#include "systems/pools/pool_usage.hpp"
#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

class pool_usage_test : public testing::Test, public coordinator_fixture
{
protected:
    pool_usage measure()
    {
        return measure_usage(
            it.get_targets(), it.measure_demand(at(0)), at(0))[pool_a];
    }
};

} // namespace

// Load pattern: tasks of 13 cores on targets of 64 leave 12 cores that no
// waiting task fits into.
TEST_F(pool_usage_test, tells_stranded_from_free_processors)
{
    add_target(make_report("t1", 64));
    add_target(make_report("t2", 64));
    it.submit(job_id("1"), make_record({make_step(8, 13'000)}), at(0));
    plan();
    EXPECT_EQ(measure().worked, 8 * 13'000);
    EXPECT_EQ(measure().beside, 2 * 12'000);
    EXPECT_EQ(measure().stranded, 0);
    it.submit(job_id("2"), make_record({make_step(1, 13'000)}), at(0));
    plan();
    EXPECT_EQ(measure().beside, 0);
    EXPECT_EQ(measure().stranded, 2 * 12'000);
}

// Load pattern: a long-running job that needs a target for each task keeps
// targets in a pool whose turn is over.
TEST_F(pool_usage_test, counts_targets_that_only_long_running_tasks_keep)
{
    for (const char* id : {"t1", "t2", "t3"})
        add_target(make_report(id, 64));
    step_spec step = make_step(2, 8'000);
    step.is_long_running = true;
    step.max_per_target = 1;
    it.submit(job_id("1"), make_record({step}), at(0));
    plan();
    pool_usage usage = measure();
    EXPECT_EQ(usage.lasting_targets, 2U);
    EXPECT_EQ(usage.lasting, 16'000);
    EXPECT_EQ(usage.idle, 64'000);
    it.set_cordon(target_id("t3"), true);
    EXPECT_EQ(measure().idle, 0);
    EXPECT_EQ(measure().closed, 64'000);
}

} // namespace cowslippass
