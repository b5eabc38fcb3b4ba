#pragma once

#include "systems/scheduling/target_table.hpp"

#include <compare>

namespace cowslippass
{

/// How well a task fits a target: the smaller, the better.
struct target_fit
{
    /// The target becomes empty when its short tasks have ended, so that its
    /// instance could leave the pool. Targets with long-running tasks stay
    /// anyway: work beside these costs no instance.
    bool can_empty = false;
    /// Share of the target that stays free in the resource that the task makes
    /// scarcest, in thousandths. Large free places are kept whole for large
    /// tasks.
    std::int64_t free_share = 0;

    auto operator<=>(const target_fit&) const = default;
};

/// @param free capacity of the target that is free, without the task.
/// @param need of the task; the target has to hold it.
target_fit measure_fit(
    const target_entry& target, const resources& free, const resources& need);

} // namespace cowslippass
