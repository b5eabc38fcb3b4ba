#include "systems/scheduling/coordinator.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace cowslippass
{

namespace
{

/// A look lists at most so many ends; with fewer, the list is whole.
constexpr std::size_t ends_per_look = 500;

} // namespace

coordinator::coordinator(coordinator_options options)
    : options_(options), load_(options.load_memory)
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

void coordinator::load_job(const job_id& id, job_record record,
    const std::string& progress, boot_time now, platform_time wall_time)
{
    job value(id, record.queue, record.team, std::move(record.spec));
    milliseconds age(
        std::max<std::int64_t>(0, wall_time.get() - record.accepted.get()));
    if (!progress.empty())
        value.decode_progress(progress);
    job_entry entry{std::move(value), now - age, ++last_order_};
    auto& added = jobs_.emplace(id, std::move(entry)).first->second;
    for (const task_key& key : added.value.list_running())
    {
        const task_run& run = *added.value.find_task(key)->run;
        task_name name{id, key};
        add_run(name, added.value, run.target, run.number, now);
        runs_[name].is_sent = true;
    }
    if (added.value.is_ended())
    {
        added.ended_at = now;
        stop_runs_of(added.value);
        return;
    }
    unfinished_.insert(id);
}

void coordinator::load_ended_job(const job_id& id, const queue_id& queue,
    const team_id& team, const std::string& progress, boot_time now)
{
    job value(id, queue, team, {});
    value.decode_progress(progress);
    job_entry entry{std::move(value), now, ++last_order_};
    entry.needs_scan = false;
    entry.ended_at = now;
    jobs_.emplace(id, std::move(entry));
}

submit_outcome coordinator::submit(
    const job_id& id, job_record record, boot_time now)
{
    if (jobs_.contains(id))
        return submit_outcome::known;
    note_load(record, now);
    job value(id, record.queue, record.team, std::move(record.spec));
    job_entry entry{std::move(value), now, ++last_order_};
    auto& added = jobs_.emplace(id, std::move(entry)).first->second;
    const team_config* team = publication_.config
                                  ? publication_.config->find_team(record.team)
                                  : nullptr;
    added.is_beyond_share =
        team && !shares_.take(record.team, team->weight, now);
    unfinished_.insert(id);
    return submit_outcome::added;
}

void coordinator::note_load(const job_record& record, boot_time now)
{
    const queue_config* queue = find_queue(record.queue);
    // Scheduled occurrences come later, and long-running tasks stay.
    if (!queue || record.spec.repeat_count > 0)
        return;
    double work = 0;
    for (const step_spec& it : record.spec.steps)
        if (!it.is_long_running)
            work += static_cast<double>(it.task_count) *
                    static_cast<double>(it.get_counted_need().processor) /
                    1'000.0 * static_cast<double>(it.estimate.count());
    load_.add(queue->pool, work, now);
}

pool_demand coordinator::measure_demand(
    const pool_id& pool, boot_time now) const
{
    pool_demand out;
    for (const auto& [id, it] : targets_)
    {
        if (it.report.pool != pool || it.is_evacuated)
            continue;
        out.used += it.used;
        for (const task_name& run : it.runs)
        {
            const job* owner = find_job(run.job);
            if (owner && owner->get_step(run.key).is_long_running)
                out.lasting += owner->get_step(run.key).get_counted_need();
        }
    }
    using step_name = std::tuple<job_id, std::uint32_t, std::uint32_t>;
    std::map<step_name, std::uint32_t> spread;
    auto note_spread = [&](const job& owner, const task_key& key)
    {
        const step_spec& step = owner.get_step(key);
        if (step.max_per_target == 0)
            return;
        std::uint32_t& n = spread[{owner.get_id(), key.occurrence, key.step}];
        ++n;
        out.spread = std::max(
            out.spread, (n + step.max_per_target - 1) / step.max_per_target);
    };
    for (const job_id& id : unfinished_)
    {
        const job_entry& entry = jobs_.at(id);
        const queue_config* queue = find_queue(entry.value.get_queue());
        if (!queue || queue->pool != pool || entry.is_over_limit)
            continue;
        if (entry.waiting_since)
            out.longest_wait = std::max(
                out.longest_wait, std::chrono::duration_cast<milliseconds>(
                                      now - *entry.waiting_since));
        for (const task_key& key : entry.waiting)
        {
            const step_spec& step = entry.value.get_step(key);
            resources need = step.get_counted_need();
            out.waiting += need;
            if (step.is_long_running)
                out.lasting += need;
            else
                out.waiting_work += static_cast<double>(need.processor) /
                                    1'000.0 *
                                    static_cast<double>(step.estimate.count());
            note_spread(entry.value, key);
        }
        if (!entry.waiting.empty())
            for (const task_key& key : entry.value.list_running())
                note_spread(entry.value, key);
    }
    out.offered_cores = load_.get_rate(pool, now);
    return out;
}

bool coordinator::is_at_work(const active_run& run) const
{
    if (run.percent < 100 || run.must_stop)
        return false;
    // What a silent target said last is not what is there now.
    auto it = targets_.find(run.target);
    return it != targets_.end() && it->second.is_known &&
           it->second.is_listed && it->second.failures == 0;
}

bool coordinator::may_interrupt(const task_name& task) const
{
    const job* owner = find_job(task.job);
    if (!owner)
        return true;
    const step_spec& step = owner->get_step(task.key);
    if (!step.is_long_running)
        return false;
    std::uint32_t away = 0;
    for (std::uint32_t i = 0; i < step.task_count; ++i)
    {
        if (i == task.key.index)
            continue;
        auto it =
            runs_.find({task.job, {task.key.occurrence, task.key.step, i}});
        if (it == runs_.end() || !is_at_work(it->second))
            ++away;
    }
    // A step without a budget still keeps all but one of its tasks at work.
    return away < std::max(1U, step.max_unavailable);
}

job_urgency coordinator::get_urgency(
    const job_entry& entry, boot_time now) const
{
    const job& it = entry.value;
    const queue_config* queue = find_queue(it.get_queue());
    job_urgency out;
    out.priority = queue ? queue->priority : 0;
    out.order = entry.order;
    out.is_new = it.get_phase() == job_phase::queued;
    out.is_beyond_share = entry.is_beyond_share;
    if (queue)
        out.deadline =
            entry.accepted_at + get_time_allowed(it.get_spec(), *queue);
    // Schedules and long-running tasks have no time to keep in this sense.
    bool is_timed =
        it.get_spec().repeat_count == 0 && entry.remaining > milliseconds(0);
    out.is_late = is_timed && now > out.deadline;
    return out;
}

bool coordinator::cancel(const job_id& id, boot_time now)
{
    job_entry* entry = find_entry(id);
    if (!entry)
        return false;
    if (entry->value.cancel())
        note_change(*entry, now);
    return true;
}

std::uint64_t coordinator::count_queued(const queue_id& queue) const
{
    return static_cast<std::uint64_t>(std::ranges::count_if(unfinished_,
        [&](const job_id& id)
        {
            const job& it = jobs_.at(id).value;
            return it.get_queue() == queue &&
                   it.get_phase() == job_phase::queued;
        }));
}

void coordinator::note_change(job_entry& entry, boot_time now)
{
    entry.needs_scan = true;
    changed_.insert(entry.value.get_id());
    if (!entry.value.is_ended() || entry.ended_at)
        return;
    entry.ended_at = now;
    entry.waiting.clear();
    unfinished_.erase(entry.value.get_id());
    stop_runs_of(entry.value);
}

void coordinator::stop_runs_of(const job& it)
{
    for (const task_key& key : it.list_running())
        if (auto run = runs_.find({it.get_id(), key}); run != runs_.end())
            run->second.must_stop = true;
}

void coordinator::set_publication(const published_state& state)
{
    publication_ = state;
    if (state.config)
        for (const auto& [id, it] : state.config->queues)
            queues_[id] = it;
    for (auto& [id, it] : targets_)
        it.is_evacuated = state.evacuated.contains(it.report.data_centre);
}

const queue_config* coordinator::find_queue(const queue_id& queue) const
{
    auto it = queues_.find(queue);
    return it == queues_.end() ? nullptr : &it->second;
}

std::uint32_t coordinator::get_max_attempts(const queue_id& queue) const
{
    const queue_config* it = find_queue(queue);
    return it ? it->max_attempts : 1;
}

void coordinator::note_target_change(const target_change& change, boot_time)
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
        publication_.evacuated.contains(entry.report.data_centre);
}

