#pragma once

#include "core/boot_clock.hpp"
#include "core/units.hpp"
#include "drivers/asio.hpp"

namespace cowslippass
{

/// Measures for how long the event loop has not run, because the process was
/// paused, its machine suspended, or other work took the processor. What a
/// socket delivers after that may have waited in the kernel all the while.
class loop_delay_meter
{
public:
    /// Time between two measurements, each of which wakes the process. Shorter
    /// delays may go unnoticed, and a delay is overestimated by this at most.
    static constexpr milliseconds interval{1'000};
    /// Delays up to this count as none.
    static constexpr milliseconds tolerance{100};

    /// After a delay, what waited meanwhile is read within this time.
    static constexpr milliseconds catch_up_time{250};

    explicit loop_delay_meter(asio::io_context& io);

    /// Measures until the process ends.
    asio::awaitable<void> run();

    /// @return upper bound on the time for which bytes that are read at `now`
    ///   have waited for the process; 0 if it ran all the while.
    milliseconds get_delay(boot_time now) const;

private:
    asio::steady_timer timer_;
    boot_time last_run_at_; ///< Of the last measurement.
    milliseconds last_delay_{0};
    boot_time last_delay_end_{};
};

} // namespace cowslippass
