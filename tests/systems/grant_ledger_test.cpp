#include "systems/grant_ledger.hpp"
#include "tests/systems/grant_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

constexpr std::uint64_t max_runs = 20000;
const std::string above_limit = "above the limit";

using enum grant_action;

// Session 0 grows after session 1 has read the row at the lowered limit.
const std::vector<grant_step> growth_after_lowered_limit = {
    {run_without_faults, 1, 3, 0}, {run_without_faults, 0, 0, 0},
    {change_limit, 0, 0, 2}, {catch_up, 1, 0, 0}, {exchange_rows, 1, 0, 0},
    {set_waiting_count, 0, 3, 0}, {apply_and_answer, 0, 0, 0}, {start, 0, 2, 0},
    {pass_time, 0, 0, 30}, {renew, 0, 0, 0}, {catch_up, 1, 0, 0},
    {pass_time, 0, 0, 20}, {start, 1, 2, 0}};

// Session 0 ends a task while session 1 adopts it, and starts another one.
const std::vector<grant_step> adoption_from_a_live_session = {
    {run_without_faults, 0, 1, 0}, {start, 0, 0, 0},
    {run_without_faults, 1, 5, 0}, {start, 1, 4, 0}, {inject_fault, 0, 5, 0},
    {end_unreachable_session, 0, 0, 0}, {catch_up, 1, 0, 0},
    {exchange_rows, 1, 0, 0}, {adopt, 1, 0, 0}, {end, 0, 0, 0},
    {start, 0, 0, 0}, {apply_and_answer, 1, 0, 0}, {start, 1, 0, 0}};

} // namespace

// Guards against tasks started above the team's limit, and against grants that
// are never returned. Random steps crash, pause and disconnect sessions, lose
// replies, delay requests, return stale rows, adopt tasks and change the limit.
RC_GTEST_PROP(grant_ledger, limit_holds_and_no_grant_is_lost, ())
{
    auto steps = *gen_grant_steps();
    auto violation = grant_model(grant_rules{}).run(steps);
    if (violation)
        RC_FAIL(*violation);
}

// Guards against violations that show only in rare interleavings of the steps,
// with 3,000 fixed seeds.
TEST(grant_ledger, long_search_finds_no_violation)
{
    EXPECT_EQ(find_grant_violation({}, "", 3000), std::nullopt);
}

// This test and the six that follow guard against a model that is too weak to
// show that a rule of the protocol is needed. Each switches off one rule; the
// model must then find tasks above the limit.
//
// Here a session grows after a peer has read the row at a lowered limit.
TEST(grant_ledger, model_detects_growth_without_head_condition)
{
    grant_rules broken{.conditions_growth_on_head = false};
    EXPECT_FALSE(grant_model({}).run(growth_after_lowered_limit, false));
    EXPECT_TRUE(grant_model(broken).run(growth_after_lowered_limit, false));
}

// Here a session uses a row that it read before the limit was lowered.
TEST(grant_ledger, model_detects_missing_reread_after_limit_change)
{
    EXPECT_TRUE(find_grant_violation(
        {.reads_again_after_limit = false}, above_limit, max_runs));
}

// Here a session uses grants of a growth whose reply was lost.
TEST(grant_ledger, model_detects_unknown_growth_counted_as_committed)
{
    EXPECT_TRUE(find_grant_violation(
        {.counts_unknown_as_not_grown = false}, above_limit, max_runs));
}

// Here a disconnected session keeps its tasks running after it was ended and
// its grants were released.
TEST(grant_ledger, model_detects_renewal_without_deadline)
{
    EXPECT_TRUE(
        find_grant_violation({.stops_renewing = false}, above_limit, max_runs));
}

// Here grants of an ended session are released while its tasks still run.
TEST(grant_ledger, model_detects_early_release_of_ended_session)
{
    EXPECT_TRUE(find_grant_violation(
        {.waits_for_release = false}, above_limit, max_runs));
}

