#pragma once

#include <chrono>

#include <time.h>

namespace cowslippass
{

/// A monotonic clock that also counts the time in which the machine was
/// suspended. It measures leases that other processes grant on their own
/// clocks, as those leases also run out during a suspension.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    }
};

using boot_time = boot_clock::time_point;

} // namespace cowslippass
