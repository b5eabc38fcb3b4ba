#include "systems/scheduling/coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cowslippass
{

namespace
{

/// A target reports at most this many ends at once; a status with fewer ends
/// contains all of them.
constexpr std::size_t max_ends_per_status = 500;
/// At most this share of a pool's targets is suspended at a time.
constexpr double max_suspended_share = 0.25;
/// Weight of the newest start in the moving average of their times.
constexpr double start_time_weight = 0.1;
/// The progress of a younger run is reported too roughly to tell its speed.
constexpr milliseconds min_time_for_speed{400};

} // namespace

std::vector<stop_decision> coordinator::list_stops() const
{
    std::vector<stop_decision> out;
    for (const task_name& it : stopping_)
        if (const active_run& run = runs_.at(it); run.is_sent)
            out.push_back({it, run.number, run.target});
    for (const auto& [target, runs] : strays_)
        out.insert(out.end(), runs.begin(), runs.end());
    return out;
}

void coordinator::stop_run(const task_name& task)
{
    auto it = runs_.find(task);
    if (it == runs_.end())
        return;
    request_stop(task, it->second);
    stop_gang(task, it->second.number);
}

std::optional<run_start_request> coordinator::make_start_request(
    const start_decision& decision)
{
    active_run* run = find_run(decision);
    if (!run || run->must_stop)
        return std::nullopt;
    const job_entry& entry = jobs_.at(decision.task.job);
    if (entry.is_held && !run->is_sent)
        return std::nullopt;
    const job& owner = entry.value;
    run->is_sent = true;
    run_start_request request;
    request.task = decision.task;
    request.run = decision.run;
    request.payload = owner.get_spec().payload;
    request.saved = owner.find_task(decision.task.key)->saved;
    return request;
}

void coordinator::abandon_start(const start_decision& decision, boot_time now)
{
    active_run* run = find_run(decision);
    // The fate of a run that its target has listed is known.
    if (!run || run->has_started)
        return;
    if (run->is_sent)
    {
        request_stop(decision.task, *run);
        stop_gang(decision.task, decision.run);
    }
    else
        end_run(decision.task, run_outcome::stopped, {}, now);
}

void coordinator::handle_start_reply(
    const start_decision& decision, request_outcome outcome, boot_time now)
{
    active_run* run = find_run(decision);
    if (!run)
        return;
    target_entry& target = targets_[decision.target];
    auto back_off = [&]
    {
        target.back_off_until = now + options_.target_back_off;
        target.unanswered_at.reset();
    };
    switch (outcome)
    {
    case request_outcome::accepted:
        confirm_start(decision.task, *run, now);
        return;
    case request_outcome::superseded:
        // The next status reports how the run ended.
        run->confirmed_at = now;
        return;
    case request_outcome::no_answer:
        run->may_arrive_late = true;
        back_off();
        target.unanswered_at = now;
        return;
    case request_outcome::stale_fence:
        return;
    case request_outcome::not_sent:
    case request_outcome::unavailable:
    case request_outcome::no_capacity:
        back_off();
        break;
    case request_outcome::too_late:
    case request_outcome::no_ticket:
    case request_outcome::invalid:
    case request_outcome::wrong_incarnation:
        break;
    }
    // An earlier request has started the run, as its target has told. What the
    // target says to a repeated one does not end it.
    if (run->has_started)
        return;
    if (run->may_arrive_late)
    {
        // The earlier request may still start the run; only a confirmed stop
        // prevents that.
        request_stop(decision.task, *run);
        stop_gang(decision.task, decision.run);
        return;
    }
    end_run(decision.task, run_outcome::stopped, {}, now);
}

void coordinator::record_start_time(const target_id& id, milliseconds took)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    double& average = it->second.start_ms;
    auto ms = static_cast<double>(took.count());
    average = average == 0 ? std::max(1.0, ms)
                           : average + (ms - average) * start_time_weight;
}

void coordinator::handle_stop_reply(
    const stop_decision& decision, request_outcome outcome, boot_time now)
{
    auto run = runs_.find(decision.task);
    if (run == runs_.end() || run->second.number != decision.run)
        return;
    if (outcome == request_outcome::accepted ||
        outcome == request_outcome::superseded)
    {
        run->second.may_arrive_late = false;
        // A repeated stop keeps the time of the first one. Otherwise each
        // repetition would make the status that is on its way too old to tell
        // that the run is gone.
        if (!run->second.confirmed_at)
            run->second.confirmed_at = now;
    }
}

void coordinator::handle_running_report(target_entry& target,
    const running_report& report, target_time clock, boot_time now)
{
    auto run = runs_.find(report.task);
    if (run == runs_.end() || run->second.number != report.run ||
        run->second.target != target.report.target)
        return;
    run->second.percent = report.percent;
    run->second.measured_value = report.measured_value;
    if (clock.get() - target.first_clock.get() >=
        options_.max_stop_time.count())
        run->second.may_be_stopping = false;
    confirm_start(report.task, run->second, now);
}

