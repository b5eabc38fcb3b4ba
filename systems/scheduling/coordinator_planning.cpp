#include "systems/scheduling/coordinator.hpp"
#include "systems/scheduling/target_fit.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace cowslippass
{

namespace
{

/// Overdue jobs start only while the processor utilisation of their pool is
/// below this value: other jobs then find capacity at once, and instances that
/// other pools need become idle.
constexpr double overdue_utilisation_limit = 0.6;

/// Part of the time for which members of a gang wait that their starts may
/// take.
constexpr double gang_start_share = 0.5;
/// Assumed time of a start, in milliseconds, before one was measured: that of a
/// target in another data centre. A gang that is started on a wrong assumption
/// fails once, and one that is held would never be measured.
constexpr double default_start_ms = 4;

} // namespace

std::vector<coordinator::job_entry*> coordinator::list_waiting_jobs(
    boot_time now, platform_time wall_time)
{
    std::vector<std::pair<job_urgency, job_entry*>> found;
    std::vector<std::pair<const queue_config*, double>> factors;
    auto get_factor = [&](const job_entry& entry)
    {
        auto it = std::ranges::find(
            factors, entry.queue, &decltype(factors)::value_type::first);
        if (it != factors.end())
            return it->second;
        double factor =
            estimate_calibrator_.get_correction_factor(entry.value.get_queue())
                .value_or(0);
        factors.emplace_back(entry.queue, factor);
        return factor;
    };
    std::vector<job_entry*> waiting;
    std::vector<job_entry*> jobs = std::move(jobs_to_plan_);
    jobs_to_plan_.clear();
    for (job_entry* it : jobs)
    {
        it->is_to_be_planned = false;
        if (it->value.is_ended() || it->is_held)
            continue;
        bool has_schedule = it->value.get_spec().repeat_count > 0;
        if (update_run_times(*it, now) || it->needs_scan || has_schedule)
        {
            it->waiting = it->value.list_waiting(wall_time);
            it->remaining_critical_path =
                estimate_remaining_critical_path(it->value, it->run_times);
        }
        it->needs_scan = false;
        // A change of the job puts it back into the list.
        if (it->waiting.empty())
            it->waiting_since.reset();
        if (!it->waiting.empty() || has_schedule)
            plan_later(*it);
        if (it->waiting.empty())
            continue;
        update_queue(*it);
        waiting.push_back(it);
    }
    if (options_.sheds_overload)
        select_feasible_jobs(waiting, now);
    for (job_entry* it : waiting)
    {
        job_urgency urgency = get_urgency(*it, get_factor(*it), now);
        it->is_overdue = urgency.is_overdue;
        found.emplace_back(urgency, it);
    }
    std::ranges::sort(found);
    std::vector<job_entry*> out;
    out.reserve(found.size());
    for (const auto& [urgency, it] : found)
        out.push_back(it);
    return out;
}

std::vector<start_decision> coordinator::plan(
    boot_time now, platform_time wall_time, std::size_t max_starts)
{
    std::vector<start_decision> out;
    std::vector<job_entry*> waiting = list_waiting_jobs(now, wall_time);
    if (waiting.empty())
        return out;
    capacity_index capacity = build_capacity_index(now);
    for (job_entry* it : waiting)
    {
        if (out.size() >= max_starts)
            break;
        plan_job(*it, capacity, now, out);
    }
    return out;
}

bool coordinator::fits_team_limit(
    const team_id& team, const resources& need) const
{
    if (!published_state_.config)
        return false;
    const team_config* config = published_state_.config->find_team(team);
    if (!config)
        return true;
    auto it = team_usage_.find(team);
    resources used = it == team_usage_.end() ? resources{} : it->second;
    auto is_within = [](std::int64_t limit, std::int64_t total)
    { return limit == 0 || total <= limit; };
    return is_within(
               config->limit.processor, used.processor + need.processor) &&
           is_within(config->limit.memory, used.memory + need.memory) &&
           is_within(config->limit.accelerators,
               used.accelerators + need.accelerators);
}

bool coordinator::capacity_index::is_known_too_large(
    const pool_id& pool, const resources& need) const
{
    auto it = too_large.find(pool);
    return it != too_large.end() &&
           std::ranges::any_of(it->second,
               [&](const resources& failed) { return need.holds(failed); });
}

bool coordinator::capacity_index::is_above_overdue_limit(
    const pool_id& pool) const
{
    auto it = usage.find(pool);
    return it == usage.end() || static_cast<double>(it->second.used) >=
                                    static_cast<double>(it->second.total) *
                                        overdue_utilisation_limit;
}

coordinator::capacity_index coordinator::build_capacity_index(boot_time now)
{
    capacity_index out;
    out.now = now;
    for (auto& [id, it] : targets_)
    {
        bool is_suspended =
            options_.judges_targets && it.evidence.is_suspended(now);
        if (it.is_eligible(now) && !is_suspended)
            out.eligible[it.report.pool].push_back(&it);
        if (!it.is_listed)
            continue;
        capacity_index::processors& usage = out.usage[it.report.pool];
        usage.used += it.used.processor;
        usage.total += it.report.capacity.processor;
    }
    return out;
}

void coordinator::gang_placement::add(
    const task_key& key, target_entry& target, const resources& need)
{
    members.emplace_back(key, &target);
    reservation& it = reservations[&target];
    it.used += need;
    ++it.member_count;
}

const coordinator::gang_placement::reservation*
coordinator::gang_placement::find(const target_entry& target) const
{
    auto it = reservations.find(&target);
    return it == reservations.end() ? nullptr : &it->second;
}

std::uint32_t coordinator::get_max_gang_members(
    const target_entry& target) const
{
    double start_ms = target.start_ms > 0 ? target.start_ms : default_start_ms;
    double most = static_cast<double>(options_.gang_wait.count()) *
                  gang_start_share / start_ms * options_.starts_in_flight;
    return static_cast<std::uint32_t>(std::clamp(most, 1.0, 1e6));
}

target_entry* coordinator::choose_target(const job_entry& entry,
    const task_key& key, const pool_id& pool, capacity_index& capacity,
    gang_placement* placement)
{
    const job& owner = entry.value;
    const step_spec& step = owner.get_step(key);
    resources need = step.get_counted_need();
    if (capacity.is_known_too_large(pool, need))
        return nullptr;
    auto count_here = [&](const target_entry& it)
    {
        auto n = std::ranges::count_if(it.runs,
            [&](const task_name& run)
            {
                return run.job == owner.get_id() && run.key.step == key.step &&
                       run.key.occurrence == key.occurrence;
            });
        const auto* reserved = placement ? placement->find(it) : nullptr;
        return n + (reserved ? reserved->member_count : 0);
    };
    auto get_free = [&](const target_entry& it)
    {
        const auto* reserved = placement ? placement->find(it) : nullptr;
        return reserved ? it.get_free() - reserved->used : it.get_free();
    };
    auto failed_at = entry.failed_at.find(key);
    target_entry* best = nullptr;
    auto rank = [&](const target_entry& it)
    {
        bool has_failed_here = failed_at != entry.failed_at.end() &&
                               failed_at->second.contains(it.report.target);
        bool is_slow =
            options_.judges_targets && it.evidence.is_slow(capacity.now);
        bool is_near_data =
            step.data_rack.get().empty() || it.has_label(step.data_rack.get());
        // Filling the fullest target that has capacity keeps other targets
        // free for large tasks and for leaving the pool.
        resources free = get_free(it);
        target_fit fit{false, free.processor};
        if (options_.packs_by_shape)
            fit = measure_fit(it, free, need);
        return std::tuple(has_failed_here, is_slow, !is_near_data, fit);
    };
    for (target_entry* it : capacity.eligible[pool])
    {
        if (!get_free(*it).holds(need))
            continue;
        if (!step.required_label.empty() && !it->has_label(step.required_label))
            continue;
        if (step.max_per_target > 0 && count_here(*it) >= step.max_per_target)
            continue;
        const auto* reserved = placement ? placement->find(*it) : nullptr;
        if (reserved && reserved->member_count >= get_max_gang_members(*it))
        {
            placement->is_limited_by_starts = true;
            continue;
        }
        if (options_.judges_targets && !it->runs.empty() &&
            it->evidence.is_on_probation(capacity.now))
            continue;
        if (!best || rank(*it) < rank(*best))
            best = it;
    }
    // What does not fit beside other members of its gang may fit alone.
    bool is_unconstrained = step.required_label.empty() &&
                            step.max_per_target == 0 &&
                            (!placement || placement->members.empty());
    if (!best && is_unconstrained)
        capacity.too_large[pool].push_back(need);
    return best;
}

void coordinator::plan_job(job_entry& entry, capacity_index& capacity,
    boot_time now, std::vector<start_decision>& starts)
{
    job& owner = entry.value;
    const queue_config* queue = entry.queue;
    if (!queue)
        return;
    std::vector<task_key> left;
    // The tasks of a step have the same needs: when one of them cannot start,
    // neither can the others.
    std::optional<task_key> blocked;
    entry.is_over_limit = false;
    for (std::size_t i = 0; i < entry.waiting.size(); ++i)
    {
        task_key key = entry.waiting[i];
        const step_spec& step = owner.get_step(key);
        if (entry.is_overdue && capacity.is_above_overdue_limit(queue->pool))
        {
            left.insert(
                left.end(), entry.waiting.begin() + i, entry.waiting.end());
            break;
        }
        if (step.is_gang)
        {
            std::size_t first = i;
            if (!place_gang(entry, i, capacity, *queue, now, starts))
                left.insert(left.end(), entry.waiting.begin() + first,
                    entry.waiting.begin() + i + 1);
            continue;
        }
        if (blocked && blocked->step == key.step &&
            blocked->occurrence == key.occurrence)
        {
            left.push_back(key);
            continue;
        }
        target_entry* target = nullptr;
        if (fits_team_limit(owner.get_team(), step.need))
            target = choose_target(entry, key, queue->pool, capacity);
        else
            entry.is_over_limit = true;
        if (!target)
        {
            blocked = key;
            left.push_back(key);
            continue;
        }
        task_name name{owner.get_id(), key};
        target_id id = target->report.target;
        run_number number = owner.assign(key, id);
        std::uint64_t assignment = add_run(name, owner, id, number, now);
        mark_changed(entry);
        starts.push_back({name, number, id, assignment});
        capacity.usage[queue->pool].used += step.get_counted_need().processor;
    }
    entry.waiting = std::move(left);
    update_queued_count(entry);
    if (entry.waiting.empty() || entry.is_over_limit || entry.is_overdue)
        entry.waiting_since.reset();
    else if (!entry.waiting_since)
        entry.waiting_since = now;
}

bool coordinator::place_gang(job_entry& entry, std::size_t& at,
    capacity_index& capacity, const queue_config& queue, boot_time now,
    std::vector<start_decision>& starts)
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
    // All members start together, so that any member that still runs has to
    // end first.
    if (members.size() != step.task_count)
        return false;
    if (!fits_team_limit(owner.get_team(), step.need * step.task_count))
        return false;
    gang_placement placement;
    for (const task_key& it : members)
    {
        target_entry* target =
            choose_target(entry, it, queue.pool, capacity, &placement);
        if (!target)
        {
            if (placement.is_limited_by_starts)
                gangs_beyond_start_rate_.insert(owner.get_id());
            return false;
        }
        placement.add(it, *target, step.get_counted_need());
    }
    std::uint64_t number = 0;
    for (const task_key& it : members)
        if (const task_progress* task = owner.find_task(it))
            number = std::max(number, task->last_number.get());
    owner.share_checkpoint(first.occurrence, first.step);
    for (const auto& [key, target] : placement.members)
    {
        task_name name{owner.get_id(), key};
        target_id id = target->report.target;
        run_number run = owner.assign(key, id, run_number(number + 1));
        std::uint64_t assignment = add_run(name, owner, id, run, now);
        starts.push_back({name, run, id, assignment});
    }
    mark_changed(entry);
    return true;
}

} // namespace cowslippass
