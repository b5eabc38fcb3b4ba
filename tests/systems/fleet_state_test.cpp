#include "systems/fleet_state.hpp"

#include "tests/systems/fleet_generators.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

using fleet_log = std::vector<std::vector<fleet_record>>;

void apply_from(fleet_state& state, const fleet_log& log, std::size_t from)
{
    for (std::size_t i = from; i < log.size(); ++i)
        state.apply(config_version(i + 1), log[i]);
}

instance_record make_instance(const char* id)
{
    return {instance_id(id), data_centre_id("d1"), rack_id("r1"),
        "127.0.0.1:80", slot_count(8), byte_count(0), pool_id("p1")};
}

} // namespace

// Guards against entries that differ after the same log, and against an entry
// that starts from a snapshot and differs from one that read the whole log.
RC_GTEST_PROP(fleet_state, equal_logs_give_equal_snapshots, ())
{
    auto log = *generators::any_log();
    auto cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    fleet_state whole;
    apply_from(whole, log, 0);
    fleet_state first;
    apply_from(first, {log.begin(), log.begin() + cut}, 0);
    auto second = fleet_state::decode_snapshot(first.encode_snapshot());
    RC_ASSERT(second.encode_snapshot() == first.encode_snapshot());
    for (std::size_t i = cut; i < log.size(); ++i)
        second.apply(
            config_version(i + 1), decode_records(encode_records(log[i])));
    RC_ASSERT(second.encode_snapshot() == whole.encode_snapshot());
    RC_ASSERT(second.get_version() == config_version(log.size()));
}

// Guards against look-up tables that fall behind the tables that they index.
RC_GTEST_PROP(fleet_state, look_ups_agree_with_the_tables, ())
{
    fleet_state state;
    apply_from(state, *generators::any_log(), 0);
    for (const auto& [id, row] : state.get_sessions())
    {
        auto found = state.find_session_by_nonce(row.started.nonce);
        RC_ASSERT(found.has_value());
        RC_ASSERT(
            state.get_sessions().at(*found).started.nonce == row.started.nonce);
    }
    for (const auto& [id, row] : state.get_instances())
        RC_ASSERT(row.description.id == id && row.description.pool == row.pool);
}

// Guards against a skipped change and against an old version installed later
// (I11).
TEST(fleet_state, a_version_gap_is_refused)
{
    fleet_state state;
    state.apply(config_version(1), {});
    for (std::uint64_t version : {0, 1, 3})
        EXPECT_THROW(state.apply(config_version(version),
                         {data_centre_record{data_centre_id("d1"), true}}),
            systems_error);
    EXPECT_EQ(state.get_version(), config_version(1));
    EXPECT_TRUE(state.get_data_centres().empty());
}

// Guards against a withdrawn or replaced key that still works (I3).
TEST(fleet_state, only_the_current_secret_of_a_key_works)
{
    fleet_state state;
    key_record key{key_id("k1"), team_id("t1"), sha256_hex("old")};
    state.apply(config_version(1), {key});
    EXPECT_EQ(state.find_key_by_secret("old")->team, team_id("t1"));
    EXPECT_EQ(state.find_operator_by_secret("old"), nullptr);
    key.secret_sha256 = sha256_hex("new");
    state.apply(config_version(2), {key});
    EXPECT_EQ(state.find_key_by_secret("old"), nullptr);
    EXPECT_NE(state.find_key_by_secret("new"), nullptr);
    state.apply(config_version(3), {key_withdrawn_record{key.id}});
    EXPECT_EQ(state.find_key_by_secret("new"), nullptr);
}

// Guards against a session number that is given out twice.
TEST(fleet_state, session_numbers_are_never_used_again)
{
    fleet_state state;
    session_started_record started{entry_id("e1"), data_centre_id("d1"),
        "127.0.0.1:1", "127.0.0.1:2", "n1"};
    state.apply(config_version(1), {started});
    EXPECT_EQ(state.find_session_by_nonce("n1"), session_id(1));
    state.apply(config_version(2), {session_ended_record{session_id(1)}});
    EXPECT_FALSE(state.find_session_by_nonce("n1"));
    auto copy = fleet_state::decode_snapshot(state.encode_snapshot());
    started.nonce = "n2";
    copy.apply(config_version(3), {started});
    EXPECT_EQ(copy.find_session_by_nonce("n2"), session_id(2));
    EXPECT_EQ(
        copy.get_sessions().at(session_id(2)).started_at, config_version(3));
}

// Guards against a budget that overlooks instances of a data centre that is
// out, and against a move that leaves the instance out of service.
TEST(fleet_state, unavailable_instances_are_counted_in_their_pool)
{
    fleet_state state;
    data_centre_id d1("d1");
    pool_id p1("p1");
    state.apply(config_version(1),
        {data_centre_record{d1, true}, make_instance("i1"), make_instance("i2"),
            instance_state_record{
                instance_id("i1"), instance_state::out, {}, false}});
    EXPECT_EQ(state.count_unavailable(p1), 1u);
    state.apply(config_version(2), {data_centre_record{d1, false}});
    EXPECT_FALSE(state.is_in_service(d1));
    EXPECT_EQ(state.count_unavailable(p1), 2u);
    state.apply(config_version(3),
        {data_centre_record{d1, true},
            instance_moved_record{instance_id("i1"), pool_id("p2")}});
    EXPECT_EQ(state.count_unavailable(p1), 0u);
    const instance_row& row = state.get_instances().at(instance_id("i1"));
    EXPECT_EQ(row.pool, pool_id("p2"));
    EXPECT_EQ(row.state, instance_state::in_service);
    EXPECT_EQ(row.epoch, 2u);
}

// Guards against a damaged snapshot that is installed in part.
TEST(fleet_state, a_damaged_snapshot_is_refused)
{
    fleet_state state;
    state.apply(config_version(1), {make_instance("i1")});
    std::string text = state.encode_snapshot();
    for (std::size_t n : {std::size_t(0), std::size_t(1), text.size() - 1})
        EXPECT_THROW(
            fleet_state::decode_snapshot(text.substr(0, n)), systems_error);
    std::string other = text;
    other.replace(other.find("\"epoch\""), 7, "\"epocs\"");
    EXPECT_THROW(fleet_state::decode_snapshot(other), systems_error);
}

} // namespace cowslippass
