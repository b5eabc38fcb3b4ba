#pragma once

#include "systems/scheduling/coordinator.hpp"

#include <vector>

namespace cowslippass
{

/// Long-running tasks of one step that need a place at other targets.
struct displaced_tasks
{
    task_name first; ///< One of them; the others differ in their index.
    const step_spec* step = nullptr;
    std::uint32_t count = 0;
};

/// @return the tasks that have to run elsewhere before the last ones at the
///   target can be interrupted within the budgets of their steps.
std::vector<displaced_tasks> list_displaced_tasks(
    const coordinator& decisions, const target_entry& target);

/// @return whether the target has capacity for the task beside its runs, and
///   the step's label and limit allow it.
bool may_run_beside(
    const target_entry& target, const task_name& task, const step_spec& step);

/// Room for long-running tasks on targets of one pool: what remains beside the
/// long-running tasks there, once all other tasks have ended.
class long_running_room
{
public:
    void add_target(const target_entry& target);
    /// Adds the capacity of an instance that can join the pool.
    void add_spare(const resources& capacity);

    /// Reserves a place for each of the tasks.
    /// @return whether there is one for each; if not, nothing is reserved.
    bool reserve(const std::vector<displaced_tasks>& tasks);

    /// Reserves places for as many of the tasks as there are.
    void reserve_some(const displaced_tasks& tasks);

private:
    struct place
    {
        const target_entry* target = nullptr; ///< Null for a spare instance.
        resources free;
    };

    /// @return whether there is a place for each task.
    static bool reserve_at(
        std::vector<place>& places, const displaced_tasks& tasks);

    std::vector<place> places_;
};

} // namespace cowslippass
