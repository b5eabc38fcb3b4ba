#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/scheduling/room_forecast.hpp"

#include <map>

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
    struct backlog
    {
        double within_shares = 0;
        double beyond_shares = 0;
    };
    std::map<std::uint32_t, backlog> backlogs; ///< By priority of the queue.
    boot_time changed_at{}; ///< When `is_overloaded` changed.
};

/// What the last evaluation of a job's pool found about the job.
struct job_feasibility
{
    /// Cannot be in time together with others; see feasible_set.
    bool is_left_out = false;
    /// Cannot be in time even if it had all the room.
    bool is_hopeless = false;
    bool is_selected = false; ///< Was added to the feasible set.
    /// Not set before the first evaluation of an overload.
    boot_time evaluated_at{};
};

/// A pool has become unable to serve all waiting jobs in time, or able again.
struct overload_change
{
    pool_id pool;
    overload_state state;
    milliseconds lasted{0}; ///< How long the former state held.
};

} // namespace cowslippass
