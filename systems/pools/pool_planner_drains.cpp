#include "systems/pools/pool_planner.hpp"

#include <algorithm>

namespace cowslippass
{

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
    std::uint64_t wave, coordinator& decisions, boot_time now,
    pool_decisions& out)
{
    drains_.begin(
        instance.instance, {instance.target, wave, now, now}, decisions);
    decisions.set_cordon(instance.target, true);
    drains_.advance(instance.instance, decisions, now, out.tasks_to_stop);
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
        if (drains_.was_given_up(id) &&
            !can_be_emptied(instance, decisions, now))
        {
            drains_.postpone(
                id, {instance.target, open.order.wave, now, now}, decisions);
            return;
        }
        begin_drain(instance, open.order.wave, decisions, now, out);
        return;
    }
    drains_.advance(id, decisions, now, out.tasks_to_stop);
    if (drains_.is_blocked(id, now) && !may_be_on_its_way(open, now) &&
        is_short_of_capacity(instance.pool))
        drains_.give_up(id, decisions, now);
}

void pool_planner::advance_drains(const maintenance_wave& wave,
    const std::vector<const platform_instance*>& due, coordinator& decisions,
    boot_time now, pool_decisions& out)
{
    bool has_other = std::ranges::any_of(due,
        [&](const platform_instance* it)
        {
            return !drains_.contains(it->instance) &&
                   drains_.may_retry(it->instance, now);
        });
    for (const platform_instance* it : due)
    {
        auto drain = drains_.get_drains().find(it->instance);
        if (drain == drains_.get_drains().end() ||
            drain->second.wave != wave.number)
            continue;
        drains_.advance(it->instance, decisions, now, out.tasks_to_stop);
        if (drains_.is_blocked(it->instance, now) &&
            (has_other || is_short_of_capacity(it->pool)))
            drains_.give_up(it->instance, decisions, now);
    }
}

void pool_planner::begin_drains(const maintenance_wave& wave,
    const std::vector<const platform_instance*>& due, std::size_t unavailable,
    coordinator& decisions, boot_time now, pool_decisions& out)
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
        begin_drain(*it, wave.number, decisions, now, out);
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
    return displaced.empty() ||
           measure_room(instance, decisions, now).reserve(displaced);
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
    for (const auto& [id, it] : drains_.get_drains())
        if (auto target = decisions.get_targets().find(it.target);
            id != instance.instance &&
            target != decisions.get_targets().end() &&
            target->second.report.pool == instance.pool)
            out.reserve(list_displaced_tasks(decisions, target->second));
    return out;
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
