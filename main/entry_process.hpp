#pragma once

#include "drivers/drivers.hpp"
#include "systems/start_policy.hpp"

namespace cowslippass
{

/// Runs an entry until SIGTERM has led to a planned stop. Prints the lines
/// `http IP:port` and `peer IP:port` once it listens.
/// When others have ended the session of this entry, for instance during a
/// long pause, the process stops as planned and then replaces its own image:
/// a session is never reused, and the diskless entry keeps nothing else.
/// @param policy outlives the call.
/// @return the exit status of the process. Pending coroutines refer to what
///   has been destroyed by then, so that the caller ends with `std::_Exit`.
/// @throws platform_error (`cannot_listen`).
/// @throws std::system_error when the image cannot be replaced.
int run_entry_process(settings config, const start_policy& policy);

} // namespace cowslippass
