#pragma once

#include "core/units.hpp"

namespace cowslippass
{

/// Longest time since the fleet log version in hand was known to be the
/// newest for which an entry may still act on it.
constexpr milliseconds freshness_limit{4000};

/// Furthest that the deadline of a start lies ahead on the target's clock.
constexpr milliseconds start_deadline{2000};

/// A task whose lease is not renewed for this long is stopped by its target.
constexpr milliseconds task_lease{10000};

/// Ended tasks are kept by their target for this long.
constexpr milliseconds ended_task_retention{600000};

} // namespace cowslippass
