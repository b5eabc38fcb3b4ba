#include "systems/claim_machine.hpp"
#include "tests/systems/claim_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

// Guards against a request that runs twice, a "not run" of a request that ran
// or runs later, and a second payload under one id, whatever is lost, late,
// repeated or killed.
RC_GTEST_PROP(claim_machine, runs_at_most_once_and_answers_truly, ())
{
    auto steps = *gen_claim_steps();
    auto violation = claim_model(claim_rules{}).run(steps);
    if (violation)
        RC_FAIL(*violation);
}

TEST(claim_machine, long_search_finds_no_violation)
{
    EXPECT_EQ(find_claim_violation({}), std::nullopt);
}

// Each of these guards against a model too weak to see that a rule is needed.
TEST(claim_machine, starts_past_their_deadline_are_found_broken)
{
    EXPECT_TRUE(find_claim_violation({.target_checks_deadline = false}));
}

TEST(claim_machine, unconditioned_writes_are_found_broken)
{
    EXPECT_TRUE(find_claim_violation({.writes_are_conditioned = false}));
}

TEST(claim_machine, unknown_task_before_the_deadline_is_found_broken)
{
    EXPECT_TRUE(find_claim_violation({.waits_for_deadline = false}));
}

TEST(claim_machine, unknown_task_after_the_retention_is_found_broken)
{
    EXPECT_TRUE(find_claim_violation({.minds_retention = false}));
}

TEST(claim_machine, not_run_for_a_repeated_attempt_is_found_broken)
{
    EXPECT_TRUE(find_claim_violation({.knows_repeats = false}));
}

// Guards against rows that another version of the codec cannot read.
TEST(claim_row, round_trips_and_rejects_malformed_rows)
{
    claim_row it;
    it.state = claim_state::done;
    it.digest = "d";
    it.session = session_id(7);
    it.target = instance_id("t");
    it.task = task_id("x");
    it.start_before = target_time(12);
    it.result = "results/r";
    EXPECT_EQ(it.encode(), claim_row::decode(it.encode()).encode());
    EXPECT_THROW(claim_row::decode("{}"), systems_error);
    EXPECT_THROW(claim_row::decode("["), systems_error);
    EXPECT_THROW(claim_row::decode(R"({"state":"lost"})"), systems_error);
}

} // namespace cowslippass
