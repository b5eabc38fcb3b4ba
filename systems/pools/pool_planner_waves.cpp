#include "systems/pools/pool_planner.hpp"

#include <algorithm>
#include <tuple>

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
            open.targets.insert(target);
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

std::vector<const platform_instance*> pool_planner::list_due_instances(
    const maintenance_wave& wave, const coordinator& decisions,
    boot_time now) const
{
    const auto& begun = get_begun_instances(wave.number);
    std::vector<const platform_instance*> due;
    for (const instance_id& id : wave.instances)
    {
        const platform_instance* it = find_instance(id);
        auto backoff = order_backoff_until_.find(id);
        if (it && !begun.contains(id) && can_take_order(*it) &&
            (backoff == order_backoff_until_.end() || backoff->second <= now))
            due.push_back(it);
    }
    // Maintenance of instances without running tasks costs nothing, so they
    // come first: before all others those that were drained for it, and then
    // those without a target.
    auto rank = [&](const platform_instance* it)
    {
        auto target = decisions.get_targets().find(it->target);
        std::size_t runs = target == decisions.get_targets().end()
                               ? 0
                               : target->second.runs.size();
        bool is_drained = runs == 0 && drains_.contains(it->instance);
        return std::tuple(!is_drained, !it->target.get().empty(), runs);
    };
    std::ranges::sort(due, {}, rank);
    return due;
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

void pool_planner::plan_maintenance(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    for (const auto& [number, wave] : decisions.get_published_state().waves)
    {
        boot_time seen = wave_first_seen_.emplace(number, now).first->second;
        std::size_t unavailable = count_in_maintenance(wave, now);
        auto due = list_due_instances(wave, decisions, now);
        for (const platform_instance*& it : due)
        {
            if (unavailable >= wave.max_unavailable_instances ||
                order_tokens_ < 1)
                break;
            if (!it->target.get().empty() && !is_idle(*it, now, {}))
                continue;
            issue_order(*it, {it->instance, {}, number}, decisions, now, out);
            ++unavailable;
            it = nullptr;
        }
        std::erase(due, nullptr);
        if (now - seen >= wave.time_limit * drain_start_ratio)
            begin_drains(wave, due, unavailable, decisions, now);
        advance_drains(wave, due, unavailable, decisions, now, out);
    }
}

} // namespace cowslippass
