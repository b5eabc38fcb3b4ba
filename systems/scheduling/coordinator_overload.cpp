#include "core/core.hpp"
#include "systems/scheduling/coordinator.hpp"
#include "systems/scheduling/submission_door.hpp"

#include <algorithm>
#include <ranges>

namespace cowslippass
{

namespace
{

/// Time between evaluations of a pool; short against the slack of a job, which
/// is a second or more, and long enough for a slow processor.
constexpr milliseconds evaluation_interval{100};
/// Time from the decision to start a task until the target runs it: the row is
/// stored first.
constexpr milliseconds start_time{50};
/// Run times scatter by about this part around their forecast. A started job
/// that is late by less is not given up, and a run that takes longer than
/// expected is expected to end after this part of its run time.
constexpr int scatter_divisor = 4;
/// An older evaluation refuses no submission.
constexpr milliseconds max_evaluation_age{500};

bool is_timed(const job_spec& spec)
{
    return spec.repeat_count == 0 &&
           !std::ranges::any_of(spec.steps, &step_spec::is_long_running);
}

double get_cores(const resources& need)
{
    return static_cast<double>(need.processor) / 1'000.0;
}

double sum_work(std::span<const work_demand> demands)
{
    double out = 0;
    for (const work_demand& it : demands)
        out += it.core_ms;
    return out;
}

/// @return cores of the target that tasks of this need can use.
double get_usable_cores(const resources& free, const resources& need)
{
    if (need.processor <= 0)
        return 0;
    std::int64_t places = free.processor / need.processor;
    if (need.memory > 0)
        places = std::min(places, free.memory / need.memory);
    if (need.accelerators > 0)
        places = std::min(places, free.accelerators / need.accelerators);
    return static_cast<double>(std::max<std::int64_t>(0, places)) *
           get_cores(need);
}

} // namespace

std::vector<work_demand> coordinator::list_demands(const job_entry& entry) const
{
    const job_spec& spec = entry.value.get_spec();
    boot_time deadline = entry.accepted_at + entry.time_allowed;
    std::vector<boot_time> due(spec.steps.size(), deadline);
    std::vector<std::uint32_t> waiting(spec.steps.size(), 0);
    for (const task_key& key : entry.waiting)
        ++waiting[key.step];
    std::vector<work_demand> out;
    for (std::size_t i = spec.steps.size(); i-- > 0;)
    {
        const step_spec& step = spec.steps[i];
        if (entry.value.is_step_done(0, static_cast<std::uint32_t>(i)))
            continue;
        boot_time start = due[i] - entry.run_times[i] - start_time;
        for (std::uint32_t before : step.after)
            due[before] = std::min(due[before], start);
        bool is_open = std::ranges::all_of(step.after,
            [&](std::uint32_t it) { return entry.value.is_step_done(0, it); });
        std::uint32_t tasks = is_open ? waiting[i] : step.task_count;
        if (tasks > 0)
            out.push_back({get_cores(step.get_counted_need()) * tasks *
                               static_cast<double>(entry.run_times[i].count()),
                start, due[i]});
    }
    return out;
}

room_forecast coordinator::forecast_room(const pool_id& pool,
    const resources& need, boot_time now, std::vector<job_entry*>& started)
{
    room_forecast out(now);
    for (const auto& [id, target] : targets_)
    {
        if (target.report.pool != pool || !target.is_eligible(now))
            continue;
        out.add(get_usable_cores(target.get_free(), need), now);
        job_entry* owner = nullptr;
        for (const task_name& name : target.runs)
        {
            if (!owner || owner->value.get_id() != name.job)
                owner = find_entry(name.job);
            auto run = runs_.find(name);
            if (!owner || run == runs_.end() || run->second.is_long_running)
                continue;
            const step_spec& step = owner->value.get_step(name.key);
            milliseconds run_time = owner->run_times.empty()
                                        ? step.estimate
                                        : owner->run_times[name.key.step];
            boot_time end =
                run->second.confirmed_at.value_or(run->second.assigned_at) +
                run_time;
            out.add(get_cores(run->second.need),
                std::max(end, now + run_time / scatter_divisor));
            if (owner->evaluated_at == now)
                continue;
            owner->evaluated_at = now;
            started.push_back(owner);
        }
    }
    return out;
}

void coordinator::evaluate_pool(const pool_id& pool, overload_state& state,
    const std::vector<job_entry*>& waiting, boot_time now)
{
    resources sum;
    std::int64_t tasks = 0;
    for (const job_entry* it : waiting)
        for (const task_key& key : it->waiting)
        {
            sum += it->value.get_step(key).get_counted_need();
            ++tasks;
        }
    tasks = std::max<std::int64_t>(tasks, 1);
    resources mean{
        sum.processor / tasks, sum.memory / tasks, sum.accelerators / tasks};
    std::vector<job_entry*> started;
    state.room = forecast_room(pool, mean, now, started);
    state.core_ms_within_shares = 0;
    state.core_ms_beyond_shares = 0;
    auto add_work = [&](const job_entry& it, double core_ms)
    {
        (it.exceeds_share ? state.core_ms_beyond_shares
                          : state.core_ms_within_shares) += core_ms;
    };

    std::vector<feasibility_candidate> candidates;
    std::vector<job_entry*> entries;
    std::vector<work_demand> committed;
    for (job_entry* it : waiting)
    {
        it->evaluated_at = now;
        if (it->is_over_limit)
            continue;
        if (!is_timed(it->value.get_spec()))
        {
            for (const task_key& key : it->waiting)
            {
                const step_spec& step = it->value.get_step(key);
                double cores = get_cores(step.get_counted_need());
                milliseconds run_time = it->run_times[key.step];
                if (step.is_long_running)
                    state.room.add(-cores, now);
                else
                    committed.push_back(
                        {cores * static_cast<double>(run_time.count()), now,
                            now + run_time});
            }
            continue;
        }
        if (now > it->accepted_at + it->time_allowed * overdue_factor)
            continue;
        feasibility_candidate candidate;
        bool is_new = !it->value.has_assignments();
        candidate.preference = {it->queue->priority, is_new, it->exceeds_share,
            !it->is_selected, hash_64(it->value.get_id().get())};
        candidate.demands = list_demands(*it);
        add_work(*it, sum_work(candidate.demands));
        if (!is_new)
            for (work_demand& demand : candidate.demands)
                if (demand.start < now)
                {
                    milliseconds scatter =
                        std::chrono::duration_cast<milliseconds>(
                            demand.due - demand.start) /
                        scatter_divisor;
                    demand.due += scatter;
                    demand.start = std::max(
                        demand.start, std::min(now, demand.start + scatter));
                }
        candidates.push_back(std::move(candidate));
        entries.push_back(it);
    }
    // Started jobs of which nothing waits go on with their next step.
    for (job_entry* it : started)
    {
        if (!it->waiting.empty() || it->value.is_ended() ||
            it->run_times.empty() || !is_timed(it->value.get_spec()))
            continue;
        std::vector<work_demand> demands = list_demands(*it);
        add_work(*it, sum_work(demands));
        committed.insert(committed.end(), demands.begin(), demands.end());
    }

    feasible_set set(state.room);
    set.commit(committed);
    std::vector<bool> is_selected = select_feasible(set, candidates);
    state.selected = 0;
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        entries[i]->is_selected = is_selected[i];
        entries[i]->is_left_out = !is_selected[i];
        entries[i]->is_hopeless = std::ranges::any_of(candidates[i].demands,
            [&](const work_demand& it) { return it.start < now; });
        state.selected += is_selected[i];
    }
    state.left_out = entries.size() - state.selected;
}