bool coordinator::is_stray(
    const target_entry& target, const running_report& report) const
{
    if (unreadable_jobs_.contains(report.task.job))
        return false;
    auto run = runs_.find(report.task);
    if (run != runs_.end())
        return run->second.number > report.run ||
               (run->second.number == report.run &&
                   run->second.target != target.report.target);
    const job* owner = find_job(report.task.job);
    const task_progress* task = owner && !owner->is_settled()
                                    ? owner->find_task(report.task.key)
                                    : nullptr;
    // A later coordinator has assigned a run with a higher number.
    return !task || task->last_number >= report.run;
}

void coordinator::handle_end_report(
    target_entry& target, const end_report& report, boot_time now)
{
    if (report.number <= target.last_end_number)
        return;
    target.last_end_number = report.number;
    auto run = runs_.find(report.task);
    if (run == runs_.end() || run->second.number != report.run ||
        run->second.target != target.report.target)
    {
        handle_late_end(report, now);
        return;
    }
    confirm_start(report.task, run->second, now);
    if (options_.judges_targets)
        judge_end(target, report, now);
    end_run(report.task, report.end, report.saved, now);
}

void coordinator::handle_late_end(const end_report& report, boot_time now)
{
    job_entry* entry = find_entry(report.task.job);
    if (!entry || report.end != run_outcome::done ||
        !entry->value.record_late_done(report.task.key, report.run))
        return;
    for (const task_key& key : entry->value.list_running())
        if (entry->value.is_done(key))
            stop_run({report.task.job, key});
    record_change(*entry, now);
}

bool coordinator::may_suspend_target(const pool_id& pool, boot_time now) const
{
    std::size_t listed = 0;
    std::size_t suspended = 0;
    for (const auto& [id, it] : targets_)
        if (it.is_listed && it.report.pool == pool)
        {
            ++listed;
            suspended += it.evidence.is_suspended(now) ? 1 : 0;
        }
    // Small pools can do without one target.
    std::size_t limit = std::max<std::size_t>(listed > 1 ? 1 : 0,
        static_cast<std::size_t>(
            static_cast<double>(listed) * max_suspended_share));
    return suspended < limit;
}

void coordinator::judge_end(
    target_entry& target, const end_report& report, boot_time now)
{
    bool is_failure = report.end == run_outcome::failed;
    job_entry* entry = find_entry(report.task.job);
    // Tasks of long-running steps end by faults of their own at any time.
    if (!entry || (!is_failure && report.end != run_outcome::done) ||
        entry->value.get_step(report.task.key).is_long_running)
        return;
    if (is_failure)
        entry->failed_at[report.task.key].insert(target.report.target);
    failure_baseline& baseline = failure_baselines_[target.report.pool];
    baseline.add(is_failure);
    bool may_suspend =
        is_failure && may_suspend_target(target.report.pool, now);
    target.evidence.add_end(
        report.task.job, is_failure, baseline.get_share(), may_suspend, now);
}

void coordinator::judge_progress(
    target_entry& target, const target_status& status, boot_time now)
{
    double sum = 0;
    std::size_t n = 0;
    for (const running_report& it : status.running)
    {
        auto run = runs_.find(it.task);
        if (run == runs_.end() || run->second.number != it.run ||
            run->second.target != target.report.target ||
            run->second.is_long_running || !run->second.confirmed_at ||
            *run->second.confirmed_at < run->second.assigned_at)
            continue;
        const job_entry& entry = jobs_.at(it.task.job);
        const step_spec& step = entry.value.get_step(it.task.key);
        bool is_far_from_data = !step.data_rack.get().empty() &&
                                !target.has_label(step.data_rack.get());
        bool is_resumed = !entry.value.find_task(it.task.key)->saved.empty();
        auto elapsed = std::chrono::duration_cast<milliseconds>(
            now - *run->second.confirmed_at);
        if (step.is_best_effort || is_far_from_data || is_resumed ||
            elapsed < min_time_for_speed ||
            entry.run_times.size() <= it.task.key.step ||
            entry.run_times[it.task.key.step] <= milliseconds(0))
            continue;
        double expected = std::min(1.0,
            static_cast<double>(elapsed.count()) /
                static_cast<double>(entry.run_times[it.task.key.step].count()));
        sum += std::log(std::max(1, it.percent) / 100.0 / expected);
        ++n;
    }
    if (n > 0)
        target.evidence.set_speed(std::exp(sum / static_cast<double>(n)), now);
}

void coordinator::end_missing_runs(target_entry& target,
    const target_status& status, boot_time sent_at, boot_time now)
{
    if (status.ended.size() >= max_ends_per_status)
        return;
    std::vector<task_name> missing;
    for (const task_name& it : target.runs)
    {
        const active_run& run = runs_.at(it);
        bool is_confirmed = run.confirmed_at && *run.confirmed_at < sent_at;
        if (is_confirmed &&
            std::ranges::none_of(status.running,
                [&](const running_report& report)
                { return report.run == run.number && report.task == it; }))
            missing.push_back(it);
    }
    for (const task_name& it : missing)
        end_run(it, run_outcome::lease_expired, {}, now);
}

