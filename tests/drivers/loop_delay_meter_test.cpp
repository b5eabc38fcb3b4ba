#include "drivers/loop_delay_meter.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace cowslippass
{

namespace
{

/// Runs the loop with a meter, pauses it, and runs it on.
/// @return the delay just after the pause, as the loop's first handler sees it,
///   and after the given time.
std::pair<milliseconds, milliseconds> measure(
    milliseconds pause, milliseconds after)
{
    asio::io_context io;
    loop_delay_meter meter(io);
    asio::co_spawn(io, meter.run(), asio::detached);
    io.run_for(milliseconds(300));
    EXPECT_EQ(meter.get_delay(boot_clock::now()), milliseconds(0));
    std::this_thread::sleep_for(pause);
    milliseconds first = meter.get_delay(boot_clock::now());
    io.run_for(after);
    return {first, meter.get_delay(boot_clock::now())};
}

} // namespace

// Guards against a pause that is measured as shorter than it was, so that a
// request which waited all the while counts as new.
TEST(loop_delay_meter, measures_at_least_the_pause)
{
    auto [first, later] = measure(milliseconds(1'500), milliseconds(100));
    EXPECT_GE(first, milliseconds(1'500));
    EXPECT_LE(first, milliseconds(1'500) + loop_delay_meter::interval +
                         loop_delay_meter::tolerance);
    EXPECT_GE(later, first);
}

// Guards against requests that count as old long after a pause.
TEST(loop_delay_meter, forgets_a_pause_that_has_been_made_up_for)
{
    auto [first, later] = measure(milliseconds(1'500), milliseconds(600));
    EXPECT_GE(first, milliseconds(1'500));
    EXPECT_EQ(later, milliseconds(0));
}

// Guards against an idle loop that counts as paused.
TEST(loop_delay_meter, measures_no_delay_while_the_loop_is_idle)
{
    auto [first, later] = measure(milliseconds(0), milliseconds(2'500));
    EXPECT_EQ(first, milliseconds(0));
    EXPECT_EQ(later, milliseconds(0));
}

} // namespace cowslippass