void coordinator::set_cordon(const target_id& target, bool is_cordoned)
{
    if (auto it = targets_.find(target); it != targets_.end())
        it->second.is_cordoned = is_cordoned;
}

void coordinator::add_run(const task_name& task, const job& owner,
    const target_id& target, run_number number, boot_time now)
{
    const step_spec& step = owner.get_step(task.key);
    active_run run;
    run.target = target;
    run.number = number;
    run.need = step.get_counted_need();
    run.charged = step.need;
    run.team = owner.get_team();
    run.assigned_at = now;
    target_entry& entry = targets_[target];
    entry.report.target = target;
    entry.used += run.need;
    entry.runs.insert(task);
    team_used_[run.team] += run.charged;
    runs_[task] = std::move(run);
}

void coordinator::remove_run(const task_name& task)
{
    auto it = runs_.find(task);
    if (it == runs_.end())
        return;
    target_entry& entry = targets_[it->second.target];
    entry.used -= it->second.need;
    entry.runs.erase(task);
    team_used_[it->second.team] -= it->second.charged;
    runs_.erase(it);
}

void coordinator::end_run(
    const task_name& task, run_end end, const std::string& saved, boot_time now)
{
    auto it = runs_.find(task);
    if (it == runs_.end())
        return;
    run_number number = it->second.number;
    remove_run(task);
    job_entry* entry = find_entry(task.job);
    if (!entry)
        return;
    const step_spec& step = entry->value.get_step(task.key);
    if (step.is_gang && end == run_end::done)
        for (std::uint32_t i = 0; i < step.task_count; ++i)
        {
            task_name member{task.job, {task.key.occurrence, task.key.step, i}};
            auto other = runs_.find(member);
            if (other != runs_.end() && other->second.number == number)
                remove_run(member);
        }
    if (entry->value.note_end(task.key, number, end, saved,
            get_max_attempts(entry->value.get_queue())))
        note_change(*entry, now);
}

