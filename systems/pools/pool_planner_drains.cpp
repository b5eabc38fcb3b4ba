#include "systems/pools/pool_planner.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Tasks for which a drained instance has capacity wait no longer than this:
/// those of a pool that is not half in use, and long-running ones.
constexpr milliseconds patience{1'500};
constexpr milliseconds long_running_patience{3'000};

} // namespace

bool pool_planner::is_closed_for_order(
    const open_order& open, const coordinator& decisions, boot_time now) const
{
    const instance_id& id = open.order.instance;
    bool is_put_off = drains_.was_put_off(id) && has_work(open, decisions);
    return open.accepted_at || may_be_on_its_way(open, now) || !is_put_off;
}

void pool_planner::cordon_ordered_targets(coordinator& decisions, boot_time now)
{
    std::set<target_id> closed;
    std::set<target_id> may_end;
    for (auto& [id, open] : open_orders_)
    {
        const platform_instance* found = find_instance(id);
        if (found && !found->target.get().empty())
            open.targets.insert(found->target);
        if (is_closed_for_order(open, decisions, now))
            closed.insert(open.targets.begin(), open.targets.end());
        if (may_be_on_its_way(open, now))
            may_end.insert(open.targets.begin(), open.targets.end());
    }
    for (const auto& [id, it] : drains_.get_drains())
        closed.insert(it.target);
    for (const auto& [id, it] : decisions.get_targets())
    {
        if (it.is_cordoned != closed.contains(id))
            decisions.set_cordon(id, !it.is_cordoned);
        if (it.may_end != may_end.contains(id))
            decisions.set_may_end(id, !it.may_end);
    }
}

void pool_planner::end_undue_drains(const coordinator& decisions)
{
    const auto& waves = decisions.get_published_state().waves;
    auto is_due = [&](const instance_id& id, const instance_drain& it)
    {
        auto wave = waves.find(it.wave);
        const platform_instance* found = find_instance(id);
        if (wave == waves.end() || !found || found->target != it.target ||
            found->condition != instance_condition::up)
            return false;
        auto open = open_orders_.find(id);
        if (open != open_orders_.end())
            return open->second.order.wave == it.wave &&
                   !open->second.accepted_at;
        return !get_begun_instances(it.wave).contains(id) &&
               std::ranges::find(wave->second.instances, id) !=
                   wave->second.instances.end();
    };
    drains_.end_unless(is_due, decisions);
}

void pool_planner::begin_drain(const platform_instance& instance,
    std::uint64_t wave, coordinator& decisions, boot_time now)
{
    drains_.begin(
        instance.instance, {instance.target, wave, now, now}, decisions);
    decisions.set_cordon(instance.target, true);
}

void pool_planner::interrupt_tasks(const platform_instance& instance,
    bool can_be_ordered, coordinator& decisions, boot_time now,
    pool_decisions& out)
{
    auto target = decisions.get_targets().find(instance.target);
    if (target == decisions.get_targets().end())
        return;
    bool has_other_runs = false;
    std::vector<task_name> left;
    for (const task_name& task : target->second.runs)
    {
        const active_run& run = decisions.get_runs().at(task);
        if (run.must_stop)
            continue;
        if (run.is_long_running || !decisions.find_job(task.job))
            left.push_back(task);
        else
            has_other_runs = true;
    }
    // Without room elsewhere, a task is away until the instance is back.
    bool are_last = !has_other_runs && can_be_ordered &&
                    list_displaced_tasks(decisions, target->second).empty();
    std::optional<long_running_room> room;
    auto has_room = [&](const task_name& task)
    {
        const job* owner = decisions.find_job(task.job);
        if (!owner || are_last)
            return true;
        if (!room)
        {
            room = measure_room(instance, decisions, now);
            reserve_for_waiting_tasks(*room, instance.pool, decisions);
        }
        return room->reserve({{task, &owner->get_step(task.key), 1}});
    };
    for (const task_name& it : left)
        if (decisions.may_interrupt(it) && has_room(it))
        {
            decisions.stop_run(it);
            out.tasks_to_stop.push_back(it);
        }
}

void pool_planner::reserve_for_waiting_tasks(long_running_room& room,
    const pool_id& pool, const coordinator& decisions) const
{
    auto demand = demands_.find(pool);
    if (demand != demands_.end())
        for (const waiting_shape& it : demand->second.waiting_shapes)
            if (it.is_long_running)
                room.reserve_some({{it.owner->get_id(), it.key},
                    &it.owner->get_step(it.key), it.count});
    for (const stop_decision& it : decisions.list_stops())
    {
        const job* owner = decisions.find_job(it.task.job);
        auto target = decisions.get_targets().find(it.target);
        bool is_needed_here = owner && !owner->is_ended() &&
                              target != decisions.get_targets().end() &&
                              target->second.report.pool == pool;
        if (is_needed_here && owner->get_step(it.task.key).is_long_running)
            room.reserve_some({it.task, &owner->get_step(it.task.key), 1});
    }
}

void pool_planner::drain_for_order(const open_order& open,
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    const platform_instance& instance = *find_instance(open.order.instance);
    const instance_id& id = instance.instance;
    if (!drains_.contains(id))
    {
        if (!drains_.may_retry(id, now))
            return;
        if (drains_.was_put_off(id) &&
            !can_be_emptied(instance, decisions, now))
        {
            drains_.postpone(
                id, {instance.target, open.order.wave, now, now}, decisions);
            return;
        }
        begin_drain(instance, open.order.wave, decisions, now);
    }
    interrupt_tasks(instance, true, decisions, now, out);
    drains_.update_progress(id, decisions, now);
    if (!may_be_on_its_way(open, now) &&
        is_drain_too_costly(instance, false, decisions, now))
        drains_.give_up(id, decisions, now);
}

void pool_planner::advance_drains(const maintenance_wave& wave,
    const std::vector<const platform_instance*>& due, std::size_t unavailable,
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    bool has_other = std::ranges::any_of(due,
        [&](const platform_instance* it)
        {
            return !drains_.contains(it->instance) &&
                   drains_.may_retry(it->instance, now);
        });
    bool can_be_ordered = unavailable < wave.max_unavailable_instances;
    for (const platform_instance* it : due)
    {
        auto drain = drains_.get_drains().find(it->instance);
        if (drain == drains_.get_drains().end() ||
            drain->second.wave != wave.number)
            continue;
        interrupt_tasks(*it, can_be_ordered, decisions, now, out);
        drains_.update_progress(it->instance, decisions, now);
        if (is_drain_too_costly(*it, has_other, decisions, now))
            drains_.give_up(it->instance, decisions, now);
    }
}

void pool_planner::begin_drains(const maintenance_wave& wave,
    const std::vector<const platform_instance*>& due, std::size_t unavailable,
    coordinator& decisions, boot_time now)
{
    // Instances with an open order are among the unavailable ones.
    unavailable +=
        static_cast<std::size_t>(std::ranges::count_if(drains_.get_drains(),
            [&](const auto& it) {
                return it.second.wave == wave.number &&
                       !open_orders_.contains(it.first);
            }));
    for (const platform_instance* it : due)
    {
        if (unavailable >= wave.max_unavailable_instances)
            return;
        if (drains_.contains(it->instance) ||
            !drains_.may_retry(it->instance, now))
            continue;
        if (!can_be_emptied(*it, decisions, now))
        {
            drains_.postpone(
                it->instance, {it->target, wave.number, now, now}, decisions);
            continue;
        }
        begin_drain(*it, wave.number, decisions, now);
        ++unavailable;
    }
}

bool pool_planner::can_be_emptied(const platform_instance& instance,
    const coordinator& decisions, boot_time now) const
{
    auto target = decisions.get_targets().find(instance.target);
    if (target == decisions.get_targets().end())
        return true;
    auto displaced = list_displaced_tasks(decisions, target->second);
    if (displaced.empty())
        return true;
    long_running_room room = measure_room(instance, decisions, now);
    for (const auto& [id, it] : drains_.get_drains())
    {
        auto drained = decisions.get_targets().find(it.target);
        if (id == instance.instance ||
            drained == decisions.get_targets().end() ||
            drained->second.report.pool != instance.pool)
            continue;
        for (const displaced_tasks& tasks :
            list_displaced_tasks(decisions, drained->second))
            room.reserve_some(tasks);
    }
    return room.reserve(displaced);
}

long_running_room pool_planner::measure_room(const platform_instance& instance,
    const coordinator& decisions, boot_time now) const
{
    const auto& evacuated = decisions.get_published_state().evacuated;
    long_running_room out;
    for (const auto& [id, it] : decisions.get_targets())
        if (id != instance.target && it.report.pool == instance.pool &&
            it.is_eligible(now))
            out.add_target(it);
    for (const platform_instance& it : instances_)
        if (standby_pool_ && it.pool == *standby_pool_ && can_take_order(it) &&
            !evacuated.contains(it.data_centre) &&
            !incompatible_moves_.contains({it.instance, instance.pool}))
            out.add_spare(it.capacity);
    return out;
}

bool pool_planner::holds_back_tasks(
    const platform_instance& instance, const coordinator& decisions) const
{
    auto target = decisions.get_targets().find(instance.target);
    auto demand = demands_.find(instance.pool);
    auto usage = usages_.find(instance.pool);
    if (target == decisions.get_targets().end() || demand == demands_.end() ||
        usage == usages_.end())
        return false;
    bool is_half_empty = usage->second.get_used() * 2 <
                         usage->second.get_used() + usage->second.get_free();
    auto could_start = [&](const waiting_shape& it)
    {
        return may_run_beside(target->second, {it.owner->get_id(), it.key},
            it.owner->get_step(it.key));
    };
    auto has_waited = [&](const waiting_shape& it)
    {
        return it.is_long_running ? it.waited >= long_running_patience
                                  : is_half_empty && it.waited >= patience;
    };
    return std::ranges::any_of(demand->second.waiting_shapes,
               [&](const waiting_shape& it)
               { return has_waited(it) && could_start(it); }) ||
           (is_half_empty &&
               std::ranges::any_of(demand->second.overdue_shapes, could_start));
}

bool pool_planner::is_drain_too_costly(const platform_instance& instance,
    bool has_other_due, const coordinator& decisions, boot_time now) const
{
    bool is_short = is_short_of_capacity(instance.pool);
    if (drains_.is_blocked(instance.instance, now) &&
        (has_other_due || is_short))
        return true;
    return is_short && holds_back_tasks(instance, decisions);
}

bool pool_planner::is_short_of_capacity(const pool_id& pool) const
{
    auto sizing = sizings_.find(pool);
    bool is_growing = std::ranges::any_of(open_orders_,
        [&](const auto& it) { return it.second.order.pool == pool; });
    return sizing != sizings_.end() && sizing->second.has_waiting_tasks &&
           !is_growing;
}

} // namespace cowslippass
