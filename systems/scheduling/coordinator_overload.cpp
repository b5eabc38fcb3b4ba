#include "core/core.hpp"
#include "systems/scheduling/coordinator.hpp"
#include "systems/scheduling/submission_door.hpp"

#include <algorithm>
#include <ranges>
#include <span>

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

/// @return the expected work of one task, in core-milliseconds.
double get_work(const step_spec& step, milliseconds run_time)
{
    return get_cores(step.get_counted_need()) *
           static_cast<double>(run_time.count());
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

/// Decides which of a pool's waiting jobs can be in time together.
class coordinator::pool_evaluation
{
public:
    /// @param state of the pool; receives what was found.
    pool_evaluation(coordinator& owner, const pool_id& pool,
        overload_state& state, boot_time now)
        : owner_(owner), pool_(pool), state_(state), now_(now)
    {
    }

    /// @param waiting all jobs of the pool with waiting tasks.
    void run(const std::vector<job_entry*>& waiting)
    {
        forecast_room(get_mean_need(waiting));
        state_.backlogs.clear();
        for (job_entry* it : waiting)
        {
            it->feasibility.evaluated_at = now_;
            if (it->is_over_limit)
                continue;
            if (is_timed(it->value.get_spec()))
                add_candidate(*it);
            else
                add_untimed(*it);
        }
        add_started();
        select();
    }

private:
    static resources get_mean_need(const std::vector<job_entry*>& waiting)
    {
        resources sum;
        std::int64_t n = 0;
        for (const job_entry* it : waiting)
            for (const task_key& key : it->waiting)
            {
                sum += it->value.get_step(key).get_counted_need();
                ++n;
            }
        n = std::max<std::int64_t>(n, 1);
        return {sum.processor / n, sum.memory / n, sum.accelerators / n};
    }

    /// Also lists the jobs that have runs in the pool.
    void forecast_room(const resources& need)
    {
        state_.room = room_forecast(now_);
        for (const auto& [id, target] : owner_.targets_)
        {
            if (target.report.pool != pool_ || !target.is_eligible(now_))
                continue;
            state_.room.add(get_usable_cores(target.get_free(), need), now_);
            job_entry* entry = nullptr;
            for (const task_name& name : target.runs)
            {
                if (!entry || entry->value.get_id() != name.job)
                    entry = owner_.find_entry(name.job);
                auto run = owner_.runs_.find(name);
                if (entry && run != owner_.runs_.end())
                    add_run(*entry, name.key, run->second);
            }
        }
    }

    void add_run(job_entry& entry, const task_key& key, const active_run& run)
    {
        if (run.is_long_running)
            return;
        milliseconds run_time = entry.run_times.empty()
                                    ? entry.value.get_step(key).estimate
                                    : entry.run_times[key.step];
        boot_time end = run.confirmed_at.value_or(run.assigned_at) + run_time;
        state_.room.add(get_cores(run.need),
            std::max(end, now_ + run_time / scatter_divisor));
        if (entry.feasibility.evaluated_at == now_)
            return;
        entry.feasibility.evaluated_at = now_;
        started_.push_back(&entry);
    }

    /// @return the work of the steps that are neither done nor running.
    static std::vector<work_demand> list_demands(const job_entry& entry)
    {
        const job_spec& spec = entry.value.get_spec();
        std::vector<boot_time> due(
            spec.steps.size(), entry.accepted_at + entry.time_allowed);
        std::vector<std::uint32_t> waiting(spec.steps.size(), 0);
        for (const task_key& key : entry.waiting)
            ++waiting[key.step];
        auto is_done = [&](std::size_t step) {
            return entry.value.is_step_done(
                0, static_cast<std::uint32_t>(step));
        };
        std::vector<work_demand> out;
        for (std::size_t i = spec.steps.size(); i-- > 0;)
        {
            const step_spec& step = spec.steps[i];
            if (is_done(i))
                continue;
            boot_time start = due[i] - entry.run_times[i] - start_time;
            for (std::uint32_t before : step.after)
                due[before] = std::min(due[before], start);
            bool is_open = std::ranges::all_of(step.after, is_done);
            std::uint32_t tasks = is_open ? waiting[i] : step.task_count;
            if (tasks > 0)
                out.push_back({get_work(step, entry.run_times[i]) * tasks,
                    start, due[i]});
        }
        return out;
    }

    void add_to_backlog(
        const job_entry& entry, std::span<const work_demand> demands)
    {
        overload_state::backlog& it =
            state_.backlogs[entry.queue ? entry.queue->priority : 0];
        for (const work_demand& demand : demands)
            (entry.exceeds_share ? it.beyond_shares : it.within_shares) +=
                demand.core_ms;
    }

    void add_candidate(job_entry& entry)
    {
        if (now_ > entry.accepted_at + entry.time_allowed * overdue_factor)
            return;
        bool is_new = !entry.value.has_assignments();
        feasibility_candidate it;
        it.preference = {entry.queue->priority, is_new, entry.exceeds_share,
            !entry.feasibility.is_selected,
            hash_64(entry.value.get_id().get())};
        it.demands = list_demands(entry);
        add_to_backlog(entry, it.demands);
        if (!is_new)
            std::ranges::for_each(
                it.demands, [&](work_demand& demand) { tolerate(demand); });
        candidates_.push_back(std::move(it));
        entries_.push_back(&entry);
    }

    /// Lets work that is late by less than the scatter of run times start now.
    void tolerate(work_demand& demand) const
    {
        if (demand.start >= now_)
            return;
        milliseconds scatter = std::chrono::duration_cast<milliseconds>(
                                   demand.due - demand.start) /
                               scatter_divisor;
        demand.due += scatter;
        demand.start = std::min(now_, demand.start + scatter);
    }

    /// Adds the waiting tasks of a job without a deadline, which start in any
    /// case.
    void add_untimed(const job_entry& entry)
    {
        for (const task_key& key : entry.waiting)
        {
            const step_spec& step = entry.value.get_step(key);
            milliseconds run_time = entry.run_times[key.step];
            if (step.is_long_running)
                state_.room.add(-get_cores(step.get_counted_need()), now_);
            else
                committed_.push_back(
                    {get_work(step, run_time), now_, now_ + run_time});
        }
    }

    /// Adds the next steps of started jobs of which nothing waits.
    void add_started()
    {
        for (const job_entry* it : started_)
        {
            if (!it->waiting.empty() || it->value.is_ended() ||
                it->run_times.empty() || !is_timed(it->value.get_spec()))
                continue;
            std::vector<work_demand> demands = list_demands(*it);
            add_to_backlog(*it, demands);
            committed_.insert(committed_.end(), demands.begin(), demands.end());
        }
    }

    void select()
    {
        feasible_set set(state_.room);
        set.commit(committed_);
        std::vector<bool> is_selected = select_feasible(set, candidates_);
        state_.selected = 0;
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            job_feasibility& it = entries_[i]->feasibility;
            it.is_selected = is_selected[i];
            it.is_left_out = !is_selected[i];
            it.is_hopeless = std::ranges::any_of(candidates_[i].demands,
                [&](const work_demand& demand) { return demand.start < now_; });
            state_.selected += is_selected[i];
        }
        state_.left_out = entries_.size() - state_.selected;
    }

    coordinator& owner_;
    const pool_id& pool_;
    overload_state& state_;
    boot_time now_;
    std::vector<job_entry*> started_;
    std::vector<feasibility_candidate> candidates_;
    std::vector<job_entry*> entries_; ///< Of the candidates.
    /// Work that will be done in any case.
    std::vector<work_demand> committed_;
};