// Here an ended session, which does not know it, still starts tasks with grants
// that a peer adopts.
TEST(grant_ledger, model_detects_early_adoption)
{
    grant_rules broken{.waits_for_adoption = false};
    EXPECT_FALSE(grant_model({}).run(adoption_from_a_live_session, false));
    EXPECT_TRUE(grant_model(broken).run(adoption_from_a_live_session, false));
}

// Here a session starts tasks without knowing that the limit was lowered or
// that it was ended.
TEST(grant_ledger, model_detects_starts_without_freshness)
{
    EXPECT_TRUE(find_grant_violation(
        {.needs_freshness = false}, above_limit, max_runs));
}

// Guards against starts above a lowered limit. If each session could use a
// share in proportion to the limit, this session could run 3 tasks while
// another one still runs 5.
TEST(grant_ledger, lowered_limit_excludes_grants_of_peers)
{
    team_id team("alpha");
    grant_ledger it(session_id(1));
    it.on_limit(team, task_count(10), config_version(1));
    row value{"grants/alpha", R"({"holders":{"1":5,"2":5}})", row_version(3)};
    it.on_row(team, value, config_version(1));
    EXPECT_EQ(it.get_usable(team), task_count(5));
    it.on_limit(team, task_count(6), config_version(2));
    EXPECT_EQ(it.get_usable(team), task_count(0));
    it.on_row(team, value, config_version(2));
    EXPECT_EQ(it.get_usable(team), task_count(1));
}

// Guards against growth that stops until the next configuration change. The
// new head was known before the read showed that the row had not changed, so
// no later head would have ended the wait.
TEST(grant_ledger, conflict_with_an_older_head_does_not_stop_growth)
{
    team_id team("alpha");
    monotonic_time now{};
    grant_ledger it(session_id(1));
    row value{"grants/alpha", R"({"holders":{}})", row_version(3)};
    it.on_limit(team, task_count(8), config_version(1));
    it.on_config_head(config_version(1), row_version(10));
    it.set_waiting(team, task_count(1));
    ASSERT_EQ(it.plan_reads(now).size(), 1U);
    it.on_row(team, value, config_version(1));
    auto planned = it.plan_transfers(now);
    ASSERT_EQ(planned.size(), 1U);
    it.on_config_head(config_version(2), row_version(11));
    it.on_result(planned[0].id, transaction_outcome::conflict);
    now += std::chrono::seconds(10);
    ASSERT_EQ(it.plan_reads(now).size(), 1U);
    it.on_row(team, value, config_version(2));
    EXPECT_FALSE(it.needs_config_head());
    EXPECT_EQ(it.plan_transfers(now).size(), 1U);
}

// Guards against a session that keeps the whole limit while tasks wait at a
// peer, and against a cap that stays although the peer has its even share.
TEST(grant_policy, cap_leaves_waiting_peers_an_even_share)
{
    EXPECT_EQ(choose_grant_cap(10, 0, {{0, 20}}), 5);
    EXPECT_EQ(choose_grant_cap(10, 0, {{0, 2}}), 8);
    EXPECT_EQ(choose_grant_cap(10, 6, {{6, 20}}), 5);
    EXPECT_EQ(choose_grant_cap(10, 5, {{5, 20}}), 5);
    EXPECT_EQ(choose_grant_cap(1, 0, {{0, 20}}), 1);
}

// Guards against malformed rows that are decoded as empty ones.
TEST(grant_row, round_trips_and_rejects_malformed_rows)
{
    grant_row it;
    it.set(session_id(3), 4);
    EXPECT_EQ(it.encode(), R"({"holders":{"3":4}})");
    EXPECT_EQ(grant_row::decode(it.encode()).get(session_id(3)), 4);
    EXPECT_EQ(grant_row::decode("").get_total(), 0);
    EXPECT_THROW(grant_row::decode("{}"), systems_error);
    EXPECT_THROW(grant_row::decode(R"({"holders":{"x":1}})"), systems_error);
}

} // namespace cowslippass
