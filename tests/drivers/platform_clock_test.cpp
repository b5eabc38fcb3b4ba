#include "drivers/platform_clock.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

// Guards against rows that are dated by a clock that was never told, or that
// a malformed header sets.
TEST(platform_clock, time_goes_on_from_the_last_date_that_is_well_formed)
{
    platform_clock clock;
    monotonic_time received{};
    EXPECT_EQ(clock.get_time(received), platform_time());
    clock.note_date("Sun, 06 Nov 1994 08:49:37 GMT", received);
    clock.note_date("", received + milliseconds(50));
    clock.note_date("1994-11-06", received + milliseconds(50));
    EXPECT_EQ(clock.get_time(received + milliseconds(250)),
        platform_time(784'111'777'250));
}

} // namespace cowslippass
