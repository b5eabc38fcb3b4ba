#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

const job_id job_1("1");
const target_id target_1("t1");
const target_id target_2("t2");

/// Two targets that have room for one task each.
class interruptions_test : public testing::Test, public coordinator_fixture
{
protected:
    interruptions_test()
    {
        add_target(make_report("t1", 1));
        add_target(make_report("t2", 1));
    }

    static job_record make_long_running_job(std::uint32_t tasks)
    {
        step_spec step = make_step(tasks);
        step.is_long_running = true;
        step.max_unavailable = 1;
        return make_record({step});
    }

    static target_status with_clock(target_status status, std::int64_t ms)
    {
        status.clock = target_time(ms);
        return status;
    }
};

} // namespace

// Guards against a second task of a step that is stopped right after a
// takeover: the predecessor has sent a stop to the first one, which its target
// still lists as running.
TEST_F(interruptions_test, waits_for_stops_of_a_predecessor)
{
    it.submit(job_1, make_long_running_job(2), at(0));
    ASSERT_EQ(plan().size(), 2U);
    coordinator_fixture next;
    next.it.load_job(job_1, make_long_running_job(2),
        it.find_job(job_1)->encode_progress(), at(0), platform_time(0));
    for (const target_id& id : {target_1, target_2})
        next.it.handle_target_change({id, make_report(id.get(), 1)}, at(0));
    auto report = [&](std::int64_t ms)
    {
        for (const target_id& id : {target_1, target_2})
            next.it.handle_status(id,
                with_clock(next.make_status(id), 50'000 + ms), at(ms), at(ms));
    };
    const task_name first{job_1, {0, 0, 0}};
    report(10);
    EXPECT_FALSE(next.it.may_interrupt(first));
    // Time at the target counts, not the time at which its answer arrives.
    report(300);
    EXPECT_FALSE(next.it.may_interrupt(first));
    report(2'000);
    EXPECT_TRUE(next.it.may_interrupt(first));
}

// Guards against a task at work that is stopped beyond its step's budget: its
// start had no answer at first, and a relay that ended refuses to repeat it.
TEST_F(interruptions_test, keeps_a_run_that_its_target_lists)
{
    it.submit(job_1, make_long_running_job(2), at(0));
    auto starts = it.plan(at(0), platform_time(0));
    ASSERT_EQ(starts.size(), 2U);
    for (const start_decision& start : starts)
    {
        it.make_start_request(start);
        it.handle_start_reply(start, request_outcome::no_answer, at(250));
        it.handle_status(
            start.target, make_status(start.target), at(300), at(301));
    }
    it.handle_start_reply(starts[0], request_outcome::not_sent, at(400));
    EXPECT_TRUE(it.list_stops().empty());
    it.abandon_start(starts[1], at(400));
    EXPECT_TRUE(it.list_stops().empty());
    EXPECT_EQ(it.get_runs().size(), 2U);
}

} // namespace cowslippass
