#pragma once

#include "core/units.hpp"

namespace cowslippass
{

/// An entry may act on its version of the fleet log for this long after it last
/// knew that version to be the newest.
constexpr milliseconds freshness_limit{4000};

/// Maximum time between sending a start request and the deadline that it
/// carries; the deadline is a time on the target's clock.
constexpr milliseconds start_deadline{2000};

/// A target stops a task whose lease has not been renewed for this long.
constexpr milliseconds task_lease{10000};

/// A target keeps ended tasks for this long.
constexpr milliseconds ended_task_retention{600000};

} // namespace cowslippass
