#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/scheduling/room_forecast.hpp"

namespace cowslippass
{

/// What the last evaluation of a pool's waiting jobs found. It is derived from
/// the jobs and targets, so that a successor needs nothing of it.
struct overload_state
{
    boot_time evaluated_at{};
    /// Some waiting jobs cannot be in time.
    bool is_overloaded = false;
    /// Enough targets have reported for the forecast to be complete.
    bool is_room_known = false;
    room_forecast room;
    /// Cores that are free in all other pools, and may move to this one.
    double free_elsewhere = 0;
    std::size_t selected = 0; ///< Jobs that can be in time together.
    std::size_t left_out = 0;
    /// Remaining work of jobs that are not overdue, in core-milliseconds.
    double core_ms_within_shares = 0;
    double core_ms_beyond_shares = 0;
    boot_time changed_at{}; ///< When `is_overloaded` changed.
};

/// A pool has become unable to serve all waiting jobs in time, or able again.
struct overload_change
{
    pool_id pool;
    overload_state state;
    milliseconds lasted{0}; ///< How long the former state held.
};

} // namespace cowslippass
