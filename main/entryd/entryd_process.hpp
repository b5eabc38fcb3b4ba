#pragma once

#include "drivers/metrics.hpp"
#include "main/entryd/entry_settings.hpp"

#include <vector>

namespace cowslippass
{

/// @return the descriptions of all metrics of an entry.
std::vector<metric_description> get_entryd_metrics();

/// Runs an entry until SIGTERM has led to a planned stop.
/// @param path settings file, which is read again on SIGHUP.
/// @param settings the content of that file.
/// @return the exit status.
int run_entryd(const std::string& path, entry_settings settings);

} // namespace cowslippass