void coordinator::select_feasible_jobs(
    const std::vector<job_entry*>& waiting, boot_time now)
{
    std::map<pool_id, std::vector<job_entry*>> by_pool;
    std::map<pool_id, std::int64_t> needed;
    for (job_entry* it : waiting)
    {
        if (!it->queue)
            continue;
        by_pool[it->queue->pool].push_back(it);
        for (const task_key& key : it->waiting)
            needed[it->queue->pool] +=
                it->value.get_step(key).get_counted_need().processor;
    }
    auto set_overloaded =
        [&](const pool_id& pool, overload_state& state, bool is_overloaded)
    {
        if (state.is_overloaded == is_overloaded)
            return;
        state.is_overloaded = is_overloaded;
        overload_changes_.push_back({pool, state,
            std::chrono::duration_cast<milliseconds>(now - state.changed_at)});
        state.changed_at = now;
    };
    for (auto& [pool, state] : overloads_)
        if (state.is_overloaded && !by_pool.contains(pool))
            set_overloaded(pool, state, false);
    std::map<pool_id, std::int64_t> free;
    std::int64_t total_free = 0;
    std::map<pool_id, std::pair<std::size_t, std::size_t>> reported;
    for (const auto& [id, it] : targets_)
    {
        if (!it.is_listed)
            continue;
        auto& [known, listed] = reported[it.report.pool];
        ++listed;
        known += it.has_reported;
        if (!it.is_eligible(now))
            continue;
        free[it.report.pool] += it.get_free().processor;
        total_free += it.get_free().processor;
    }
    for (auto& [pool, jobs] : by_pool)
    {
        overload_state& state = overloads_[pool];
        if (needed[pool] <= free[pool])
        {
            for (job_entry* it : jobs)
                it->is_left_out = it->is_selected = it->is_hopeless = false;
            set_overloaded(pool, state, false);
            continue;
        }
        if (now - state.evaluated_at < evaluation_interval)
        {
            // New jobs wait for the next evaluation, so that they take nothing
            // from jobs that can be in time.
            for (job_entry* it : jobs)
                if (it->evaluated_at == boot_time{})
                    it->is_left_out = state.is_overloaded;
            continue;
        }
        state.evaluated_at = now;
        state.free_elsewhere =
            static_cast<double>(total_free - free[pool]) / 1'000.0;
        const auto& [known, listed] = reported[pool];
        state.is_room_known = listed > 0 && known * 10 >= listed * 9;
        evaluate_pool(pool, state, jobs, now);
        set_overloaded(pool, state, state.left_out > 0);
    }
}

