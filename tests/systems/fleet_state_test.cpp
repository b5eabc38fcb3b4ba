#include "systems/fleet_state.hpp"

#include "tests/systems/fleet_generators.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

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
    fleet_state whole = replay(log);
    fleet_state first = replay({log.begin(), log.begin() + cut});
    auto second = fleet_state::decode_snapshot(first.encode_snapshot());
    RC_ASSERT(second.encode_snapshot() == first.encode_snapshot());
    for (std::size_t i = cut; i < log.size(); ++i)
        apply_next(second, decode_records(encode_records(log[i])));
    RC_ASSERT(second.encode_snapshot() == whole.encode_snapshot());
    RC_ASSERT(second.get_version() == config_version(log.size()));
}

// Guards against look-up tables that fall behind the tables that they index.
RC_GTEST_PROP(fleet_state, look_ups_agree_with_the_tables, ())
{
    fleet_state state = replay(*generators::any_log());
    for (const auto& [id, row] : state.get_sessions())
    {
        const std::string& nonce = row.started.nonce;
        auto found = state.find_session_by_nonce(nonce);
        RC_ASSERT(found.has_value());
        RC_ASSERT(state.get_sessions().at(*found).started.nonce == nonce);
    }
    for (const auto& [id, row] : state.get_instances())
        RC_ASSERT(row.description.id == id && row.description.pool == row.pool);
}

// Guards against a skipped change and against an old version installed later
// (I11).
TEST(fleet_state, a_version_gap_is_refused)
{
    fleet_state state;
    apply_next(state, {});
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
    apply_next(state, {key});
    EXPECT_EQ(state.find_key_by_secret("old")->team, team_id("t1"));
    EXPECT_EQ(state.find_operator_by_secret("old"), nullptr);
    key.secret_sha256 = sha256_hex("new");
    apply_next(state, {key});
    EXPECT_EQ(state.find_key_by_secret("old"), nullptr);
    EXPECT_NE(state.find_key_by_secret("new"), nullptr);
    apply_next(state, {key_withdrawn_record{key.id}});
    EXPECT_EQ(state.find_key_by_secret("new"), nullptr);
}

// Guards against a damaged snapshot that is installed in part.
TEST(fleet_state, a_damaged_snapshot_is_refused)
{
    fleet_state state;
    apply_next(state, {make_instance("i1")});
    std::string text = state.encode_snapshot();
    for (std::size_t n : {std::size_t(0), std::size_t(1), text.size() - 1})
        EXPECT_THROW(
            fleet_state::decode_snapshot(text.substr(0, n)), systems_error);
    std::string other = text;
    other.replace(other.find("\"epoch\""), 7, "\"epocs\"");
    EXPECT_THROW(fleet_state::decode_snapshot(other), systems_error);
}

} // namespace cowslippass
