#include "systems/coordination/candidacy.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

boot_time at(int ms)
{
    return boot_time(milliseconds(ms));
}

ledger_head make_head(const std::string& holder, const std::string& address)
{
    ledger_head out;
    out.term = fencing_token(1);
    out.holder = holder;
    out.address = address;
    return out;
}

class candidacy_test : public testing::Test
{
protected:
    void read(std::optional<ledger_head> head, int version, int ms)
    {
        candidate.note_head(head,
            row_version(static_cast<std::uint64_t>(version)), at(ms), at(ms));
    }

    candidacy candidate{"me", "10.0.0.1:7000"};
    ledger_head other = make_head("other", "10.0.0.2:7000");
};

} // namespace

TEST_F(candidacy_test, takes_a_place_that_nobody_has)
{
    EXPECT_FALSE(candidate.may_take_over(at(0)));
    read(std::nullopt, 0, 10);
    EXPECT_TRUE(candidate.may_take_over(at(20)));
}

// Guards against a coordinator that is replaced while it writes.
TEST_F(candidacy_test, leaves_the_place_while_the_head_row_changes)
{
    for (int i = 0; i < 20; ++i)
    {
        read(other, i + 1, i * 400);
        EXPECT_FALSE(candidate.may_take_over(at(i * 400 + 10)));
    }
}

// Guards against a place that stays empty after its holder died.
TEST_F(candidacy_test, takes_the_place_after_a_silence)
{
    read(other, 5, 0);
    read(other, 5, 750);
    EXPECT_FALSE(candidate.may_take_over(at(760)));
    read(other, 5, 850);
    EXPECT_TRUE(candidate.may_take_over(at(860)));
}

// Guards against an entry with little processor that takes a place for which
// stronger ones stand by, also right after its own restart.
TEST_F(candidacy_test, lets_stronger_candidates_go_first)
{
    candidate.set_handicap(milliseconds(600));
    read(make_head("earlier", "10.0.0.1:7000"), 5, 0);
    read(make_head("earlier", "10.0.0.1:7000"), 5, 500);
    EXPECT_FALSE(candidate.may_take_over(at(510)));
    read(make_head("earlier", "10.0.0.1:7000"), 5, 650);
    EXPECT_TRUE(candidate.may_take_over(at(660)));
    read(other, 6, 1'000);
    read(other, 6, 2'300);
    EXPECT_FALSE(candidate.may_take_over(at(2'310)));
    read(other, 6, 2'450);
    EXPECT_TRUE(candidate.may_take_over(at(2'460)));
}

// Guards against a wait for a coordinator whose process was restarted.
TEST_F(candidacy_test, takes_the_place_of_a_process_that_is_gone)
{
    read(other, 5, 0);
    candidate.note_replaced();
    EXPECT_TRUE(candidate.may_take_over(at(10)));
    read(make_head("third", "10.0.0.3:7000"), 6, 20);
    EXPECT_FALSE(candidate.may_take_over(at(30)));
}

// Guards against a decision made on what was read before a pause.
TEST_F(candidacy_test, needs_a_fresh_look)
{
    read(other, 5, 0);
    read(other, 5, 1'300);
    EXPECT_FALSE(candidate.may_take_over(at(2'500)));
}

TEST_F(candidacy_test, takes_a_released_place_at_once)
{
    other.is_released = true;
    read(other, 5, 0);
    EXPECT_TRUE(candidate.may_take_over(at(1)));
}

// Guards against a wait for a process that is certainly gone.
TEST_F(candidacy_test, takes_the_place_of_its_own_earlier_boot)
{
    read(make_head("earlier", "10.0.0.1:7000"), 5, 0);
    EXPECT_TRUE(candidate.may_take_over(at(1)));
}

// Guards against a takeover by an entry that alone misses the coordinator, and
// against a coordinator that answers but cannot reach the store.
TEST_F(candidacy_test, trusts_probes_of_a_coordinator_that_writes)
{
    candidate.note_probe(milliseconds(300), at(0));
    EXPECT_FALSE(candidate.needs_read());
    read(other, 5, 0);
    read(other, 5, 1'300);
    EXPECT_FALSE(candidate.may_take_over(at(1'310)));
    candidate.note_probe(milliseconds(4'000), at(1'400));
    EXPECT_TRUE(candidate.needs_read());
    EXPECT_TRUE(candidate.may_take_over(at(1'410)));
}

// Guards against a wait for a coordinator that says itself that it has written
// nothing, and against a takeover on the word of its predecessor.
TEST_F(candidacy_test, takes_the_word_of_the_coordinator_itself)
{
    read(other, 5, 0);
    candidate.note_probe(milliseconds(1'050), at(10));
    read(other, 5, 20);
    EXPECT_FALSE(candidate.may_take_over(at(30)));
    // It may have written since.
    candidate.note_probe_failure();
    read(other, 6, 300);
    EXPECT_FALSE(candidate.may_take_over(at(310)));
    candidate.note_probe(milliseconds(1'250), at(400));
    EXPECT_TRUE(candidate.may_take_over(at(410)));
    read(make_head("third", "10.0.0.3:7000"), 7, 450);
    EXPECT_FALSE(candidate.may_take_over(at(460)));
}

} // namespace cowslippass
