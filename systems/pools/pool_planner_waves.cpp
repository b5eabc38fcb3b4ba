#include "systems/pools/pool_planner.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Instances with running tasks are drained for a wave once this fraction of
/// its time limit has passed.
constexpr double drain_start_ratio = 0.25;

} // namespace

void pool_planner::restore_wave(
    std::uint64_t wave, const wave_progress& progress, boot_time now)
{
    begun_instances_[wave].insert(progress.begun.begin(), progress.begun.end());
    wave_first_seen_.emplace(wave, progress.first_seen);
    for (const auto& [id, target] : progress.ordered)
    {
        open_order open;
        open.order = {id, {}, wave};
        if (!target.get().empty())
            open.cordoned.insert(target);
        open.sent_at = now;
        open.last_sent_at = now;
        open.resend_at = now;
        open.was_resent = true;
        open.is_inherited = true;
        open_orders_.emplace(id, std::move(open));
    }
}

std::optional<wave_progress> pool_planner::get_wave_progress(
    std::uint64_t wave) const
{
    auto seen = get_wave_first_seen(wave);
    if (!seen)
        return std::nullopt;
    wave_progress out{get_begun_instances(wave), {}, *seen};
    for (const auto& [id, it] : open_orders_)
        if (it.order.is_maintenance() && it.order.wave == wave &&
            !it.accepted_at)
            out.ordered.emplace(id, it.target);
    return out;
}

std::optional<boot_time> pool_planner::get_wave_first_seen(
    std::uint64_t wave) const
{
    auto it = wave_first_seen_.find(wave);
    return it == wave_first_seen_.end() ? std::nullopt
                                        : std::optional(it->second);
}

const std::map<instance_id, boot_time>& pool_planner::get_begun_instances(
    std::uint64_t wave) const
{
    static const std::map<instance_id, boot_time> none;
    auto it = begun_instances_.find(wave);
    return it == begun_instances_.end() ? none : it->second;
}

bool pool_planner::is_wave_completed(const maintenance_wave& wave) const
{
    if (instances_.empty())
        return false;
    const auto& begun = get_begun_instances(wave.number);
    return std::ranges::all_of(wave.instances, [&](const instance_id& it)
        { return begun.contains(it) || !find_instance(it); });
}

std::size_t pool_planner::count_in_maintenance(
    const maintenance_wave& wave, boot_time now) const
{
    const auto& begun = get_begun_instances(wave.number);
    std::size_t n = 0;
    for (const instance_id& id : wave.instances)
    {
        auto open = open_orders_.find(id);
        bool is_ordered =
            open != open_orders_.end() && open->second.order.is_maintenance();
        const platform_instance* it = find_instance(id);
        bool is_down =
            it && it->condition == instance_condition::in_maintenance;
        // The list may be older than an order that a predecessor sent.
        auto since = begun.find(id);
        bool has_begun_recently =
            since != begun.end() &&
            now - since->second < options_.maintenance_time;
        if (is_ordered || is_down || has_begun_recently)
            ++n;
    }
    return n;
}

void pool_planner::drain(const platform_instance& instance, std::uint64_t wave,
    coordinator& decisions, pool_decisions& out)
{
    decisions.set_cordon(instance.target, true);
    auto target = decisions.get_targets().find(instance.target);
    bool is_known = target != decisions.get_targets().end();
    if (draining_targets_.insert(instance.target).second)
        out.begun_drains.push_back({instance.instance, instance.target, wave,
            is_known ? target->second.runs.size() : 0});
    if (!is_known)
        return;
    for (const task_name& it : target->second.runs)
        if (decisions.may_interrupt(it))
        {
            decisions.stop_run(it);
            out.tasks_to_stop.push_back(it);
        }
}

void pool_planner::plan_maintenance(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    for (const auto& [number, wave] : decisions.get_published_state().waves)
    {
        boot_time seen = wave_first_seen_.emplace(number, now).first->second;
        bool is_drain_due = now - seen >= wave.time_limit * drain_start_ratio;
        std::size_t down = count_in_maintenance(wave, now);
        const auto& begun = begun_instances_[number];
        std::vector<const platform_instance*> due;
        for (const instance_id& id : wave.instances)
            if (const platform_instance* it = find_instance(id);
                it && !begun.contains(id) && can_take_order(*it) &&
                order_backoff_until_[id] <= now)
                due.push_back(it);
        // Maintenance of instances without running tasks costs nothing, so they
        // come first, and of these the ones without a target.
        auto rank = [&](const platform_instance* it)
        {
            bool has_target = !it->target.get().empty();
            auto target = decisions.get_targets().find(it->target);
            std::size_t runs = target == decisions.get_targets().end()
                                   ? 0
                                   : target->second.runs.size();
            return std::pair(has_target, runs);
        };
        std::ranges::sort(due, {}, rank);
        std::size_t open_drains = 0;
        for (const platform_instance* it : due)
        {
            if (down + open_drains >= wave.max_unavailable_instances)
                break;
            if (order_tokens_ >= 1 &&
                (it->target.get().empty() || is_idle(*it, now, {})))
            {
                draining_targets_.erase(it->target);
                issue_order(
                    *it, {it->instance, {}, number}, decisions, now, out);
                ++down;
                continue;
            }
            if (!is_drain_due && !draining_targets_.contains(it->target))
                continue;
            drain(*it, number, decisions, out);
            ++open_drains;
        }
    }
}

} // namespace cowslippass
