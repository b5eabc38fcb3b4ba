#pragma once

#include "core/units.hpp"

#include <chrono>

namespace cowslippass
{

/// @return the current Unix time in milliseconds, for times that are stored in
///   rows. Adjustments of the system clock can make it jump.
inline platform_time get_wall_time()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return platform_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace cowslippass
