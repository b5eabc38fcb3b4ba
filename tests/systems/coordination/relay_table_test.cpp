#include "systems/coordination/relay_table.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

const data_centre_id zone_a("a");
const data_centre_id zone_b("b");

relay_info make_relay(
    const std::string& address, const data_centre_id& zone, unsigned share)
{
    return {entry_id(address), address, zone, share};
}

/// Options with which 10 targets need 5 relays.
relay_options make_options()
{
    relay_options out;
    out.min_targets = 10;
    out.targets_per_relay = 2;
    return out;
}

/// @return the address of the target's relay; empty for none.
std::string get_relay(
    const relay_table& table, int target, const data_centre_id& zone)
{
    const relay_info* it =
        table.choose(target_id("t" + std::to_string(target)), zone);
    return it ? it->address : std::string();
}

} // namespace

// Guards against relays, which cost processor time and bytes, in a fleet that
// one process can serve.
TEST(relay_table, uses_no_relays_for_a_small_fleet)
{
    relay_table it(make_options());
    it.record_contact(make_relay("1", zone_a, 500), at(0));
    it.select({{zone_a, 9}}, at(0));
    EXPECT_EQ(get_relay(it, 1, zone_a), "");
    it.select({{zone_a, 10}}, at(0));
    EXPECT_EQ(get_relay(it, 1, zone_a), "1");
}

// Guards against relays with little processor time, and against requests that
// cross data centres without need.
TEST(relay_table, prefers_strong_entries_in_the_data_centre_of_the_target)
{
    relay_table it(make_options());
    for (int i = 0; i < 9; ++i)
        it.record_contact(
            make_relay("weak" + std::to_string(i), zone_a, 120), at(0));
    for (int i = 0; i < 5; ++i)
        it.record_contact(
            make_relay("strong" + std::to_string(i), zone_a, 500), at(0));
    it.record_contact(make_relay("other", zone_b, 500), at(0));
    it.select({{zone_a, 10}, {zone_b, 2}}, at(0));
    EXPECT_EQ(it.list_selected().size(), 6U);
    std::set<std::string> used;
    for (int i = 0; i < 100; ++i)
        used.insert(get_relay(it, i, zone_a));
    EXPECT_EQ(used.size(), 5U);
    for (const std::string& address : used)
        EXPECT_TRUE(address.starts_with("strong")) << address;
    EXPECT_EQ(get_relay(it, 1, zone_b), "other");
    EXPECT_NE(get_relay(it, 1, data_centre_id("without_entries")), "");
}

// Guards against a lost relay that keeps its targets, that moves the targets of
// other relays, or that is used again at once.
TEST(relay_table, replaces_only_the_relay_that_was_lost)
{
    relay_table it(make_options());
    for (int i = 0; i < 6; ++i)
        it.record_contact(
            make_relay(std::to_string(i), zone_a, i < 5 ? 500 : 200), at(0));
    it.select({{zone_a, 10}}, at(0));
    std::map<int, std::string> before;
    for (int i = 0; i < 100; ++i)
        before[i] = get_relay(it, i, zone_a);
    it.record_loss("2", at(100));
    it.select({{zone_a, 10}}, at(100));
    EXPECT_TRUE(it.is_selected("5"));
    for (const auto& [target, address] : before)
    {
        std::string now = get_relay(it, target, zone_a);
        EXPECT_NE(now, "2");
        if (address != "2")
        {
            EXPECT_TRUE(now == address || now == "5") << now;
        }
    }
    // It stays out until its time has passed, and then until it is needed.
    it.record_contact(make_relay("2", zone_a, 500), at(3'000));
    it.record_loss("5", at(3'000));
    it.select({{zone_a, 10}}, at(3'000));
    EXPECT_FALSE(it.is_selected("2"));
    it.record_contact(make_relay("2", zone_a, 500), at(3'200));
    it.select({{zone_a, 10}}, at(3'200));
    EXPECT_TRUE(it.is_selected("2"));
}

// Guards against an entry that is gone or about to stop and stays a relay.
TEST(relay_table, drops_entries_that_are_out_of_contact_or_leave)
{
    relay_table it(make_options());
    it.record_contact(make_relay("1", zone_a, 500), at(0));
    it.record_contact(make_relay("2", zone_a, 500), at(2'000));
    it.select({{zone_a, 10}}, at(2'000));
    EXPECT_FALSE(it.is_selected("1"));
    EXPECT_TRUE(it.is_selected("2"));
    it.remove("2");
    it.select({{zone_a, 10}}, at(2'000));
    EXPECT_EQ(get_relay(it, 1, zone_a), "");
}

} // namespace cowslippass
