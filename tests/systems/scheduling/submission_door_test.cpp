#include "systems/scheduling/submission_door.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cowslippass
{

namespace
{

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

submission_prospect make_prospect(double core_ms_ahead)
{
    submission_prospect out;
    out.core_ms_ahead = core_ms_ahead;
    out.core_ms = 1'000;
    out.time_allowed = milliseconds(2'000);
    return out;
}

room_forecast make_room(double cores)
{
    room_forecast out(at(0));
    out.add(cores, at(0));
    return out;
}

} // namespace

// A backlog that lasts until the time in which a late job still helps: jobs
// behind it are accepted up to that time and not after it.
TEST(submission_door, refuses_what_cannot_even_be_late)
{
    EXPECT_FALSE(decide_refusal(make_room(10), make_prospect(0)));
    EXPECT_FALSE(decide_refusal(make_room(10), make_prospect(59'000)));
    EXPECT_TRUE(decide_refusal(make_room(10), make_prospect(62'000)));
    EXPECT_TRUE(decide_refusal(make_room(0), make_prospect(0)));
}

// Many callers are refused in the same second: they return over a time as long
// as the backlog, not together.
TEST(submission_door, spreads_returning_callers)
{
    submission_prospect prospect = make_prospect(70'000);
    std::set<std::int64_t> seconds;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        prospect.lot = i * 7'919;
        auto delay = decide_refusal(make_room(10), prospect);
        ASSERT_TRUE(delay);
        EXPECT_GE(*delay, milliseconds(5'000));
        EXPECT_LE(*delay, milliseconds(11'000));
        seconds.insert(delay->count() / 1'000);
    }
    EXPECT_GE(seconds.size(), 5U);
}

} // namespace cowslippass