std::vector<coordinator::job_entry*> coordinator::list_waiting_jobs(
    boot_time now, platform_time wall_time)
{
    std::vector<std::pair<job_urgency, job_entry*>> found;
    for (const job_id& id : unfinished_)
    {
        job_entry& it = jobs_.at(id);
        if (it.needs_scan || it.value.get_spec().repeat_count > 0)
        {
            it.waiting = it.value.list_waiting(wall_time);
            it.remaining = estimate_remaining_chain(it.value);
        }
        it.needs_scan = false;
        if (!it.waiting.empty())
            found.emplace_back(get_urgency(it, now), &it);
    }
    std::ranges::sort(found);
    std::vector<job_entry*> out;
    out.reserve(found.size());
    for (const auto& [urgency, it] : found)
        out.push_back(it);
    return out;
}

std::vector<start_decision> coordinator::plan(
    boot_time now, platform_time wall_time)
{
    std::vector<start_decision> out;
    std::vector<job_entry*> waiting = list_waiting_jobs(now, wall_time);
    if (waiting.empty())
        return out;
    room_index room = index_room(now);
    for (job_entry* it : waiting)
        plan_job(*it, room, now, out);
    return out;
}

bool coordinator::fits_limit(const team_id& team, const resources& need) const
{
    if (!publication_.config)
        return false;
    const team_config* config = publication_.config->find_team(team);
    if (!config)
        return true;
    auto it = team_used_.find(team);
    resources used = it == team_used_.end() ? resources{} : it->second;
    auto is_within = [](std::int64_t limit, std::int64_t total)
    { return limit == 0 || total <= limit; };
    return is_within(
               config->limit.processor, used.processor + need.processor) &&
           is_within(config->limit.memory, used.memory + need.memory) &&
           is_within(config->limit.accelerators,
               used.accelerators + need.accelerators);
}

bool coordinator::room_index::is_known_too_large(
    const pool_id& pool, const resources& need) const
{
    auto it = too_large.find(pool);
    return it != too_large.end() &&
           std::ranges::any_of(it->second,
               [&](const resources& failed) { return need.holds(failed); });
}

coordinator::room_index coordinator::index_room(boot_time now)
{
    room_index out;
    for (auto& [id, it] : targets_)
        if (it.is_eligible(now))
            out.eligible[it.report.pool].push_back(&it);
    return out;
}

target_entry* coordinator::choose_target(const job& owner, const task_key& key,
    const pool_id& pool, room_index& room)
{
    const step_spec& step = owner.get_step(key);
    resources need = step.get_counted_need();
    if (room.is_known_too_large(pool, need))
        return nullptr;
    auto count_here = [&](const target_entry& it)
    {
        return std::ranges::count_if(it.runs,
            [&](const task_name& run)
            {
                return run.job == owner.get_id() && run.key.step == key.step &&
                       run.key.occurrence == key.occurrence;
            });
    };
    target_entry* best = nullptr;
    auto rank = [&](const target_entry& it)
    {
        bool is_near =
            step.data_rack.get().empty() || it.has_label(step.data_rack.get());
        // The fullest target that has room keeps others free for large tasks
        // and for leaving the pool.
        return std::pair(!is_near, it.get_free().processor);
    };
    for (target_entry* it : room.eligible[pool])
    {
        if (!it->get_free().holds(need))
            continue;
        if (!step.required_label.empty() && !it->has_label(step.required_label))
            continue;
        if (step.max_per_target > 0 && count_here(*it) >= step.max_per_target)
            continue;
        if (!best || rank(*it) < rank(*best))
            best = it;
    }
    bool is_any_target_good =
        step.required_label.empty() && step.max_per_target == 0;
    if (!best && is_any_target_good)
        room.too_large[pool].push_back(need);
    return best;
}

