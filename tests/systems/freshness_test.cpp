#include "systems/freshness.hpp"
#include "systems/session_admission.hpp"
#include "tests/systems/freshness_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

monotonic_time at(int ms)
{
    return monotonic_time(milliseconds(ms));
}

} // namespace

// Guards against an entry that acts on a configuration later than the limit
// after a change was committed, over cuts, deaths, newcomers and lost replies.
RC_GTEST_PROP(freshness, no_entry_is_fresh_without_a_change_past_the_limit, ())
{
    auto steps = *gen_freshness_steps();
    auto violation = freshness_model(freshness_rules{}).run(steps);
    if (violation)
        RC_FAIL(*violation);
}

// The rarest fault below shows in about one of 5,000 runs, so that the rules
// in force are searched for longer than a property runs.
TEST(freshness, long_search_finds_no_violation)
{
    EXPECT_FALSE(find_freshness_violation({}));
}

// Guards against a model too weak to see the fault that the agreement rule
// exists for: a member commits a change, dies, and the rest agree.
TEST(freshness, leaving_dead_members_out_of_a_round_is_found_broken)
{
    EXPECT_TRUE(find_freshness_violation({.leaves_out_dead = true}));
}

// Guards against newcomers that commit changes unknown to an agreement.
TEST(freshness, changes_before_an_acknowledgement_are_found_broken)
{
    EXPECT_TRUE(find_freshness_violation({.needs_admission = false}));
}

// Guards against two newcomers that admit each other.
TEST(freshness, acknowledgement_by_a_newcomer_is_found_broken)
{
    EXPECT_TRUE(find_freshness_violation({.needs_admitted_peer = false}));
}

// Guards against a change in flight that an agreement does not count.
TEST(freshness, agreement_despite_unresolved_changes_is_found_broken)
{
    EXPECT_TRUE(find_freshness_violation({.needs_resolved_changes = false}));
}

// Guards against a freshness taken from the reply time of a delayed read.
TEST(freshness, time_of_the_reply_is_found_broken)
{
    EXPECT_TRUE(find_freshness_violation({.uses_reply_time = true}));
}

// Guards against a fresh_as_of that a late reply moves back.
TEST(freshness, never_moves_back)
{
    freshness it;
    it.note_version(config_version(1));
    it.note_head_read(at(1000), config_version(1));
    it.note_head_read(at(500), config_version(1));
    it.note_peer(at(900), milliseconds(10), config_version(1));
    EXPECT_EQ(it.get_fresh_as_of(), at(1000));
    EXPECT_TRUE(it.is_fresh(at(4999)));
    EXPECT_FALSE(it.is_fresh(at(5000)));
}

// Guards against an entry that never becomes fresh under a run of changes,
// and against one that counts a version that it does not have.
TEST(freshness, higher_version_counts_once_it_is_in_hand)
{
    freshness it;
    it.note_version(config_version(1));
    EXPECT_EQ(it.note_head_read(at(1000), config_version(2)),
        freshness::verdict::behind);
    EXPECT_FALSE(it.is_fresh(at(1001)));
    it.note_version(config_version(2));
    EXPECT_EQ(it.get_fresh_as_of(), at(1000));
}

// Guards against an agreement that closes with a member missing, with an
// answer of an older round, or after a new version came in.
TEST(freshness, round_needs_every_member_and_its_own_answers)
{
    freshness it;
    it.note_version(config_version(3));
    session_id one(1);
    session_id two(2);
    auto old_round = it.begin_agreement_round(at(100), {one, two});
    auto round = it.begin_agreement_round(at(200), {one, two});
    it.on_agreement_answer(round, one, config_version(3), false, false);
    it.on_agreement_answer(old_round, two, config_version(3), false, false);
    EXPECT_FALSE(it.get_fresh_as_of());
    it.on_agreement_answer(round, two, config_version(3), false, false);
    EXPECT_EQ(it.get_fresh_as_of(), at(200));

    round = it.begin_agreement_round(at(300), {one});
    it.note_version(config_version(4));
    it.on_agreement_answer(round, one, config_version(4), false, false);
    EXPECT_EQ(it.get_fresh_as_of(), at(200));

    round = it.begin_agreement_round(at(400), {one});
    it.on_agreement_answer(round, one, config_version(4), true, false);
    it.on_agreement_answer(round, one, config_version(4), false, false);
    EXPECT_EQ(it.get_fresh_as_of(), at(200));
}

// Guards against a newcomer that waits for ever when the older sessions were
// ended in the log, and against changes before that.
TEST(session_admission, opens_by_acknowledgement_or_ends_of_all_older)
{
    session_admission it(session_id(3), {session_id(1), session_id(2)});
    it.on_session_ended(session_id(1));
    EXPECT_FALSE(it.is_admitted());
    it.on_acknowledgement(session_id(2), true, false);
    EXPECT_FALSE(it.is_admitted());
    it.on_session_ended(session_id(2));
    EXPECT_TRUE(it.is_admitted());
    EXPECT_TRUE(session_admission(session_id(1), {}).is_admitted());
}

} // namespace cowslippass
