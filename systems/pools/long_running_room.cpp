#include "systems/pools/long_running_room.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

bool is_same_step(const task_name& left, const task_name& right)
{
    return left.job == right.job && left.key.step == right.key.step &&
           left.key.occurrence == right.key.occurrence;
}

/// @return how many of the step's tasks run at the target.
std::uint32_t count_tasks(const target_entry& target, const task_name& task)
{
    return static_cast<std::uint32_t>(std::ranges::count_if(target.runs,
        [&](const task_name& it) { return is_same_step(it, task); }));
}

/// @return how many tasks of the step have no run, or one that has to stop, at
///   other targets than this one.
std::uint32_t count_away(const coordinator& decisions, const task_name& task,
    const step_spec& step, const target_entry& target)
{
    std::uint32_t n = 0;
    for (std::uint32_t i = 0; i < step.task_count; ++i)
    {
        auto it = decisions.get_runs().find(
            {task.job, {task.key.occurrence, task.key.step, i}});
        if (it == decisions.get_runs().end() ||
            (it->second.must_stop && it->second.target != target.report.target))
            ++n;
    }
    return n;
}

bool may_run(const target_entry& target, const step_spec& step)
{
    return step.required_label.empty() || target.has_label(step.required_label);
}

} // namespace

std::vector<displaced_tasks> list_displaced_tasks(
    const coordinator& decisions, const target_entry& target)
{
    std::vector<displaced_tasks> out;
    const task_name* last = nullptr;
    for (const task_name& task : target.runs)
    {
        const job* owner = decisions.find_job(task.job);
        bool is_counted = last && is_same_step(*last, task);
        last = &task;
        if (is_counted || !owner || !owner->get_step(task.key).is_long_running)
            continue;
        const step_spec& step = owner->get_step(task.key);
        std::uint32_t unavailable = count_tasks(target, task) +
                                    count_away(decisions, task, step, target);
        std::uint32_t budget = step.get_interruption_budget();
        if (unavailable > budget)
            out.push_back({task, &step, unavailable - budget});
    }
    return out;
}

bool may_run_beside(
    const target_entry& target, const task_name& task, const step_spec& step)
{
    return may_run(target, step) &&
           target.get_free().holds(step.get_counted_need()) &&
           (step.max_per_target == 0 ||
               count_tasks(target, task) < step.max_per_target);
}

void long_running_room::add_target(const target_entry& target)
{
    places_.push_back({&target, target.report.capacity - target.long_running});
}

void long_running_room::add_spare(const resources& capacity)
{
    places_.push_back({nullptr, capacity});
}

bool long_running_room::reserve_at(
    std::vector<place>& places, const displaced_tasks& tasks)
{
    resources need = tasks.step->get_counted_need();
    std::uint32_t left = tasks.count;
    for (place& it : places)
    {
        if (left == 0)
            break;
        if (it.target && !may_run(*it.target, *tasks.step))
            continue;
        std::uint32_t limit = tasks.step->max_per_target;
        std::uint32_t here =
            it.target && limit > 0 ? count_tasks(*it.target, tasks.first) : 0;
        for (; left > 0 && it.free.holds(need) && (limit == 0 || here < limit);
             ++here, --left)
            it.free -= need;
    }
    return left == 0;
}

void long_running_room::reserve_some(const displaced_tasks& tasks)
{
    reserve_at(places_, tasks);
}

bool long_running_room::reserve(const std::vector<displaced_tasks>& tasks)
{
    std::vector<place> places = places_;
    for (const displaced_tasks& it : tasks)
        if (!reserve_at(places, it))
            return false;
    places_ = std::move(places);
    return true;
}

} // namespace cowslippass