void coordinator::handle_status(const target_id& id,
    const target_status& status, boot_time sent_at, boot_time now)
{
    auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    target_entry& target = found->second;
    target.consecutive_failures = 0;
    if (target.unanswered_at && sent_at >= *target.unanswered_at)
    {
        target.back_off_until = now;
        target.unanswered_at.reset();
    }
    if (!target.has_reported)
    {
        // The target has seen the new fencing token and refuses requests of
        // former coordinators: each run that the ledger names is running
        // there or has ended.
        for (const task_name& it : target.runs)
            if (active_run& run = runs_.at(it); run.is_sent)
                run.confirmed_at = run.confirmed_at.value_or(boot_time{});
        target.first_clock = status.clock;
    }
    // A new incarnation numbers its ends from the start. Only its lists tell
    // whether it has a run: a start may have reached it before this poll.
    if (target.has_reported &&
        status.incarnation_start != target.incarnation_start)
    {
        target.last_end_number = 0;
        target.first_clock = status.clock;
        target.evidence = {};
    }
    target.has_reported = true;
    target.incarnation_start = status.incarnation_start;
    for (const end_report& it : status.ended)
        handle_end_report(target, it, now);
    std::vector<stop_decision> strays;
    for (const running_report& it : status.running)
    {
        handle_running_report(target, it, status.clock, now);
        if (is_stray(target, it))
            strays.push_back({it.task, it.run, id});
    }
    if (strays.empty())
        strays_.erase(id);
    else
        strays_[id] = std::move(strays);
    if (options_.judges_targets)
        judge_progress(target, status, now);
    end_missing_runs(target, status, sent_at, now);
}

void coordinator::handle_poll_failure(const target_id& id, boot_time now)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    ++it->second.consecutive_failures;
    it->second.back_off_until = now + options_.target_back_off;
    it->second.unanswered_at = now;
}

bool coordinator::should_renew_leases(const target_id& id) const
{
    auto it = targets_.find(id);
    return it != targets_.end() && it->second.has_reported &&
           it->second.consecutive_failures == 0 && !it->second.runs.empty();
}

void coordinator::record_lease(const target_id& id, boot_time end)
{
    auto it = targets_.find(id);
    if (it != targets_.end())
        it->second.last_lease_end = std::max(it->second.last_lease_end, end);
}

void coordinator::handle_incarnation_end(
    const target_id& id, boot_time asked_at, boot_time now)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    target_entry& target = it->second;
    auto runs = target.runs;
    for (const task_name& name : runs)
    {
        const active_run& run = runs_.at(name);
        bool is_recovered = run.is_sent && !target.has_reported;
        bool is_confirmed = run.confirmed_at && *run.confirmed_at < asked_at;
        if (is_confirmed || is_recovered)
            end_run(name, run_outcome::lease_expired, {}, now);
    }
    // The target gets no work until it answers, because it may start again
    // under the same name.
    target.consecutive_failures = std::max(target.consecutive_failures, 1U);
}

void coordinator::end_runs_without_lease(boot_time now)
{
    for (auto it = targets_.begin(); it != targets_.end();)
    {
        target_entry& target = it->second;
        bool is_silent = target.consecutive_failures > 0 || !target.is_listed;
        if (is_silent && now >= target.last_lease_end)
        {
            auto runs = target.runs;
            for (const task_name& run : runs)
                end_run(run, run_outcome::lease_expired, {}, now);
        }
        if (!target.is_listed && target.runs.empty())
        {
            strays_.erase(it->first);
            it = targets_.erase(it);
        }
        else
            ++it;
    }
}

std::vector<job_id> coordinator::take_changed_jobs()
{
    for (const job_id& it : changed_jobs_)
        if (job_entry* entry = find_entry(it))
            entry->is_changed = false;
    return std::exchange(changed_jobs_, {});
}

std::set<std::uint32_t> coordinator::take_changed_segments(const job_id& id)
{
    job_entry* entry = find_entry(id);
    return entry ? entry->value.take_changed_segments()
                 : std::set<std::uint32_t>();
}

std::vector<job_id> coordinator::take_expired_jobs(boot_time now)
{
    std::vector<job_id> out;
    auto end = ended_jobs_by_expiry_.lower_bound(now);
    for (auto it = ended_jobs_by_expiry_.begin(); it != end;)
    {
        // The runs of the job still have to be stopped, which needs the job.
        if (!jobs_.at(it->second).value.list_running().empty())
        {
            ++it;
            continue;
        }
        if (job_entry& entry = jobs_.at(it->second); entry.is_to_be_planned)
            std::erase(jobs_to_plan_, &entry);
        jobs_.erase(it->second);
        out.push_back(std::move(it->second));
        it = ended_jobs_by_expiry_.erase(it);
    }
    return out;
}

} // namespace cowslippass
