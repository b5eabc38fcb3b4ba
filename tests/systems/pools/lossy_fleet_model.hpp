#pragma once

#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace cowslippass
{

/// How long a task takes to start up.
constexpr std::int64_t start_up_ms = 700;
constexpr std::int64_t maintenance_ms = 2'000;
/// A task that was unavailable for this long counts against the budget.
constexpr std::int64_t notice_ms = 4'500;
constexpr std::uint32_t modelled_task_count = 10;
constexpr int instance_count = 8;

/// Model of a target with long-running tasks.
struct lossy_target_model
{
    struct run
    {
        std::uint64_t number = 0;
        std::int64_t started_at = 0;
        std::optional<std::int64_t> stops_at;
    };

    std::uint64_t fence = 0;
    std::map<task_name, run> runs;
    std::map<task_name, std::uint64_t> highest_ended;
    std::vector<end_report> ended;
    std::uint64_t last_end = 0;
};

/// Model of an instance at the platform.
struct instance_model
{
    target_id target;
    std::uint64_t fence = 0;
    bool is_maintained = false;
    std::optional<std::int64_t> back_at;
};

/// Models of the platform and of targets with the long-running tasks of one
/// step. Targets crash, and tasks fail. Counts the tasks that an order ends at
/// work while as many others of the step are unavailable as its budget allows.
class lossy_fleet_model
{
protected:
    lossy_fleet_model(unsigned seed, std::uint32_t step_budget)
        : random(seed), budget(step_budget)
    {
        for (int i = 0; i < instance_count; ++i)
            start_target(instances[instance_id("m" + std::to_string(i))]);
    }

    struct event
    {
        std::int64_t due;
        std::uint64_t term; ///< 0: takes effect in any term.
        std::function<void()> action;
    };

    bool is_chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < share;
    }

    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(random);
    }

    void after(std::int64_t ms, std::uint64_t term, std::function<void()> what)
    {
        events.push_back({now_ms + ms, term, std::move(what)});
    }

    void start_target(instance_model& it)
    {
        it.target = target_id("t" + std::to_string(++last_target));
        targets[it.target];
        if (decisions)
            list_target(it.target);
    }

    void list_target(const target_id& id)
    {
        decisions->handle_target_change(
            {id, make_report(id.get(), 4)}, at(now_ms));
    }

    void end_target(instance_model& it)
    {
        decisions->handle_target_change({it.target, std::nullopt}, at(now_ms));
        targets.erase(it.target);
        it.target = target_id();
    }

    void crash_target()
    {
        auto it = std::next(instances.begin(),
            static_cast<std::ptrdiff_t>(draw(0, instance_count - 1)));
        if (it->second.back_at || it->second.target.get().empty())
            return;
        end_target(it->second);
        it->second.back_at = now_ms + 1'000;
    }

    bool is_at_work(const lossy_target_model::run& run) const
    {
        return now_ms - run.started_at >= start_up_ms;
    }

    /// An order is about to end the run.
    void judge(const task_name& task, const lossy_target_model::run& run)
    {
        if (!is_at_work(run) || run.stops_at)
            return;
        std::uint32_t away = 0;
        for (std::uint32_t i = 0; i < modelled_task_count; ++i)
            if (i != task.key.index &&
                (ordered_away.contains(i) ||
                    now_ms - last_at_work[i] >= notice_ms))
                ++away;
        if (away >= budget)
            ++violations;
        ordered_away.insert(task.key.index);
    }

    void move_time()
    {
        for (auto& [id, target] : targets)
            for (auto it = target.runs.begin(); it != target.runs.end();)
            {
                auto& [task, run] = *it;
                bool fails = is_chance(0.002);
                if (!fails && (!run.stops_at || *run.stops_at > now_ms))
                {
                    if (is_at_work(run) && !run.stops_at)
                    {
                        last_at_work[task.key.index] = now_ms;
                        ordered_away.erase(task.key.index);
                    }
                    ++it;
                    continue;
                }
                target.highest_ended[task] = run.number;
                target.ended.push_back({++target.last_end, task,
                    run_number(run.number),
                    run.stops_at ? run_outcome::stopped : run_outcome::failed,
                    ""});
                it = target.runs.erase(it);
            }
        for (auto& [id, it] : instances)
            if (it.back_at && *it.back_at <= now_ms)
            {
                it.back_at.reset();
                start_target(it);
            }
        std::vector<event> due;
        std::erase_if(events,
            [&](event& it)
            {
                if (it.due > now_ms)
                    return false;
                due.push_back(std::move(it));
                return true;
            });
        for (event& it : due)
            if (it.term == 0 || it.term == current_term)
                it.action();
    }

    instance_order_outcome carry_out(
        const instance_id& id, std::uint64_t term, bool is_late)
    {
        instance_model& it = instances.at(id);
        if (term < it.fence)
            return instance_order_outcome::stale_fence;
        it.fence = term;
        if (it.is_maintained)
            return instance_order_outcome::accepted;
        if (it.back_at || it.target.get().empty())
            return instance_order_outcome::busy;
        // Late orders end tasks whatever this system does.
        if (!is_late)
            for (const auto& [task, run] : targets.at(it.target).runs)
                judge(task, run);
        end_target(it);
        it.is_maintained = true;
        it.back_at = now_ms + maintenance_ms;
        return instance_order_outcome::accepted;
    }

    request_outcome start(const start_decision& decision, std::uint64_t term)
    {
        auto found = targets.find(decision.target);
        if (found == targets.end())
            return request_outcome::no_answer;
        lossy_target_model& target = found->second;
        if (term < target.fence)
            return request_outcome::stale_fence;
        target.fence = term;
        std::uint64_t number = decision.run.get();
        if (auto it = target.runs.find(decision.task);
            it != target.runs.end() && it->second.number == number)
            return request_outcome::accepted;
        if (target.highest_ended[decision.task] >= number)
            return request_outcome::superseded;
        target.runs[decision.task] = {number, now_ms, std::nullopt};
        return request_outcome::accepted;
    }

    request_outcome stop(const stop_decision& decision, std::uint64_t term)
    {
        auto found = targets.find(decision.target);
        if (found == targets.end())
            return request_outcome::no_answer;
        lossy_target_model& target = found->second;
        if (term < target.fence)
            return request_outcome::stale_fence;
        target.fence = term;
        std::uint64_t number = decision.run.get();
        auto it = target.runs.find(decision.task);
        if (it == target.runs.end() || it->second.number != number)
        {
            target.highest_ended[decision.task] =
                std::max(target.highest_ended[decision.task], number);
            return request_outcome::accepted;
        }
        judge(decision.task, it->second);
        if (!it->second.stops_at)
            it->second.stops_at = now_ms + draw(50, 400);
        return request_outcome::accepted;
    }

    std::mt19937 random;
    std::uint32_t budget;
    std::int64_t now_ms = 0;
    std::vector<event> events;
    std::map<target_id, lossy_target_model> targets;
    std::map<instance_id, instance_model> instances;
    int last_target = 0;
    /// When each task was last at work.
    std::map<std::uint32_t, std::int64_t> last_at_work;
    std::set<std::uint32_t> ordered_away; ///< Ended by an order, not back yet.
    int violations = 0;

    std::uint64_t current_term = 0;
    std::unique_ptr<coordinator> decisions; ///< Of the current term.
};

} // namespace cowslippass
