#include "systems/scheduling/coordinator.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace cowslippass
{

namespace
{

/// Forecasts of a waiting job are renewed after this time, because runs that
/// ended meanwhile may have changed them.
constexpr milliseconds run_time_update_interval{500};

/// @return the expected work of one task, in core-milliseconds.
double get_work(const step_spec& step, milliseconds run_time)
{
    return static_cast<double>(step.get_counted_need().processor) / 1'000.0 *
           static_cast<double>(run_time.count());
}

} // namespace

coordinator::coordinator(coordinator_options options)
    : options_(options), arrival_load_(options.load_averaging_time),
      tombstones_({.retention = options.ended_job_retention})
{
}

coordinator::job_entry* coordinator::find_entry(const job_id& id)
{
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

const job* coordinator::find_job(const job_id& id) const
{
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second.value;
}

std::uint64_t coordinator::get_acceptance_number(const job_id& id) const
{
    auto it = jobs_.find(id);
    return it == jobs_.end() ? 0 : it->second.acceptance_number;
}

void coordinator::load_job(const job_id& id, job_record record,
    const std::string& progress, boot_time now, platform_time wall_time,
    const std::map<std::uint32_t, std::string>& segments)
{
    job value(id, record.queue, record.team, std::move(record.spec),
        record.tasks_per_segment);
    milliseconds age(std::max<std::int64_t>(
        0, wall_time.get() - record.acceptance_time.get()));
    if (!progress.empty() || !segments.empty())
        value.decode_progress(progress, segments);
    job_entry entry{std::move(value), now - age, ++last_acceptance_number_};
    auto& added = jobs_.emplace(id, std::move(entry)).first->second;
    for (const task_key& key : added.value.list_running())
    {
        const task_run& run = *added.value.find_task(key)->run;
        task_name name{id, key};
        add_run(name, added.value, run.target, run.number, now);
        runs_[name].is_sent = true;
        runs_[name].may_be_stopping = true;
    }
    if (added.value.is_ended())
    {
        record_job_end(added, now);
        return;
    }
    queues_.add_job(added.value.get_queue());
    update_queued_count(added);
    plan_later(added);
}

void coordinator::load_queue(const queue_id& queue, const std::string& record)
{
    queues_.load(queue, record);
    ++config_number_;
}

void coordinator::load_settled_job(job settled_job, boot_time now)
{
    job_id id = settled_job.get_id();
    job_entry entry{std::move(settled_job), now, ++last_acceptance_number_};
    entry.needs_scan = false;
    record_job_end(jobs_.emplace(id, std::move(entry)).first->second, now);
}

submit_outcome coordinator::submit(
    const job_id& id, job_record record, boot_time now)
{
    if (jobs_.contains(id))
        return submit_outcome::already_known;
    if (tombstones_.contains(id))
        return submit_outcome::cancelled;
    job value(id, record.queue, record.team, std::move(record.spec),
        record.tasks_per_segment);
    job_entry entry{std::move(value), now, ++last_acceptance_number_};
    auto& added = jobs_.emplace(id, std::move(entry)).first->second;
    update_run_times(added, now);
    record_arrival(added, now);
    const team_config* team =
        published_state_.config
            ? published_state_.config->find_team(record.team)
            : nullptr;
    queues_.add_job(record.queue);
    added.exceeds_share =
        team && !share_limiter_.take(record.team, team->weight, now);
    update_queued_count(added);
    plan_later(added);
    return submit_outcome::added;
}

void coordinator::plan_later(job_entry& entry)
{
    if (entry.is_to_be_planned || entry.value.is_ended())
        return;
    entry.is_to_be_planned = true;
    jobs_to_plan_.push_back(&entry);
}

void coordinator::update_queue(job_entry& entry)
{
    if (entry.config_number == config_number_)
        return;
    entry.config_number = config_number_;
    entry.queue = queues_.find(entry.value.get_queue());
    if (entry.queue)
        entry.time_allowed = get_time_allowed(
            entry.value.get_spec(), entry.run_times, *entry.queue);
}

bool coordinator::update_run_times(job_entry& entry, boot_time now)
{
    bool is_first = entry.run_times.empty();
    // What a job is allowed to take does not change once it has started.
    bool is_due = options_.learns_run_times && !entry.value.has_assignments() &&
                  now - entry.run_times_updated_at >= run_time_update_interval;
    if (!is_first && !is_due)
        return false;
    entry.run_times_updated_at = now;
    entry.run_times.clear();
    for (const step_spec& it : entry.value.get_spec().steps)
        entry.run_times.push_back(
            options_.learns_run_times
                ? run_times_.predict(entry.value.get_queue(), it).median
                : it.estimate);
    // The time allowed depends on the run times.
    entry.config_number = 0;
    return true;
}

void coordinator::update_queued_count(job_entry& entry)
{
    bool is_queued = entry.value.get_phase() == job_phase::queued;
    if (is_queued == entry.is_counted_as_queued)
        return;
    entry.is_counted_as_queued = is_queued;
    std::uint64_t& n = queued_counts_[entry.value.get_queue()];
    if (is_queued)
        ++n;
    else
        --n;
}

void coordinator::mark_changed(job_entry& entry)
{
    if (entry.is_changed)
        return;
    entry.is_changed = true;
    changed_jobs_.push_back(entry.value.get_id());
}

void coordinator::record_arrival(const job_entry& entry, boot_time now)
{
    const queue_config* queue = queues_.find(entry.value.get_queue());
    const job_spec& spec = entry.value.get_spec();
    // Scheduled occurrences start later, and long-running tasks do not end, so
    // that neither belongs to an arrival rate.
    if (!queue || spec.repeat_count > 0)
        return;
    double work = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
        if (!spec.steps[i].is_long_running)
            work += static_cast<double>(spec.steps[i].task_count) *
                    get_work(spec.steps[i], entry.run_times[i]);
    arrival_load_.add(queue->pool, work, now);
    arrival_trend_.add(queue->pool, work, now);
}

std::map<pool_id, pool_demand> coordinator::measure_demand(boot_time now) const
{
    std::map<pool_id, pool_demand> out;
    for (const auto& [id, it] : targets_)
    {
        if (it.is_evacuated)
            continue;
        pool_demand& demand = out[it.report.pool];
        demand.used += it.used;
        demand.long_running_need += it.long_running;
    }
    for (const job_entry* it : jobs_to_plan_)
        if (it->queue && !it->is_over_limit && !it->value.is_ended())
            add_waiting(*it, out[it->queue->pool], now);
    if (published_state_.config)
        for (const auto& [pool, it] : published_state_.config->pools)
        {
            out[pool].offered_cores = arrival_load_.get_rate(pool, now);
            out[pool].offered_cores_slope = arrival_trend_.get_slope(pool, now);
        }
    return out;
}

void coordinator::add_waiting(
    const job_entry& entry, pool_demand& demand, boot_time now)
{
    const task_key* last = nullptr;
    // The tasks of a step wait side by side.
    auto add_shape = [&](std::vector<waiting_shape>& shapes,
                         const task_key& key, milliseconds waited)
    {
        const step_spec& step = entry.value.get_step(key);
        if (!last || last->step != key.step ||
            last->occurrence != key.occurrence)
            shapes.push_back({step.get_counted_need(), 0, step.max_per_target,
                step.is_long_running, &entry.value, key, waited});
        ++shapes.back().count;
        last = &key;
    };
    if (entry.is_overdue)
    {
        for (const task_key& key : entry.waiting)
        {
            demand.overdue_core_ms +=
                get_work(entry.value.get_step(key), entry.run_times[key.step]);
            add_shape(demand.overdue_shapes, key, {});
        }
        return;
    }
    milliseconds waited{0};
    if (entry.waiting_since)
        waited = std::chrono::duration_cast<milliseconds>(
            now - *entry.waiting_since);
    demand.longest_wait = std::max(demand.longest_wait, waited);
    // Number of tasks with a limit per target, by occurrence and step.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> limited;
    auto add_to_spread = [&](const task_key& key)
    {
        const step_spec& step = entry.value.get_step(key);
        if (step.max_per_target == 0)
            return;
        std::uint32_t& n = limited[{key.occurrence, key.step}];
        ++n;
        demand.spread = std::max(
            demand.spread, (n + step.max_per_target - 1) / step.max_per_target);
    };
    for (const task_key& key : entry.waiting)
    {
        const step_spec& step = entry.value.get_step(key);
        resources need = step.get_counted_need();
        demand.waiting += need;
        if (step.is_long_running)
            demand.long_running_need += need;
        else
            demand.waiting_core_ms += get_work(step, entry.run_times[key.step]);
        add_to_spread(key);
        add_shape(demand.waiting_shapes, key, waited);
    }
    if (!entry.waiting.empty())
        for (const task_key& key : entry.value.list_running())
            add_to_spread(key);
}

bool coordinator::is_serving_users(const active_run& run) const
{
    if (run.percent < 100 || run.must_stop || run.may_be_stopping)
        return false;
    // The last report of a silent target is out of date.
    auto it = targets_.find(run.target);
    return it != targets_.end() && it->second.has_reported &&
           it->second.is_listed && it->second.consecutive_failures == 0 &&
           !it->second.may_end;
}

bool coordinator::may_interrupt(const task_name& task) const
{
    const job* owner = find_job(task.job);
    if (!owner)
        return true;
    const step_spec& step = owner->get_step(task.key);
    if (!step.is_long_running)
        return false;
    std::uint32_t unavailable = 0;
    for (std::uint32_t i = 0; i < step.task_count; ++i)
    {
        if (i == task.key.index)
            continue;
        auto it =
            runs_.find({task.job, {task.key.occurrence, task.key.step, i}});
        if (it == runs_.end() || !is_serving_users(it->second))
            ++unavailable;
    }
    return unavailable < step.get_interruption_budget();
}

job_urgency coordinator::get_urgency(
    const job_entry& entry, double estimate_factor, boot_time now) const
{
    const job& it = entry.value;
    job_urgency out;
    out.priority = entry.queue ? entry.queue->priority : 0;
    out.acceptance_number = entry.acceptance_number;
    out.is_new = !it.has_assignments();
    out.exceeds_share = entry.exceeds_share;
    if (entry.queue)
        out.deadline = entry.accepted_at + entry.time_allowed;
    // Jobs with a schedule and jobs of long-running tasks alone have no
    // deadline.
    bool is_timed = it.get_spec().repeat_count == 0 &&
                    entry.remaining_critical_path > milliseconds(0);
    milliseconds estimated_time =
        correct_estimate(entry.remaining_critical_path, estimate_factor);
    out.is_late = is_timed && (entry.feasibility.is_hopeless ||
                                  now + estimated_time > out.deadline);
    out.is_left_out = entry.feasibility.is_left_out;
    milliseconds allowed = std::chrono::duration_cast<milliseconds>(
        out.deadline - entry.accepted_at);
    out.is_overdue =
        is_timed && now > entry.accepted_at + allowed * overdue_factor;
    return out;
}

bool coordinator::cancel(const job_id& id, boot_time now)
{
    job_entry* entry = find_entry(id);
    if (!entry)
        return false;
    if (entry->value.cancel())
        record_change(*entry, now);
    return true;
}

void coordinator::withdraw_job(const job_id& id)
{
    job_entry* entry = find_entry(id);
    if (!entry)
        return;
    for (const task_key& key : entry->value.list_running())
        remove_run({id, key});
    if (entry->is_to_be_planned)
        std::erase(jobs_to_plan_, entry);
    if (entry->is_counted_as_queued)
        --queued_counts_[entry->value.get_queue()];
    if (entry->ended_at)
        std::erase_if(ended_jobs_by_expiry_,
            [&](const auto& it) { return it.second == id; });
    else
        queues_.remove_job(entry->value.get_queue());
    if (entry->is_changed)
        std::erase(changed_jobs_, id);
    jobs_.erase(id);
}

void coordinator::hold_job(const job_id& id)
{
    if (job_entry* entry = find_entry(id))
        entry->is_held = true;
}

std::uint64_t coordinator::count_queued(const queue_id& queue) const
{
    auto it = queued_counts_.find(queue);
    return it == queued_counts_.end() ? 0 : it->second;
}

void coordinator::record_change(job_entry& entry, boot_time now)
{
    entry.needs_scan = true;
    mark_changed(entry);
    update_queued_count(entry);
    plan_later(entry);
    if (!entry.value.is_ended() || entry.ended_at)
        return;
    queues_.remove_job(entry.value.get_queue());
    entry.waiting.clear();
    record_job_end(entry, now);
}

void coordinator::record_job_end(job_entry& entry, boot_time now)
{
    entry.ended_at = now;
    ended_jobs_by_expiry_.emplace(
        now + options_.ended_job_retention, entry.value.get_id());
    stop_runs_of(entry.value);
}

void coordinator::stop_runs_of(const job& owner)
{
    for (const task_key& key : owner.list_running())
        if (auto run = runs_.find({owner.get_id(), key}); run != runs_.end())
            request_stop(run->first, run->second);
}

void coordinator::request_stop(const task_name& task, active_run& run)
{
    run.must_stop = true;
    stopping_.insert(task);
}

void coordinator::stop_gang(const task_name& task, run_number number)
{
    const job_entry* entry = find_entry(task.job);
    if (!entry || !entry->value.get_step(task.key).is_gang)
        return;
    task_name member = task;
    std::uint32_t count = entry->value.get_step(task.key).task_count;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        member.key.index = i;
        auto it = runs_.find(member);
        if (i != task.key.index && it != runs_.end() &&
            it->second.number == number && !it->second.must_stop)
            request_stop(it->first, it->second);
    }
}

void coordinator::set_published_state(const published_state& state)
{
    published_state_ = state;
    if (state.config)
        queues_.set_published(state.config->queues);
    ++config_number_;
    for (auto& [id, it] : targets_)
        it.is_evacuated = state.evacuated.contains(it.report.data_centre);
}

std::uint32_t coordinator::get_max_attempts(const queue_id& queue) const
{
    // Attempts are not limited while the queue is unknown: a job that failed
    // could not be resumed once the queue becomes known.
    const queue_config* it = queues_.find(queue);
    return it ? it->max_attempts : std::numeric_limits<std::uint32_t>::max();
}

void coordinator::handle_target_change(const target_change& change, boot_time)
{
    if (!change.report)
    {
        if (auto it = targets_.find(change.target); it != targets_.end())
            it->second.is_listed = false;
        return;
    }
    target_entry& entry = targets_[change.target];
    entry.report = *change.report;
    entry.is_listed = true;
    entry.is_evacuated =
        published_state_.evacuated.contains(entry.report.data_centre);
}

void coordinator::set_cordon(const target_id& target, bool is_cordoned)
{
    if (auto it = targets_.find(target); it != targets_.end())
        it->second.is_cordoned = is_cordoned;
}

void coordinator::set_may_end(const target_id& target, bool may_end)
{
    if (auto it = targets_.find(target); it != targets_.end())
        it->second.may_end = may_end;
}

void coordinator::confirm_start(
    const task_name& task, active_run& run, boot_time now)
{
    if (!run.confirmed_at)
        run.confirmed_at = now;
    if (run.has_started)
        return;
    run.has_started = true;
    // The row is not written for this: the targets tell a successor what runs.
    if (job_entry* entry = find_entry(task.job);
        entry && entry->value.record_start())
        update_queued_count(*entry);
}

std::uint64_t coordinator::add_run(const task_name& task, const job& owner,
    const target_id& target, run_number number, boot_time now)
{
    const step_spec& step = owner.get_step(task.key);
    active_run run;
    run.target = target;
    run.number = number;
    run.assignment = ++last_assignment_;
    run.need = step.get_counted_need();
    run.is_long_running = step.is_long_running;
    run.team_charge = step.need;
    run.team = owner.get_team();
    run.assigned_at = now;
    target_entry& entry = targets_[target];
    entry.report.target = target;
    entry.used += run.need;
    if (run.is_long_running)
        entry.long_running += run.need;
    entry.runs.insert(task);
    team_usage_[run.team] += run.team_charge;
    runs_.insert_or_assign(task, std::move(run));
    return last_assignment_;
}

active_run* coordinator::find_run(const start_decision& decision)
{
    auto it = runs_.find(decision.task);
    bool is_same = it != runs_.end() && it->second.number == decision.run &&
                   it->second.assignment == decision.assignment;
    return is_same ? &it->second : nullptr;
}

void coordinator::remove_run(const task_name& task)
{
    auto it = runs_.find(task);
    if (it == runs_.end())
        return;
    target_entry& entry = targets_[it->second.target];
    entry.used -= it->second.need;
    if (it->second.is_long_running)
        entry.long_running -= it->second.need;
    entry.runs.erase(task);
    team_usage_[it->second.team] -= it->second.team_charge;
    if (it->second.must_stop)
        stopping_.erase(task);
    runs_.erase(it);
}

void coordinator::end_run(const task_name& task, run_outcome end,
    const std::string& saved, boot_time now)
{
    auto it = runs_.find(task);
    if (it == runs_.end())
        return;
    run_number number = it->second.number;
    boot_time assigned_at = it->second.assigned_at;
    // Not set, or earlier, for runs that a predecessor started.
    boot_time started_at = it->second.confirmed_at.value_or(boot_time{});
    remove_run(task);
    job_entry* entry = find_entry(task.job);
    if (!entry)
        return;
    const step_spec& step = entry->value.get_step(task.key);
    const task_progress* progress = entry->value.find_task(task.key);
    bool is_whole_run = end == run_outcome::done && saved.empty() &&
                        (!progress || progress->saved.empty());
    if (is_whole_run)
        estimate_calibrator_.add(entry->value.get_queue(), step.estimate,
            std::chrono::duration_cast<milliseconds>(now - assigned_at));
    if (is_whole_run && options_.learns_run_times && started_at >= assigned_at)
        run_times_.add(entry->value.get_queue(), step,
            std::chrono::duration_cast<milliseconds>(now - started_at));
    if (step.is_gang && end == run_outcome::done)
        for (std::uint32_t i = 0; i < step.task_count; ++i)
        {
            task_name member{task.job, {task.key.occurrence, task.key.step, i}};
            auto other = runs_.find(member);
            if (other != runs_.end() && other->second.number == number)
                remove_run(member);
        }
    // Ends of other kinds are ends of the whole gang.
    if (end == run_outcome::stopped || end == run_outcome::lease_expired)
        stop_gang(task, number);
    if (entry->value.record_run_end(task.key, number, end, saved,
            get_max_attempts(entry->value.get_queue())))
        record_change(*entry, now);
}

} // namespace cowslippass
