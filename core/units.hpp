#pragma once

#include "core/strong_id.hpp"

#include <chrono>
#include <cstdint>

namespace cowslippass
{

/// Time of the local clock that never goes back; not comparable between
/// processes.
using monotonic_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Time of a target's own monotonic clock, in milliseconds.
using target_time = strong_id<struct target_time_tag, std::int64_t>;

/// Time of another entry's boot clock, in milliseconds.
using relay_time = strong_id<struct relay_time_tag, std::int64_t>;

/// Time of the platform's clock in Unix milliseconds; 0 when it is not known.
using platform_time = strong_id<struct platform_time_tag, std::int64_t>;

using slot_count = strong_id<struct slot_count_tag, std::uint32_t>;
using task_count = strong_id<struct task_count_tag, std::uint32_t>;
using byte_count = strong_id<struct byte_count_tag, std::uint64_t>;

} // namespace cowslippass
