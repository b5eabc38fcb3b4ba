#include "systems/coordination/coordinator_election.hpp"

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
    out.term = fencing_number(1);
    out.holder = holder;
    out.address = address;
    return out;
}

class coordinator_election_test : public testing::Test
{
protected:
    void read(std::optional<ledger_head> head, int version, int ms)
    {
        election.record_head(head,
            row_version(static_cast<std::uint64_t>(version)), at(ms), at(ms));
    }

    coordinator_election election{"me", "10.0.0.1:7000"};
    ledger_head other = make_head("other", "10.0.0.2:7000");
};

} // namespace

TEST_F(coordinator_election_test, takes_over_when_the_head_row_is_absent)
{
    EXPECT_FALSE(election.may_take_over(at(0)));
    read(std::nullopt, 0, 10);
    EXPECT_TRUE(election.may_take_over(at(20)));
}

// Guards against a coordinator that is replaced while it writes.
TEST_F(coordinator_election_test, does_not_take_over_while_the_head_row_changes)
{
    for (int i = 0; i < 20; ++i)
    {
        read(other, i + 1, i * 400);
        EXPECT_FALSE(election.may_take_over(at(i * 400 + 10)));
    }
}

// Guards against a place that stays empty after its holder died.
TEST_F(coordinator_election_test, takes_over_after_the_head_row_stops_changing)
{
    read(other, 5, 0);
    read(other, 5, 750);
    EXPECT_FALSE(election.may_take_over(at(760)));
    read(other, 5, 850);
    EXPECT_TRUE(election.may_take_over(at(860)));
}

// Guards against an entry with little processor that takes a place for which
// stronger ones stand by, also right after its own restart.
TEST_F(coordinator_election_test, delays_the_takeover_by_weak_candidates)
{
    election.set_takeover_delay(milliseconds(600));
    read(make_head("earlier", "10.0.0.1:7000"), 5, 0);
    read(make_head("earlier", "10.0.0.1:7000"), 5, 500);
    EXPECT_FALSE(election.may_take_over(at(510)));
    read(make_head("earlier", "10.0.0.1:7000"), 5, 650);
    EXPECT_TRUE(election.may_take_over(at(660)));
    read(other, 6, 1'000);
    read(other, 6, 2'300);
    EXPECT_FALSE(election.may_take_over(at(2'310)));
    read(other, 6, 2'450);
    EXPECT_TRUE(election.may_take_over(at(2'460)));
}

// Guards against a wait for a coordinator whose process was restarted.
TEST_F(coordinator_election_test, takes_over_from_a_replaced_process)
{
    read(other, 5, 0);
    election.record_replacement();
    EXPECT_TRUE(election.may_take_over(at(10)));
    read(make_head("third", "10.0.0.3:7000"), 6, 20);
    EXPECT_FALSE(election.may_take_over(at(30)));
}

// Guards against a decision made on what was read before a pause.
TEST_F(coordinator_election_test, requires_a_recent_read)
{
    read(other, 5, 0);
    read(other, 5, 1'300);
    EXPECT_FALSE(election.may_take_over(at(2'500)));
}

TEST_F(coordinator_election_test, takes_over_a_released_term_at_once)
{
    other.is_released = true;
    read(other, 5, 0);
    EXPECT_TRUE(election.may_take_over(at(1)));
}

// Guards against a wait for a process that is certainly gone.
TEST_F(coordinator_election_test, takes_over_from_its_own_earlier_boot)
{
    read(make_head("earlier", "10.0.0.1:7000"), 5, 0);
    EXPECT_TRUE(election.may_take_over(at(1)));
}

// Guards against a takeover by an entry that alone misses the coordinator, and
// against a coordinator that answers but cannot reach the store.
TEST_F(
    coordinator_election_test, suspects_only_a_coordinator_that_stops_renewing)
{
    election.record_probe(milliseconds(300), at(0));
    EXPECT_FALSE(election.needs_head_read());
    read(other, 5, 0);
    read(other, 5, 1'300);
    EXPECT_FALSE(election.may_take_over(at(1'310)));
    election.record_probe(milliseconds(4'000), at(1'400));
    EXPECT_TRUE(election.needs_head_read());
    EXPECT_TRUE(election.may_take_over(at(1'410)));
}

// Guards against a wait for a coordinator that says itself that it has written
// nothing, and against a takeover on the word of its predecessor.
TEST_F(coordinator_election_test,
    uses_the_renewal_age_that_the_coordinator_reports)
{
    read(other, 5, 0);
    election.record_probe(milliseconds(1'050), at(10));
    read(other, 5, 20);
    EXPECT_FALSE(election.may_take_over(at(30)));
    // It may have written since.
    election.record_probe_failure();
    read(other, 6, 300);
    EXPECT_FALSE(election.may_take_over(at(310)));
    election.record_probe(milliseconds(1'250), at(400));
    EXPECT_TRUE(election.may_take_over(at(410)));
    read(make_head("third", "10.0.0.3:7000"), 7, 450);
    EXPECT_FALSE(election.may_take_over(at(460)));
}

} // namespace cowslippass
