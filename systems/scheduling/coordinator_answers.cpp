#include "systems/scheduling/coordinator.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// A look lists at most so many ends; with fewer, the list is whole.
constexpr std::size_t ends_per_look = 500;

} // namespace

std::vector<stop_decision> coordinator::list_stops() const
{
    std::vector<stop_decision> out;
    for (const task_name& it : stopping_)
        if (const active_run& run = runs_.at(it); run.is_sent)
            out.push_back({it, run.number, run.target});
    return out;
}

void coordinator::stop_run(const task_name& task)
{
    if (auto it = runs_.find(task); it != runs_.end())
        request_stop(task, it->second);
}

std::optional<start_order> coordinator::make_start_order(
    const start_decision& it)
{
    auto run = runs_.find(it.task);
    if (run == runs_.end() || run->second.number != it.run ||
        run->second.must_stop)
        return std::nullopt;
    const job& owner = jobs_.at(it.task.job).value;
    run->second.is_sent = true;
    start_order order;
    order.task = it.task;
    order.run = it.run;
    order.payload = owner.get_spec().payload;
    order.saved = owner.find_task(it.task.key)->saved;
    return order;
}

void coordinator::abandon_start(const start_decision& it, boot_time now)
{
    auto run = runs_.find(it.task);
    if (run == runs_.end() || run->second.number != it.run)
        return;
    if (run->second.is_sent)
        request_stop(it.task, run->second);
    else
        end_run(it.task, run_outcome::stopped, {}, now);
}

void coordinator::note_start_reply(
    const start_decision& it, order_outcome outcome, boot_time now)
{
    auto run = runs_.find(it.task);
    if (run == runs_.end() || run->second.number != it.run)
        return;
    target_entry& target = targets_[it.target];
    auto set_aside = [&] { target.set_aside_until = now + options_.set_aside; };
    switch (outcome)
    {
    case order_outcome::accepted:
        if (!run->second.settled_at)
            run->second.settled_at = now;
        return;
    case order_outcome::superseded:
        // The next look tells how it ended.
        run->second.settled_at = now;
        return;
    case order_outcome::no_answer:
        run->second.may_arrive_late = true;
        set_aside();
        return;
    case order_outcome::stale_fence:
        return;
    case order_outcome::not_sent:
    case order_outcome::unavailable:
    case order_outcome::no_room:
        set_aside();
        break;
    case order_outcome::too_late:
    case order_outcome::no_ticket:
    case order_outcome::invalid:
    case order_outcome::wrong_life:
        break;
    }
    if (run->second.may_arrive_late)
    {
        // Only a confirmed stop keeps the earlier copy from starting.
        request_stop(it.task, run->second);
        return;
    }
    end_run(it.task, run_outcome::stopped, {}, now);
}

void coordinator::note_stop_reply(
    const stop_decision& it, order_outcome outcome, boot_time now)
{
    auto run = runs_.find(it.task);
    if (run == runs_.end() || run->second.number != it.run)
        return;
    if (outcome == order_outcome::accepted ||
        outcome == order_outcome::superseded)
    {
        run->second.may_arrive_late = false;
        // A stop that is repeated must not make the looks that are on their
        // way look old.
        if (!run->second.settled_at)
            run->second.settled_at = now;
    }
}

void coordinator::note_running(
    target_entry& target, const running_report& it, boot_time now)
{
    auto run = runs_.find(it.task);
    if (run == runs_.end() || run->second.number != it.run ||
        run->second.target != target.report.target)
        return;
    run->second.percent = it.percent;
    run->second.figure = it.figure;
    if (!run->second.settled_at)
        run->second.settled_at = now;
}

void coordinator::note_end(
    target_entry& target, const end_report& it, boot_time now)
{
    if (it.number <= target.last_end)
        return;
    target.last_end = it.number;
    auto run = runs_.find(it.task);
    if (run == runs_.end() || run->second.number != it.run ||
        run->second.target != target.report.target)
        return;
    end_run(it.task, it.end, it.saved, now);
}

