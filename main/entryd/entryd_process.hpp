#pragma once

#include "drivers/metrics.hpp"
#include "main/entryd/entry_settings.hpp"

#include <vector>

namespace cowslippass
{

/// @return the metrics that an entry declares: their one registration point.
std::vector<metric_description> get_entryd_metrics();

/// Runs an entry until SIGTERM.
/// @param path of the settings, read again on SIGHUP.
/// @return the exit status.
int run_entryd(const std::string& path, entry_settings settings);

} // namespace cowslippass
