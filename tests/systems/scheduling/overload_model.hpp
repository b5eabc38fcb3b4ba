#pragma once

#include "systems/scheduling/feasible_set.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <tuple>
#include <vector>

namespace cowslippass
{

/// A chain of steps in the model of an overloaded pool.
struct model_job
{
    struct step
    {
        int tasks = 0; ///< Of one core each.
        std::int64_t run_time = 0;
        std::int64_t expected = 0; ///< Expected run time.
        int started = 0;
        int ended = 0;

        bool is_done() const { return ended == tasks; }
    };

    std::size_t number = 0;
    std::int64_t arrival = 0; ///< All times in milliseconds.
    std::int64_t deadline = 0;
    bool exceeds_share = false;
    std::vector<step> steps;

    bool is_selected = false;
    std::int64_t ended_at = 0;

    double get_work() const
    {
        double out = 0;
        for (const step& it : steps)
            out += double(it.tasks) * double(it.run_time);
        return out;
    }
    bool has_started() const { return steps[0].started > 0; }
    bool is_done() const { return steps.back().is_done(); }
    bool is_in_time() const { return is_done() && ended_at <= deadline; }
    /// @return whether its caller still has a use for it.
    bool is_served() const
    {
        return is_done() && ended_at <= arrival + 3 * (deadline - arrival);
    }
    step* find_open()
    {
        auto it = std::ranges::find_if_not(steps, &step::is_done);
        return it == steps.end() ? nullptr : &*it;
    }
    /// @return the expected time of the steps that are not done.
    std::int64_t get_path() const
    {
        std::int64_t out = 0;
        for (const step& it : steps)
            out += it.is_done() ? 0 : it.expected;
        return out;
    }
};

enum class model_strategy
{
    deadline_alone,    ///< A job is late once its deadline has passed.
    earliest_deadline, ///< A job is late once its own path is too long.
    shares_only,       ///< Jobs within their share first, else by arrival.
    feasible_jobs,     ///< Those of the feasible set first.
};

/// One pool of equal cores that serves jobs by one strategy, without network,
/// targets or ledger.
class overloaded_pool
{
public:
    overloaded_pool(int cores, model_strategy strategy)
        : cores_(cores), strategy_(strategy)
    {
    }

    /// Runs all jobs and records when they ended.
    void run(std::vector<model_job>& jobs)
    {
        constexpr std::int64_t tick = 20;
        constexpr std::int64_t selection_interval = 100;
        auto is_done = [](const model_job& it) { return it.is_done(); };
        for (std::int64_t now = 0; !std::ranges::all_of(jobs, is_done);
             now += tick)
        {
            end_runs(now);
            std::vector<model_job*> waiting;
            std::vector<model_job*> busy;
            for (model_job& it : jobs)
                if (it.arrival <= now && !it.is_done())
                    (it.find_open()->started < it.find_open()->tasks ? waiting
                                                                     : busy)
                        .push_back(&it);
            if (strategy_ == model_strategy::feasible_jobs &&
                now % selection_interval == 0)
                select(waiting, busy, now);
            std::ranges::sort(waiting, {},
                [&](const model_job* it) { return rank(*it, now); });
            for (model_job* it : waiting)
                for (model_job::step* open = it->find_open();
                     open->started < open->tasks && count_free() > 0;
                     ++open->started)
                    running_.emplace(now + open->run_time, it);
        }
    }

private:
    using key = std::tuple<bool, bool, bool, bool, std::int64_t, std::size_t>;

    void end_runs(std::int64_t now)
    {
        while (!running_.empty() && running_.begin()->first <= now)
        {
            model_job& it = *running_.begin()->second;
            ++it.find_open()->ended;
            it.ended_at = running_.begin()->first;
            running_.erase(running_.begin());
        }
    }

    int count_free() const
    {
        return cores_ - static_cast<int>(running_.size());
    }

    static boot_time at_ms(std::int64_t ms)
    {
        return boot_time(milliseconds(ms));
    }

    /// @return a sort key; the smallest starts first.
    key rank(const model_job& it, std::int64_t now) const
    {
        bool is_late = now + it.get_path() > it.deadline;
        bool is_new = !it.has_started();
        switch (strategy_)
        {
        case model_strategy::deadline_alone:
            return {now > it.deadline, false, it.exceeds_share, is_new,
                it.deadline, it.number};
        case model_strategy::earliest_deadline:
            return {is_late, false, it.exceeds_share, is_new, it.deadline,
                it.number};
        case model_strategy::shares_only:
            return {
                it.exceeds_share, false, false, is_new, it.arrival, it.number};
        case model_strategy::feasible_jobs:
            break;
        }
        return {is_late, !it.is_selected, it.exceeds_share, is_new, it.deadline,
            it.number};
    }

    std::vector<work_demand> list_demands(const model_job& it) const
    {
        std::vector<work_demand> out;
        std::int64_t due = it.deadline;
        for (std::size_t i = it.steps.size(); i-- > 0;)
        {
            const model_job::step& step = it.steps[i];
            if (step.is_done())
                continue;
            if (step.started < step.tasks)
                out.push_back(
                    {double(step.tasks - step.started) * double(step.expected),
                        at_ms(due - step.expected), at_ms(due)});
            due -= step.expected;
        }
        return out;
    }

    void select(const std::vector<model_job*>& waiting,
        const std::vector<model_job*>& busy, std::int64_t now)
    {
        room_forecast room(at_ms(now));
        room.add(count_free(), at_ms(now));
        for (const auto& [end, it] : running_)
            room.add(1, at_ms(end));
        feasible_set set(room);
        for (const model_job* it : busy)
            set.commit(list_demands(*it));
        std::vector<feasibility_candidate> candidates;
        for (const model_job* it : waiting)
        {
            std::mt19937_64 lot(it->number);
            candidates.push_back({{0, !it->has_started(), it->exceeds_share,
                                      !it->is_selected, lot()},
                list_demands(*it)});
        }
        std::vector<bool> is_selected = select_feasible(set, candidates);
        for (std::size_t i = 0; i < waiting.size(); ++i)
            waiting[i]->is_selected = is_selected[i];
    }

    int cores_;
    model_strategy strategy_;
    std::multimap<std::int64_t, model_job*> running_;
};

} // namespace cowslippass
