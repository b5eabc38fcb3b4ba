#pragma once

#include "core/core.hpp"

#include <array>
#include <optional>

namespace cowslippass
{

/// Processor capacity of one pool that waiting tasks can use from now on:
/// cores that are free now, and those that become free when a run ends or a
/// target arrives. What long-running tasks hold is left out.
class room_forecast
{
public:
    /// Resolution of the forecast; run times are a second or more.
    static constexpr milliseconds bucket_length{100};
    /// The forecast is exact for this many buckets. After them, the capacity of
    /// the last one goes on.
    static constexpr std::size_t bucket_count = 80;

    /// Core-milliseconds that are available until the end of each bucket.
    using totals = std::array<double, bucket_count>;

    explicit room_forecast(boot_time now = {}) : now_(now) {}

    /// Adds cores that are free from a time on.
    /// @param cores negative for capacity that will be taken.
    void add(double cores, boot_time from);

    /// Takes into account everything that was added.
    totals get_totals() const;

    /// @return how long after the time of the forecast it has had room for this
    ///   many core-milliseconds; nothing if that is never the case.
    std::optional<milliseconds> find_time(double core_ms) const;

    boot_time get_time() const { return now_; }

private:
    boot_time now_;
    // Cores that become free in each bucket, and the core-milliseconds that
    // they miss because they were not free from the start.
    std::array<double, bucket_count> cores_{};
    std::array<double, bucket_count> missed_{};
};

} // namespace cowslippass
