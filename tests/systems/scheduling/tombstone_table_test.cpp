#include "systems/scheduling/tombstone_table.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

const team_id team_a("a");
const team_id team_b("b");

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

job_id make_id(std::size_t n)
{
    return job_id(std::to_string(n));
}

tombstone_options make_options()
{
    tombstone_options out;
    out.retention = milliseconds(1'000);
    out.max_count = 6;
    out.max_count_per_team = 4;
    return out;
}

} // namespace

// Guards against a tombstone that goes before its time, or that stays.
TEST(tombstone_table, keeps_a_tombstone_for_its_retention_time)
{
    tombstone_table it(make_options());
    EXPECT_TRUE(it.add(make_id(1), team_a, at(0)));
    EXPECT_TRUE(it.take_expired(at(999)).empty());
    EXPECT_TRUE(it.contains(make_id(1)));
    EXPECT_EQ(it.take_expired(at(1'000)), std::vector{make_id(1)});
    EXPECT_FALSE(it.contains(make_id(1)));
}

// Guards against a repeated cancellation that binds for a shorter time than it
// was promised.
TEST(tombstone_table, extends_the_retention_when_the_cancel_is_repeated)
{
    tombstone_table it(make_options());
    EXPECT_TRUE(it.add(make_id(1), team_a, at(0)));
    EXPECT_TRUE(it.add(make_id(1), team_b, at(600)));
    EXPECT_EQ(it.get_count(), 1U);
    EXPECT_TRUE(it.take_expired(at(1'599)).empty());
    EXPECT_EQ(it.take_expired(at(1'600)).size(), 1U);
}

// Guards against callers that cancel arbitrary ids without end: they take
// bounded memory, and other teams can still cancel.
TEST(tombstone_table, bounds_their_number_by_team_and_in_total)
{
    tombstone_table it(make_options());
    std::size_t n = 0;
    for (; n < 4; ++n)
        EXPECT_TRUE(it.add(make_id(n), team_a, at(0)));
    EXPECT_FALSE(it.add(make_id(n), team_a, at(100)));
    EXPECT_FALSE(it.contains(make_id(n)));
    EXPECT_TRUE(it.add(make_id(0), team_a, at(100)));
    EXPECT_TRUE(it.add(make_id(10), team_b, at(100)));
    EXPECT_TRUE(it.add(make_id(11), team_b, at(100)));
    EXPECT_FALSE(it.add(make_id(12), team_b, at(100)));
    EXPECT_EQ(it.get_retry_delay(at(0)), milliseconds(1'000));
    it.take_expired(at(1'000));
    EXPECT_TRUE(it.add(make_id(n), team_a, at(1'000)));
}

// Guards against a tombstone that is lost in its row, and against the progress
// of a job that is taken for one.
TEST(tombstone_table, recognizes_its_rows)
{
    for (const char* team : {"", "a", "\"quoted\\"})
        EXPECT_EQ(
            decode_tombstone(encode_tombstone(team_id(team))), team_id(team));
    for (const char* text : {"", "{", R"({"tombstone":)", R"({"tombstone":7})",
             R"({"state":"cancelled","tombstone":"a"})",
             R"({"state":"cancelled","queue":"q","team":"tombstone"})"})
        EXPECT_FALSE(decode_tombstone(text)) << text;
}

} // namespace cowslippass
