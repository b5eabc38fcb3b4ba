#include "systems/pools/pool_planner.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// An order without a reply is sent again after this time.
constexpr milliseconds resend_interval{700};
/// An instance whose order was rejected gets no other one for this time.
constexpr milliseconds order_backoff{1'000};
/// An arrival rate that loses at least this share of itself in a second falls.
constexpr double falling_share_per_second = 0.15;
/// The effect of an order shows in the instance list within this time after the
/// order's duration.
constexpr milliseconds list_update_margin{3'000};

/// @return the part of the concurrent need that the arrival rate does not
///   explain, in cores: a backlog of short tasks cannot use more than this at
///   once.
double measure_unserved_cores(const pool_demand& demand)
{
    std::int64_t concurrent = demand.used.processor + demand.waiting.processor -
                              demand.long_running_need.processor;
    return std::max(
        0.0, static_cast<double>(concurrent) / 1'000.0 - demand.offered_cores);
}

} // namespace

pool_planner::pool_planner(pool_planner_options options) : options_(options) {}

void pool_planner::set_instances(
    std::vector<platform_instance> instances, boot_time sent_at)
{
    instances_ = std::move(instances);
    instance_index_.clear();
    for (std::size_t i = 0; i < instances_.size(); ++i)
        instance_index_.emplace(instances_[i].instance, i);
    list_requested_at_ = sent_at;
}

const platform_instance* pool_planner::find_instance(
    const instance_id& id) const
{
    auto it = instance_index_.find(id);
    return it == instance_index_.end() ? nullptr : &instances_[it->second];
}

std::vector<target_id> pool_planner::find_ended_incarnations(
    const coordinator& decisions, boot_time now)
{
    std::vector<target_id> out;
    if (instances_.empty())
        return out;
    std::set<target_id> named;
    for (const platform_instance& it : instances_)
        if (!it.target.get().empty() &&
            it.condition != instance_condition::down)
            named.insert(it.target);
    std::erase_if(unlisted_since_,
        [&](const auto& it)
        {
            return named.contains(it.first) ||
                   !decisions.get_targets().contains(it.first);
        });
    for (const auto& [id, target] : decisions.get_targets())
    {
        if (named.contains(id))
            continue;
        boot_time since = unlisted_since_.emplace(id, now).first->second;
        if (listed_targets_.contains(id) ||
            now - since >= options_.unlisted_grace_period)
            out.push_back(id);
    }
    std::erase_if(listed_targets_, [&](const target_id& it)
        { return !decisions.get_targets().contains(it); });
    listed_targets_.merge(named);
    return out;
}

void pool_planner::track_idle_targets(
    const coordinator& decisions, boot_time now)
{
    for (const auto& [id, target] : decisions.get_targets())
        if (target.has_reported && target.runs.empty())
            idle_since_.emplace(id, now);
        else
            idle_since_.erase(id);
    std::erase_if(idle_since_, [&](const auto& it)
        { return !decisions.get_targets().contains(it.first); });
}

bool pool_planner::can_take_order(const platform_instance& instance) const
{
    return instance.condition == instance_condition::up &&
           !open_orders_.contains(instance.instance);
}

bool pool_planner::is_idle(
    const platform_instance& instance, boot_time now, milliseconds time) const
{
    auto it = idle_since_.find(instance.target);
    return it != idle_since_.end() && now - it->second >= time;
}

milliseconds pool_planner::get_duration(const instance_order& order) const
{
    return order.is_maintenance() ? options_.maintenance_time
                                  : options_.move_time;
}

bool pool_planner::has_work(
    const open_order& open, const coordinator& decisions) const
{
    const platform_instance* found = find_instance(open.order.instance);
    if (!found || found->condition != instance_condition::up)
        return false;
    // A target that has not answered yet has the runs that the ledger names.
    auto target = decisions.get_targets().find(found->target);
    return target != decisions.get_targets().end() &&
           !target->second.runs.empty();
}

bool pool_planner::may_be_on_its_way(
    const open_order& open, boot_time now) const
{
    return now - open.last_sent_at <
           get_duration(open.order) + list_update_margin;
}

bool pool_planner::is_unanswered_order_over(
    const open_order& open, const coordinator& decisions, boot_time now) const
{
    if (list_requested_at_ <= open.sent_at)
        return false;
    const platform_instance* found = find_instance(open.order.instance);
    if (!found)
        return open.is_inherited;
    bool is_maintenance = open.order.is_maintenance();
    // A repeated move to the pool that the instance is in has no effect.
    if (!is_maintenance && found->condition == instance_condition::up &&
        found->pool == open.order.pool)
        return true;
    // The order is never repeated unless the instance is drained for it.
    bool is_wanted =
        is_maintenance &&
        decisions.get_published_state().waves.contains(open.order.wave);
    return !is_wanted && has_work(open, decisions) &&
           !may_be_on_its_way(open, now);
}

bool pool_planner::is_accepted_order_over(
    const open_order& open, boot_time now) const
{
    const platform_instance* found = find_instance(open.order.instance);
    bool is_listed_later = list_requested_at_ > *open.accepted_at;
    milliseconds takes = get_duration(open.order);
    bool is_removed = !found && is_listed_later;
    // The instance's new incarnation is another target; in standby it has none.
    bool is_done =
        is_listed_later && found &&
        found->condition == instance_condition::up &&
        (found->target != open.target ||
            (found->target.get().empty() && now - *open.accepted_at >= takes));
    bool has_timed_out = now - *open.accepted_at > takes + list_update_margin;
    return is_done || is_removed || has_timed_out;
}

void pool_planner::close_orders(const coordinator& decisions, boot_time now)
{
    std::erase_if(open_orders_,
        [&](const auto& it)
        {
            return it.second.accepted_at
                       ? is_accepted_order_over(it.second, now)
                       : is_unanswered_order_over(it.second, decisions, now);
        });
}

void pool_planner::measure_pools(const coordinator& decisions, boot_time now)
{
    sizings_.clear();
    const auto& config = decisions.get_published_state().config;
    if (!config)
        return;
    standby_pool_ = config->find_standby_pool();
    resources total;
    std::size_t counted = 0;
    const auto& evacuated = decisions.get_published_state().evacuated;
    for (const platform_instance& it : instances_)
    {
        auto open = open_orders_.find(it.instance);
        bool is_moving =
            open != open_orders_.end() && !open->second.order.is_maintenance();
        pool_id pool = is_moving ? open->second.order.pool : it.pool;
        bool is_usable = it.condition == instance_condition::up ||
                         it.condition == instance_condition::moving;
        auto target = decisions.get_targets().find(it.target);
        // Targets that drain or do not answer add no capacity to their pool.
        bool is_unavailable = target != decisions.get_targets().end() &&
                              (target->second.report.is_draining ||
                                  target->second.consecutive_failures > 0);
        if (is_usable && !is_unavailable && !evacuated.contains(it.data_centre))
            ++sizings_[pool].available_instances;
        if (drains_.contains(it.instance))
            ++sizings_[pool].drained_instances;
        total += it.capacity;
        ++counted;
    }
    if (counted == 0)
        return;
    auto count_instances = [&](double need, std::int64_t sum)
    {
        double each = static_cast<double>(sum) / static_cast<double>(counted) *
                      options_.packing_efficiency;
        return each > 0 ? static_cast<std::uint32_t>(std::ceil(need / each))
                        : 0U;
    };
    demands_ = decisions.measure_demand(now);
    usages_ = measure_usage(decisions.get_targets(), demands_, now);
    for (const auto& [pool, it] : config->pools)
    {
        const pool_demand& demand = demands_[pool];
        pool_sizing& sizing = sizings_[pool];
        resources held = demand.used + demand.waiting;
        // New instances become available after the running tasks have ended:
        // the arrival rate and the backlog decide, not the current usage.
        double backlog_cores =
            demand.waiting_core_ms /
            static_cast<double>(options_.backlog_clearing_time.count());
        if (options_.packs_by_shape)
            backlog_cores =
                std::min(backlog_cores, measure_unserved_cores(demand));
        std::chrono::duration<double> lead =
            options_.move_time + options_.scale_up_lead;
        double expected_rise =
            std::max(0.0, demand.offered_cores_slope) * lead.count();
        double processor =
            (demand.offered_cores + expected_rise + backlog_cores) * 1'000.0 +
            static_cast<double>(demand.long_running_need.processor);
        sizing.is_falling = demand.offered_cores_slope <
                            -demand.offered_cores * falling_share_per_second;
        sizing.used_cores =
            static_cast<double>(demand.used.processor) / 1'000.0;
        sizing.waiting_cores =
            static_cast<double>(demand.waiting.processor) / 1'000.0;
        sizing.offered_cores = demand.offered_cores;
        sizing.spread = demand.spread;
        sizing.required_instances = std::max({demand.spread,
            count_instances(processor, total.processor),
            count_instances(static_cast<double>(held.memory), total.memory)});
        double overdue =
            demand.overdue_core_ms /
            static_cast<double>(options_.overdue_backlog_clearing_time.count());
        sizing.retained_instances =
            count_instances(processor + overdue * 1'000.0, total.processor);
        sizing.has_waiting_tasks =
            demand.longest_wait >= options_.fragmentation_delay ||
            demand.overdue_core_ms > 0;
        boot_time& next = next_fragmentation_growth_[pool];
        if (demand.longest_wait >= options_.fragmentation_delay && now >= next)
        {
            sizing.required_instances = std::max(
                sizing.required_instances, sizing.available_instances + 1);
            // Wait for the effect of this instance before adding another one.
            next = now + options_.move_time + options_.fragmentation_delay;
        }
        sizing.retained_instances =
            std::max(sizing.retained_instances, sizing.required_instances);
    }
}

void pool_planner::issue_order(const platform_instance& instance,
    instance_order order, coordinator& decisions, boot_time now,
    pool_decisions& out)
{
    --order_tokens_;
    drains_.end(instance.instance,
        order.is_maintenance() ? drain_event::finished
                               : drain_event::no_longer_due,
        decisions);
    decisions.set_cordon(instance.target, true);
    open_order open;
    open.order = order;
    open.target = instance.target;
    open.targets = {instance.target};
    open.sent_at = now;
    open.last_sent_at = now;
    open.resend_at = now + resend_interval;
    open_orders_[instance.instance] = std::move(open);
    out.orders.push_back(std::move(order));
}

const platform_instance* pool_planner::choose_instance_to_move(
    const pool_id& pool, const coordinator& decisions, boot_time now) const
{
    const auto& evacuated = decisions.get_published_state().evacuated;
    const platform_instance* best = nullptr;
    for (const platform_instance& it : instances_)
    {
        auto held = order_backoff_until_.find(it.instance);
        if (it.pool == pool || !can_take_order(it) ||
            evacuated.contains(it.data_centre) ||
            incompatible_moves_.contains({it.instance, pool}) ||
            (held != order_backoff_until_.end() && held->second > now))
            continue;
        bool is_standby = standby_pool_ && it.pool == *standby_pool_;
        auto sizing = sizings_.find(it.pool);
        bool is_surplus =
            sizing != sizings_.end() && sizing->second.available_instances >
                                            sizing->second.required_instances;
        // Taking a surplus idle instance from another pool saves its move to
        // standby.
        if (!is_standby && is_surplus && is_idle(it, now, {}))
            return &it;
        if (is_standby && !best)
            best = &it;
    }
    return best;
}

void pool_planner::plan_scale_up(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    for (auto& [pool, sizing] : sizings_)
    {
        if (standby_pool_ && pool == *standby_pool_)
            continue;
        while (sizing.available_instances < sizing.required_instances &&
               order_tokens_ >= 1)
        {
            const platform_instance* it =
                choose_instance_to_move(pool, decisions, now);
            if (!it)
                break;
            --sizings_[it->pool].available_instances;
            ++sizing.available_instances;
            issue_order(*it, {it->instance, pool, 0}, decisions, now, out);
        }
    }
}

void pool_planner::plan_scale_down(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    if (!standby_pool_)
        return;
    for (const platform_instance& it : instances_)
    {
        if (it.pool == *standby_pool_ || !can_take_order(it) ||
            it.target.get().empty() || order_tokens_ < 1 ||
            order_backoff_until_[it.instance] > now ||
            incompatible_moves_.contains({it.instance, *standby_pool_}))
            continue;
        pool_sizing& sizing = sizings_[it.pool];
        if (sizing.available_instances <=
                sizing.retained_instances + options_.idle_reserve ||
            !is_idle(it, now,
                sizing.is_falling ? options_.falling_standby_delay
                                  : options_.standby_delay))
            continue;
        --sizing.available_instances;
        issue_order(it, {it.instance, *standby_pool_, 0}, decisions, now, out);
    }
}

void pool_planner::refill_tokens(boot_time now)
{
    // Token bucket that holds the orders of half a second.
    double max_tokens = options_.orders_per_second / 2;
    std::chrono::duration<double> passed =
        now - tokens_refilled_at_.value_or(now);
    order_tokens_ =
        tokens_refilled_at_
            ? std::min(max_tokens,
                  order_tokens_ + passed.count() * options_.orders_per_second)
            : max_tokens;
    tokens_refilled_at_ = now;
}

void pool_planner::resend_orders(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    const auto& waves = decisions.get_published_state().waves;
    for (auto& [id, it] : open_orders_)
    {
        if (it.accepted_at)
            continue;
        bool is_held_back = has_work(it, decisions);
        if (is_held_back && it.order.is_maintenance() &&
            waves.contains(it.order.wave))
            drain_for_order(it, decisions, now, out);
        if (is_held_back || it.resend_at > now || order_tokens_ < 1)
            continue;
        --order_tokens_;
        it.resend_at = now + resend_interval;
        it.last_sent_at = now;
        it.was_resent = true;
        it.is_inherited = false;
        out.orders.push_back(it.order);
    }
}

pool_decisions pool_planner::plan(coordinator& decisions, boot_time now)
{
    pool_decisions out;
    cordon_ordered_targets(decisions, now);
    if (instances_.empty())
        return out;
    refill_tokens(now);
    track_idle_targets(decisions, now);
    close_orders(decisions, now);
    end_undue_drains(decisions);
    measure_pools(decisions, now);
    resend_orders(decisions, now, out);
    plan_maintenance(decisions, now, out);
    plan_scale_up(decisions, now, out);
    plan_scale_down(decisions, now, out);
    cordon_ordered_targets(decisions, now);
    out.drain_changes = drains_.take_changes();
    demands_.clear();
    return out;
}

void pool_planner::handle_order_reply(const instance_order& order,
    instance_order_outcome outcome, coordinator& decisions, boot_time now)
{
    auto it = open_orders_.find(order.instance);
    if (it == open_orders_.end() || it->second.accepted_at)
        return;
    switch (outcome)
    {
    case instance_order_outcome::accepted:
        it->second.accepted_at = now;
        if (order.is_maintenance())
            begun_instances_[order.wave].emplace(order.instance, now);
        return;
    case instance_order_outcome::no_answer:
        // The order may still take effect, so the target stays cordoned.
        return;
    case instance_order_outcome::refused:
        // The order had no effect and stays open; resend_orders() repeats it.
        return;
    case instance_order_outcome::invalid:
        if (!order.is_maintenance())
            incompatible_moves_.insert({order.instance, order.pool});
        [[fallthrough]];
    case instance_order_outcome::not_in_wave:
        if (order.is_maintenance())
            begun_instances_[order.wave].emplace(order.instance, boot_time{});
        break;
    case instance_order_outcome::busy:
        // The instance is most likely busy with an earlier copy of this order.
        // It still counts against the wave's limit; a later copy gets the reply
        // that the order was accepted.
        if (it->second.was_resent &&
            now - it->second.sent_at < get_duration(order) + list_update_margin)
            return;
        break;
    case instance_order_outcome::stale_fence:
        break;
    }
    order_backoff_until_[order.instance] = now + order_backoff;
    open_orders_.erase(it);
    cordon_ordered_targets(decisions, now);
}

} // namespace cowslippass