void coordinator::select_feasible_jobs(
    const std::vector<job_entry*>& waiting, boot_time now)
{
    std::map<pool_id, std::vector<job_entry*>> by_pool;
    for (job_entry* it : waiting)
        if (it->queue)
            by_pool[it->queue->pool].push_back(it);
    for (auto& [pool, state] : overloads_)
        if (!by_pool.contains(pool))
            set_overloaded(pool, state, false, now);
    std::map<pool_id, pool_room> rooms;
    for (auto& [pool, jobs] : by_pool)
    {
        auto [it, is_first] = overloads_.try_emplace(pool);
        overload_state& state = it->second;
        if (!is_first && now - state.evaluated_at < evaluation_interval)
        {
            // New jobs wait for the next evaluation, so that they take nothing
            // from jobs that can be in time.
            for (job_entry* entry : jobs)
                if (entry->feasibility.evaluated_at == boot_time{})
                    entry->feasibility.is_left_out = state.is_overloaded;
            continue;
        }
        if (rooms.empty())
            rooms = measure_room(now);
        state.evaluated_at = now;
        std::int64_t needed = 0;
        for (const job_entry* entry : jobs)
            for (const task_key& key : entry->waiting)
                needed +=
                    entry->value.get_step(key).get_counted_need().processor;
        const pool_room& room = rooms[pool];
        if (needed <= room.free)
        {
            for (job_entry* entry : jobs)
                entry->feasibility = {};
            set_overloaded(pool, state, false, now);
            continue;
        }
        state.is_room_known =
            room.listed > 0 && room.reported * 10 >= room.listed * 9;
        std::int64_t elsewhere = -room.free;
        for (const auto& [id, other] : rooms)
            elsewhere += other.free;
        state.free_elsewhere = static_cast<double>(elsewhere) / 1'000.0;
        pool_evaluation(*this, pool, state, now).run(jobs);
        set_overloaded(pool, state, state.left_out > 0, now);
    }
}

std::map<pool_id, coordinator::pool_room> coordinator::measure_room(
    boot_time now) const
{
    std::map<pool_id, pool_room> out;
    for (const auto& [id, it] : targets_)
    {
        if (!it.is_listed)
            continue;
        pool_room& room = out[it.report.pool];
        ++room.listed;
        room.reported += it.has_reported;
        if (it.is_eligible(now))
            room.free += it.get_free().processor;
    }
    return out;
}

void coordinator::set_overloaded(const pool_id& pool, overload_state& state,
    bool is_overloaded, boot_time now)
{
    if (state.is_overloaded == is_overloaded)
        return;
    state.is_overloaded = is_overloaded;
    overload_changes_.push_back({pool, state,
        std::chrono::duration_cast<milliseconds>(now - state.changed_at)});
    state.changed_at = now;
}

std::optional<milliseconds> coordinator::decide_refusal(
    const job_id& id, const job_record& record, boot_time now) const
{
    const queue_config* queue = queues_.find(record.queue);
    if (!options_.refuses_overload || jobs_.contains(id) || !queue ||
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
        prospect.core_ms += get_work(step, run_times.back()) * step.task_count;
    }
    const team_config* team = published_state_.config->find_team(record.team);
    bool exceeds_share =
        team && !share_limiter_.has_room(record.team, team->weight, now);
    for (const auto& [priority, ahead] : state.backlogs)
        if (priority <= queue->priority)
            prospect.core_ms_ahead +=
                ahead.within_shares + (exceeds_share ? ahead.beyond_shares : 0);
    prospect.time_allowed = get_time_allowed(record.spec, run_times, *queue);
    prospect.lot = hash_64(id.get());
    // Instances may come from any pool: a refusal has to be true even then.
    room_forecast room = state.room;
    room.add(state.free_elsewhere, now);
    return cowslippass::decide_refusal(room, prospect);
}

} // namespace cowslippass
