#pragma once

#include "systems/scheduling/room_forecast.hpp"

#include <compare>
#include <span>
#include <vector>

namespace cowslippass
{

/// Work that is in time only if it is done evenly between two times, or
/// earlier: a step that starts as late as possible.
struct work_demand
{
    double core_ms = 0;
    boot_time start; ///< Latest start.
    boot_time due;
};

/// Order in which jobs of a pool are considered; the smallest first.
struct feasibility_preference
{
    std::uint32_t priority = 0; ///< Priority of the queue; 0 goes first.
    /// The work of a job that has started would be wasted.
    bool is_new = true;
    bool exceeds_share = false; ///< Beyond its team's share of submissions.
    /// Was not selected in the last round; a selection that changes often
    /// completes no job.
    bool is_newly_considered = true;
    /// Chooses among equal jobs without regard to size or age. Every
    /// coordinator draws the same one for a job.
    std::uint64_t lot = 0;

    auto operator<=>(const feasibility_preference&) const = default;
};

struct feasibility_candidate
{
    feasibility_preference preference;
    std::vector<work_demand> demands;
};

/// Jobs that can be in time together: until any time, no more work is due than
/// there is room for until then.
class feasible_set
{
public:
    explicit feasible_set(const room_forecast& room);

    /// Adds work that will be done in any case, whether there is room or not.
    void commit(std::span<const work_demand> demands);

    /// Adds a job if it can be in time and all added ones still can.
    /// @return whether it was added.
    bool try_add(std::span<const work_demand> demands);

private:
    room_forecast::totals sum_demands(
        std::span<const work_demand> demands) const;

    boot_time now_;
    room_forecast::totals slack_; ///< Room that no added work needs.
};

/// Adds jobs in the order of their preference.
/// @return for each candidate whether it was added.
std::vector<bool> select_feasible(
    feasible_set& set, std::span<const feasibility_candidate> candidates);

} // namespace cowslippass