void coordinator::drop_missing_runs(target_entry& target,
    const target_look& look, boot_time sent_at, boot_time now)
{
    if (look.ended.size() >= ends_per_look)
        return;
    auto is_listed = [&](const task_name& task, run_number number)
    {
        return std::ranges::any_of(look.running, [&](const running_report& it)
            { return it.task == task && it.run == number; });
    };
    auto runs = target.runs;
    for (const task_name& it : runs)
    {
        const active_run& run = runs_.at(it);
        bool is_settled = run.settled_at && *run.settled_at < sent_at;
        if (is_settled && !is_listed(it, run.number))
            end_run(it, run_outcome::lease_expired, {}, now);
    }
}

void coordinator::note_look(const target_id& id, const target_look& look,
    boot_time sent_at, boot_time now)
{
    auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    target_entry& target = found->second;
    target.failures = 0;
    if (!target.is_known)
    {
        // Under the new fence number nothing can start by an older order:
        // what the ledger names is there, or it has ended.
        for (const task_name& it : target.runs)
            if (active_run& run = runs_.at(it); run.is_sent)
                run.settled_at = run.settled_at.value_or(boot_time{});
    }
    // A new life counts its ends anew. Whether it has a run is told by its
    // lists alone: a start may have reached it before this look.
    if (target.is_known && look.born != target.born)
        target.last_end = 0;
    target.is_known = true;
    target.born = look.born;
    for (const end_report& it : look.ended)
        note_end(target, it, now);
    for (const running_report& it : look.running)
        note_running(target, it, now);
    drop_missing_runs(target, look, sent_at, now);
}

void coordinator::note_look_failure(const target_id& id, boot_time now)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    ++it->second.failures;
    it->second.set_aside_until = now + options_.set_aside;
}

bool coordinator::wants_lease(const target_id& id) const
{
    auto it = targets_.find(id);
    return it != targets_.end() && it->second.is_known &&
           it->second.failures == 0 && !it->second.runs.empty();
}

void coordinator::note_lease(const target_id& id, boot_time end)
{
    auto it = targets_.find(id);
    if (it != targets_.end())
        it->second.quiet_after = std::max(it->second.quiet_after, end);
}

void coordinator::note_life_over(
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
        bool is_recovered = run.is_sent && !target.is_known;
        bool is_settled = run.settled_at && *run.settled_at < asked_at;
        if (is_settled || is_recovered)
            end_run(name, run_outcome::lease_expired, {}, now);
    }
    // No work until it answers, as it may start again under its name.
    target.failures = std::max(target.failures, 1U);
}

void coordinator::expire(boot_time now)
{
    for (auto it = targets_.begin(); it != targets_.end();)
    {
        target_entry& target = it->second;
        bool is_silent = target.failures > 0 || !target.is_listed;
        if (is_silent && now >= target.quiet_after)
        {
            auto runs = target.runs;
            for (const task_name& run : runs)
                end_run(run, run_outcome::lease_expired, {}, now);
        }
        if (!target.is_listed && target.runs.empty())
            it = targets_.erase(it);
        else
            ++it;
    }
}

std::vector<job_id> coordinator::take_changed()
{
    std::vector<job_id> out(changed_.begin(), changed_.end());
    changed_.clear();
    return out;
}

std::vector<job_id> coordinator::take_forgotten(boot_time now)
{
    std::vector<job_id> out;
    auto end = ended_.lower_bound(now);
    for (auto it = ended_.begin(); it != end;)
    {
        // What still runs is stopped under the job's name.
        if (!jobs_.at(it->second).value.list_running().empty())
        {
            ++it;
            continue;
        }
        jobs_.erase(it->second);
        out.push_back(std::move(it->second));
        it = ended_.erase(it);
    }
    return out;
}

} // namespace cowslippass
