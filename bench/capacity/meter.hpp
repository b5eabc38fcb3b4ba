#pragma once

#include "tests/integration/test_fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cowslippass
{

/// What a cluster used in one window. Byte rates count payload bytes in both
/// directions, without TCP and IP headers.
struct window_rates
{
    double seconds = 0;
    std::size_t entries = 0;
    /// Mean of the entries from utime + stime, which has steps of 10 ms.
    double cpu_percent = 0;
    /// The same from /proc/<pid>/schedstat, in nanoseconds.
    double fine_cpu_percent = 0;
    std::vector<double> entry_cpu_percents; ///< From schedstat.
    double rss_mb = 0;                      ///< Mean of the entries.
    double largest_rss_mb = 0;
    /// Bytes a second of one entry, as the mean. A byte of a peer link counts
    /// for both of its entries.
    double peer_bytes = 0;
    double platform_bytes = 0;
    double target_bytes = 0;
    /// Of the platform, a second.
    double row_reads = 0;
    double scans = 0;
    double row_writes = 0;
    double transactions = 0;
};

/// Measures the cluster while `load` runs, and for at least `least`.
window_rates measure_window(
    test_fleet& fleet, milliseconds least,
    const std::function<void()>& load = [] {});

/// Least squares over points (x, y).
struct line
{
    double slope = 0;
    double base = 0;
};

line fit_line(const std::vector<std::pair<double, double>>& points);

} // namespace cowslippass
