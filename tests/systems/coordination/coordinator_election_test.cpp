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
    out.term = fencing_token(1);
    out.holder = holder;
    out.address = address;
    return out;
}

class coordinator_election_test : public testing::Test
{
protected:
    /// Reads the head row at `ms`, with the given row version.
    void read(std::optional<ledger_head> head, int version, int ms)
    {
        election.record_head(head,
            row_version(static_cast<std::uint64_t>(version)), at(ms), at(ms));
    }

    coordinator_election election{"me", "10.0.0.1:7000"};
    ledger_head other = make_head("other", "10.0.0.2:7000");
};

} // namespace

// Guards against a new fleet that never gets a coordinator because no head row
// exists yet.
TEST_F(coordinator_election_test, takes_over_when_the_head_row_is_absent)
{
    EXPECT_FALSE(election.may_take_over(at(0)));
    read(std::nullopt, 0, 10);
    EXPECT_TRUE(election.may_take_over(at(20)));
}

// Guards against a takeover from a live coordinator: it does not reply to
// probes, but it still renews the head row.
TEST_F(coordinator_election_test, does_not_take_over_while_the_head_row_changes)
{
    for (int i = 0; i < 20; ++i)
    {
        read(other, i + 1, i * 400);
        EXPECT_FALSE(election.may_take_over(at(i * 400 + 10)));
    }
}

// Guards against a fleet that stays without a coordinator after a crash: the
// holder neither replies nor renews the head row.
TEST_F(coordinator_election_test, takes_over_after_the_head_row_stops_changing)
{
    read(other, 5, 0);
    read(other, 5, 750);
    EXPECT_FALSE(election.may_take_over(at(760)));
    read(other, 5, 850);
    EXPECT_TRUE(election.may_take_over(at(860)));
}

// Guards against a takeover by an entry with a small processor share while
// entries with a larger one are available, also right after its own restart.
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

// Guards against a needless wait after a restart of the coordinator's process:
// another boot replies at its address, so the holder has certainly ended.
TEST_F(coordinator_election_test, takes_over_from_a_replaced_process)
{
    read(other, 5, 0);
    election.record_replacement();
    EXPECT_TRUE(election.may_take_over(at(10)));
    read(make_head("third", "10.0.0.3:7000"), 6, 20);
    EXPECT_FALSE(election.may_take_over(at(30)));
}

// Guards against a takeover based on stale data: this process was paused after
// it had read the head row.
TEST_F(coordinator_election_test, requires_a_recent_read)
{
    read(other, 5, 0);
    read(other, 5, 1'300);
    EXPECT_FALSE(election.may_take_over(at(2'500)));
}

// Guards against a needless wait after an orderly shutdown: the coordinator has
// released its term.
TEST_F(coordinator_election_test, takes_over_a_released_term_at_once)
{
    other.is_released = true;
    read(other, 5, 0);
    EXPECT_TRUE(election.may_take_over(at(1)));
}

// Guards against a needless wait after a restart of this process: the holder is
// an earlier boot at the same address, which has certainly ended.
TEST_F(coordinator_election_test, takes_over_from_its_own_earlier_boot)
{
    read(make_head("earlier", "10.0.0.1:7000"), 5, 0);
    EXPECT_TRUE(election.may_take_over(at(1)));
}

// Guards against a takeover from a coordinator that replied to a probe and had
// renewed its term, because the head row looks unchanged to this entry alone.
// Guards also against a coordinator that keeps its role because it replies,
// although it cannot reach the store.
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

// Guards against a needless wait for a coordinator that reports that it has
// written nothing for too long, and against a takeover from a coordinator
// because of an old report or a report by its predecessor.
TEST_F(coordinator_election_test,
    uses_the_renewal_age_that_the_coordinator_reports)
{
    read(other, 5, 0);
    election.record_probe(milliseconds(1'050), at(10));
    read(other, 5, 20);
    EXPECT_FALSE(election.may_take_over(at(30)));
    // The report is old: the coordinator may have written since.
    election.record_probe_failure();
    read(other, 6, 300);
    EXPECT_FALSE(election.may_take_over(at(310)));
    election.record_probe(milliseconds(1'250), at(400));
    EXPECT_TRUE(election.may_take_over(at(410)));
    read(make_head("third", "10.0.0.3:7000"), 7, 450);
    EXPECT_FALSE(election.may_take_over(at(460)));
}

} // namespace cowslippass