void coordinator::plan_job(job_entry& entry, room_index& room, boot_time now,
    std::vector<start_decision>& out)
{
    job& owner = entry.value;
    const queue_config* queue = find_queue(owner.get_queue());
    if (!queue)
        return;
    std::vector<task_key> left;
    std::optional<task_key> without_room; ///< All of its step are alike.
    entry.is_over_limit = false;
    for (std::size_t i = 0; i < entry.waiting.size(); ++i)
    {
        task_key key = entry.waiting[i];
        const step_spec& step = owner.get_step(key);
        if (step.is_gang)
        {
            std::size_t first = i;
            if (!place_gang(entry, i, room, *queue, now, out))
                left.insert(left.end(), entry.waiting.begin() + first,
                    entry.waiting.begin() + i + 1);
            continue;
        }
        if (without_room && without_room->step == key.step &&
            without_room->occurrence == key.occurrence)
        {
            left.push_back(key);
            continue;
        }
        target_entry* target = nullptr;
        if (fits_limit(owner.get_team(), step.need))
            target = choose_target(owner, key, queue->pool, room);
        else
            entry.is_over_limit = true;
        if (!target)
        {
            without_room = key;
            left.push_back(key);
            continue;
        }
        task_name name{owner.get_id(), key};
        target_id id = target->report.target;
        run_number number = owner.assign(key, id);
        add_run(name, owner, id, number, now);
        changed_.insert(owner.get_id());
        out.push_back({name, number, id});
    }
    entry.waiting = std::move(left);
    if (entry.waiting.empty() || entry.is_over_limit)
        entry.waiting_since.reset();
    else if (!entry.waiting_since)
        entry.waiting_since = now;
}

bool coordinator::place_gang(job_entry& entry, std::size_t& at,
    room_index& room, const queue_config& queue, boot_time now,
    std::vector<start_decision>& out)
{
    job& owner = entry.value;
    task_key first = entry.waiting[at];
    const step_spec& step = owner.get_step(first);
    std::vector<task_key> members;
    std::size_t i = at;
    for (; i < entry.waiting.size() && entry.waiting[i].step == first.step &&
           entry.waiting[i].occurrence == first.occurrence;
         ++i)
        members.push_back(entry.waiting[i]);
    at = i - 1;
    // A member that still runs must end before the gang starts as a whole.
    if (members.size() != step.task_count)
        return false;
    if (!fits_limit(owner.get_team(), step.need * step.task_count))
        return false;
    std::uint64_t number = 0;
    for (const task_key& it : members)
        if (const task_progress* task = owner.find_task(it))
            number = std::max(number, task->last_number.get());
    std::vector<start_decision> placed;
    for (const task_key& it : members)
    {
        target_entry* target = choose_target(owner, it, queue.pool, room);
        if (!target)
            break;
        task_name name{owner.get_id(), it};
        target_id id = target->report.target;
        run_number run = owner.assign(it, id, run_number(number + 1));
        add_run(name, owner, id, run, now);
        placed.push_back({name, run, id});
    }
    changed_.insert(owner.get_id());
    if (placed.size() == members.size())
    {
        out.insert(out.end(), placed.begin(), placed.end());
        return true;
    }
    for (const start_decision& it : placed)
    {
        remove_run(it.task);
        owner.note_end(it.task.key, it.run, run_end::stopped, {}, 1);
    }
    return false;
}

std::vector<stop_decision> coordinator::list_stops() const
{
    std::vector<stop_decision> out;
    for (const auto& [task, run] : runs_)
        if (run.must_stop && run.is_sent)
            out.push_back({task, run.number, run.target});
    return out;
}

void coordinator::stop_run(const task_name& task)
{
    if (auto it = runs_.find(task); it != runs_.end())
        it->second.must_stop = true;
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
        run->second.must_stop = true;
    else
        end_run(it.task, run_end::stopped, {}, now);
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
        run->second.must_stop = true;
        return;
    }
    end_run(it.task, run_end::stopped, {}, now);
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
            end_run(it, run_end::lapsed, {}, now);
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
            end_run(name, run_end::lapsed, {}, now);
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
                end_run(run, run_end::lapsed, {}, now);
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
    for (const auto& [id, it] : jobs_)
        if (it.ended_at && now - *it.ended_at > options_.keep_ended &&
            it.value.list_running().empty())
            out.push_back(id);
    for (const job_id& id : out)
        jobs_.erase(id);
    return out;
}

} // namespace cowslippass