std::optional<milliseconds> coordinator::decide_refusal(
    const job_id& id, const job_record& record, boot_time now) const
{
    const queue_config* queue = queues_.find(record.queue);
    if (!options_.sheds_overload || jobs_.contains(id) || !queue ||
        !published_state_.config || !is_timed(record.spec))
        return std::nullopt;
    auto it = overloads_.find(queue->pool);
    if (it == overloads_.end() || !it->second.is_overloaded ||
        !it->second.is_room_known ||
        now - it->second.evaluated_at > max_evaluation_age)
        return std::nullopt;
    const overload_state& state = it->second;
    std::vector<milliseconds> run_times;
    submission_prospect prospect;
    for (const step_spec& step : record.spec.steps)
    {
        run_times.push_back(options_.learns_run_times
                                ? run_times_.predict(record.queue, step).median
                                : step.estimate);
        prospect.core_ms += get_cores(step.get_counted_need()) *
                            step.task_count *
                            static_cast<double>(run_times.back().count());
    }
    const team_config* team = published_state_.config->find_team(record.team);
    bool exceeds_share =
        team && !share_limiter_.has_room(record.team, team->weight, now);
    prospect.core_ms_ahead =
        state.core_ms_within_shares +
        (exceeds_share ? state.core_ms_beyond_shares : 0.0);
    prospect.time_allowed = get_time_allowed(record.spec, run_times, *queue);
    prospect.lot = hash_64(id.get());
    // Instances may come from any pool: a refusal has to be true even then.
    room_forecast room = state.room;
    room.add(state.free_elsewhere, now);
    return cowslippass::decide_refusal(room, prospect);
}

} // namespace cowslippass
