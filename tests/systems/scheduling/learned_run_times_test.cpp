#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

const target_id target_1("t1");

coordinator_options make_options(bool learns_run_times)
{
    coordinator_options out;
    out.learns_run_times = learns_run_times;
    return out;
}

/// A queue whose tasks take three times as long as estimated.
struct underestimated_queue : coordinator_fixture
{
    explicit underestimated_queue(bool learns_run_times)
        : coordinator_fixture(make_options(learns_run_times))
    {
        add_target(make_report("t1", 4));
    }

    /// Runs one job of one task after the other.
    /// @param saved checkpoint that the target reports with the end.
    void run_jobs(int count, const std::string& saved = "")
    {
        for (int i = 0; i < count; ++i)
        {
            job_id id("j" + std::to_string(now));
            it.submit(id, make_record({make_step(1)}), at(now));
            auto starts = plan(now);
            now += 3'000;
            target_status status;
            status.ended.push_back({++end_number, starts.at(0).task,
                starts[0].run, run_outcome::done, saved});
            it.handle_status(target_1, status, at(now), at(now));
        }
    }

    /// @return the expected work of a waiting job of one task with an estimate
    ///   of a second, in core-milliseconds.
    double measure_waiting_work()
    {
        it.submit(job_id("large"), make_record({make_step(1, 5'000)}), at(now));
        plan(now);
        return it.measure_demand(at(now))[pool_a].waiting_core_ms;
    }

    std::int64_t now = 0;
    std::uint64_t end_number = 0;
};

} // namespace

// Load: a queue whose estimates are too short by a factor of three. Guards
// against a pool that is sized for a third of the work.
TEST(learned_run_times_test, demand_follows_finished_runs)
{
    underestimated_queue estimated(false);
    estimated.run_jobs(100);
    EXPECT_DOUBLE_EQ(estimated.measure_waiting_work(), 5'000);
    underestimated_queue learned(true);
    EXPECT_DOUBLE_EQ(learned.measure_waiting_work(), 5'000);
    underestimated_queue later(true);
    later.run_jobs(100);
    EXPECT_NEAR(later.measure_waiting_work(), 15'000, 1'500);
}

// Guards against samples of runs that began at a checkpoint, or whose start
// this coordinator did not see.
TEST(learned_run_times_test, learns_from_whole_runs_only)
{
    underestimated_queue resumed(true);
    resumed.run_jobs(5, "checkpoint");
    EXPECT_TRUE(resumed.it.take_run_time_changes().empty());
    underestimated_queue successor(true);
    job first(job_id("r"), queue_a, team_a, make_record({make_step(1)}).spec);
    first.assign({0, 0, 0}, target_1);
    successor.it.load_job(job_id("r"), make_record({make_step(1)}),
        first.encode_progress(), at(0), platform_time(0));
    target_status status;
    status.ended.push_back(
        {1, {job_id("r"), {0, 0, 0}}, run_number(1), run_outcome::done, ""});
    successor.it.handle_status(target_1, status, at(9'000), at(9'000));
    EXPECT_TRUE(successor.it.take_run_time_changes().empty());
}

// Failure: a takeover. Guards against a successor that trusts the estimates
// again.
TEST(learned_run_times_test, a_successor_continues_with_what_was_learned)
{
    underestimated_queue former(true);
    former.run_jobs(100);
    underestimated_queue successor(true);
    for (const auto& it : former.it.take_run_time_changes())
        successor.it.load_run_times(it.queue, it.value);
    EXPECT_DOUBLE_EQ(
        successor.measure_waiting_work(), former.measure_waiting_work());
}

// Guards against rows that are written although nothing reads them.
TEST(learned_run_times_test, learns_nothing_while_it_is_off)
{
    underestimated_queue it(false);
    it.run_jobs(5);
    EXPECT_TRUE(it.it.take_run_time_changes().empty());
}

} // namespace cowslippass
