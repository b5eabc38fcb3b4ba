#pragma once

#include "core/units.hpp"
#include "drivers/metrics.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cowslippass
{

/// Name of the counter of connections that a server refused or closed.
inline constexpr const char* refused_connections_metric =
    "cowslippass_refused_connections_total";

/// Counts the connections that a server refuses or closes because of what its
/// callers send, by cause, and logs them at a bounded rate.
class refusal_reporter
{
public:
    explicit refusal_reporter(metrics_registry& metrics) : metrics_(metrics) {}

    void report(std::string_view cause);

private:
    metrics_registry& metrics_;
    monotonic_time next_line_{};
    std::uint64_t unreported_ = 0; ///< Refusals since the last line.
};

/// @return the description of the counter, for the metrics of a daemon.
metric_description get_refusal_metric();

} // namespace cowslippass
