#include "systems/scheduling/room_forecast.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

} // namespace

// Free cores, a run that ends and an instance that arrives: the capacity until
// a time counts each from when it is there.
TEST(room_forecast, counts_cores_from_when_they_are_free)
{
    room_forecast it(at(1'000));
    it.add(2, at(0));
    it.add(1, at(1'250));
    it.add(4, at(2'000));
    auto totals = it.get_totals();
    EXPECT_DOUBLE_EQ(totals[0], 200);
    EXPECT_DOUBLE_EQ(totals[1], 400);
    EXPECT_DOUBLE_EQ(totals[2], 650);
    EXPECT_DOUBLE_EQ(totals[19], 2 * 2'000 + 1'750 + 4 * 1'000);
}

// A backlog within and beyond the horizon, and one that is never served.
TEST(room_forecast, finds_when_there_was_room_for_some_work)
{
    room_forecast it(at(0));
    EXPECT_FALSE(it.find_time(1));
    it.add(10, at(0));
    EXPECT_EQ(it.find_time(20'000), milliseconds(2'000));
    EXPECT_EQ(it.find_time(200'000), milliseconds(20'000));
}

// What long-running tasks will hold is taken from the room.
TEST(room_forecast, long_running_tasks_take_room)
{
    room_forecast it(at(0));
    it.add(10, at(0));
    it.add(-4, at(0));
    EXPECT_DOUBLE_EQ(it.get_totals()[9], 6'000);
}

} // namespace cowslippass
