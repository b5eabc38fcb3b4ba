#pragma once

#include "main/entryd/entry_settings.hpp"

namespace cowslippass
{

/// Runs an entry until SIGTERM.
/// @param path of the settings, read again on SIGHUP.
/// @return the exit status.
int run_entryd(const std::string& path, entry_settings settings);

} // namespace cowslippass
