#include "drivers/platform_clock.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

// Guards against rows with wrong timestamps: from a clock that has seen no
// `Date` header yet, or from one that a malformed header has set.
TEST(platform_clock, time_advances_from_the_last_well_formed_date)
{
    platform_clock clock;
    monotonic_time received{};
    EXPECT_EQ(clock.get_time(received), platform_time());
    clock.update_from_date("Sun, 06 Nov 1994 08:49:37 GMT", received);
    clock.update_from_date("", received + milliseconds(50));
    clock.update_from_date("1994-11-06", received + milliseconds(50));
    EXPECT_EQ(clock.get_time(received + milliseconds(250)),
        platform_time(784'111'777'250));
}

} // namespace cowslippass
