#include "systems/pools/pool_planner.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

constexpr milliseconds repeat_interval{700};
constexpr milliseconds hold_off_time{1'000};
/// From this share of a wave's time on, busy instances are drained for it.
constexpr double drain_from_share = 0.25;
/// An order's effect shows in the list within this time after its duration.
constexpr milliseconds effect_margin{3'000};

} // namespace

pool_planner::pool_planner(pool_planner_options options) : options_(options) {}

void pool_planner::set_instances(
    std::vector<instance_report> instances, boot_time sent_at)
{
    instances_ = std::move(instances);
    index_.clear();
    for (std::size_t i = 0; i < instances_.size(); ++i)
        index_.emplace(instances_[i].instance, i);
    listed_at_ = sent_at;
}

const instance_report* pool_planner::find_instance(const instance_id& id) const
{
    auto it = index_.find(id);
    return it == index_.end() ? nullptr : &instances_[it->second];
}

std::vector<target_id> pool_planner::find_ended_lives(
    const coordinator& decisions, boot_time now)
{
    std::vector<target_id> out;
    if (instances_.empty())
        return out;
    std::set<target_id> named;
    for (const instance_report& it : instances_)
        if (!it.target.get().empty() &&
            it.condition != instance_condition::down)
            named.insert(it.target);
    std::erase_if(missing_since_,
        [&](const auto& it)
        {
            return named.contains(it.first) ||
                   !decisions.get_targets().contains(it.first);
        });
    for (const auto& [id, target] : decisions.get_targets())
    {
        if (named.contains(id))
            continue;
        boot_time since = missing_since_.emplace(id, now).first->second;
        if (seen_lives_.contains(id) || now - since >= options_.unnamed_after)
            out.push_back(id);
    }
    std::erase_if(seen_lives_, [&](const target_id& it)
        { return !decisions.get_targets().contains(it); });
    seen_lives_.merge(named);
    return out;
}

void pool_planner::load_wave(
    std::uint64_t wave, std::set<instance_id> begun, boot_time seen)
{
    begun_[wave].merge(begun);
    wave_seen_.emplace(wave, seen);
}

std::optional<boot_time> pool_planner::get_first_seen(std::uint64_t wave) const
{
    auto it = wave_seen_.find(wave);
    return it == wave_seen_.end() ? std::nullopt : std::optional(it->second);
}

const std::set<instance_id>& pool_planner::get_begun(std::uint64_t wave) const
{
    static const std::set<instance_id> none;
    auto it = begun_.find(wave);
    return it == begun_.end() ? none : it->second;
}

bool pool_planner::is_wave_completed(const maintenance_wave& wave) const
{
    if (instances_.empty())
        return false;
    const auto& begun = get_begun(wave.number);
    return std::ranges::all_of(wave.instances, [&](const instance_id& it)
        { return begun.contains(it) || !find_instance(it); });
}

void pool_planner::index_targets(const coordinator& decisions, boot_time now)
{
    for (const auto& [id, target] : decisions.get_targets())
        if (target.is_known && target.runs.empty())
            idle_since_.emplace(id, now);
        else
            idle_since_.erase(id);
    std::erase_if(idle_since_, [&](const auto& it)
        { return !decisions.get_targets().contains(it.first); });
}

bool pool_planner::is_free(const instance_report& instance) const
{
    return instance.condition == instance_condition::up &&
           !open_.contains(instance.instance);
}

bool pool_planner::is_idle(
    const instance_report& instance, boot_time now, milliseconds time) const
{
    auto it = idle_since_.find(instance.target);
    return it != idle_since_.end() && now - it->second >= time;
}

milliseconds pool_planner::get_duration(const instance_order& order) const
{
    return order.is_maintenance() ? options_.maintenance_time
                                  : options_.move_time;
}

void pool_planner::close_orders(coordinator& decisions, boot_time now)
{
    for (auto it = open_.begin(); it != open_.end();)
    {
        const open_order& open = it->second;
        const instance_report* found = find_instance(it->first);
        bool is_listed_later =
            open.accepted_at && listed_at_ > *open.accepted_at;
        milliseconds takes = get_duration(open.order);
        bool is_gone = !found && is_listed_later;
        // The new life has another target, or none in standby.
        bool is_done = is_listed_later && found &&
                       found->condition == instance_condition::up &&
                       (found->target != open.target ||
                           (found->target.get().empty() &&
                               now - *open.accepted_at >= takes));
        bool is_overdue =
            open.accepted_at && now - *open.accepted_at > takes + effect_margin;
        if (is_done || is_gone || is_overdue)
        {
            decisions.set_cordon(open.target, false);
            it = open_.erase(it);
        }
        else
            ++it;
    }
}

void pool_planner::measure(const coordinator& decisions, boot_time now)
{
    balances_.clear();
    const auto& config = decisions.get_publication().config;
    if (!config)
        return;
    standby_ = config->find_standby_pool();
    resources total;
    std::size_t counted = 0;
    const auto& evacuated = decisions.get_publication().evacuated;
    for (const instance_report& it : instances_)
    {
        auto open = open_.find(it.instance);
        bool is_moving =
            open != open_.end() && !open->second.order.is_maintenance();
        pool_id pool = is_moving ? open->second.order.pool : it.pool;
        bool is_there = it.condition == instance_condition::up ||
                        it.condition == instance_condition::moving;
        auto target = decisions.get_targets().find(it.target);
        // Instances that leave or are silent give their pool no room.
        bool is_lost =
            target != decisions.get_targets().end() &&
            (target->second.report.is_draining || target->second.failures > 0);
        if (is_there && !is_lost && !evacuated.contains(it.data_centre))
            ++balances_[pool].present;
        total += it.capacity;
        ++counted;
    }
    if (counted == 0)
        return;
    auto count_instances = [&](double need, std::int64_t sum)
    {
        double each = static_cast<double>(sum) / static_cast<double>(counted) *
                      options_.fill_share;
        return each > 0 ? static_cast<std::uint32_t>(std::ceil(need / each))
                        : 0U;
    };
    auto demands = decisions.measure_demand(now);
    for (const auto& [pool, it] : config->pools)
    {
        const pool_demand& demand = demands[pool];
        pool_balance& balance = balances_[pool];
        resources held = demand.used + demand.waiting;
        // New instances come after the present tasks have ended: what comes
        // in and the backlog decide, not what runs.
        double catch_up = demand.waiting_work /
                          static_cast<double>(options_.catch_up.count());
        double processor = (demand.offered_cores + catch_up) * 1'000.0 +
                           static_cast<double>(demand.lasting.processor);
        balance.used_cores =
            static_cast<double>(demand.used.processor) / 1'000.0;
        balance.waiting_cores =
            static_cast<double>(demand.waiting.processor) / 1'000.0;
        balance.offered_cores = demand.offered_cores;
        balance.spread = demand.spread;
        balance.needed = std::max({demand.spread,
            count_instances(processor, total.processor),
            count_instances(static_cast<double>(held.memory), total.memory)});
        double overdue = demand.overdue_work /
                         static_cast<double>(options_.overdue_catch_up.count());
        balance.kept =
            count_instances(processor + overdue * 1'000.0, total.processor);
        boot_time& next = next_unstick_[pool];
        if (demand.longest_wait >= options_.stuck_after && now >= next)
        {
            balance.needed = std::max(balance.needed, balance.present + 1);
            // The next decision waits for what this instance changes.
            next = now + options_.move_time + options_.stuck_after;
        }
        balance.kept = std::max(balance.kept, balance.needed);
    }
}

std::size_t pool_planner::count_in_maintenance(
    const maintenance_wave& wave) const
{
    std::size_t n = 0;
    for (const instance_id& id : wave.instances)
    {
        auto open = open_.find(id);
        bool is_ordered =
            open != open_.end() && open->second.order.is_maintenance();
        const instance_report* it = find_instance(id);
        bool is_down =
            it && it->condition == instance_condition::in_maintenance;
        if (is_ordered || is_down)
            ++n;
    }
    return n;
}

void pool_planner::send(const instance_report& instance, instance_order order,
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    --order_tokens_;
    decisions.set_cordon(instance.target, true);
    open_order open;
    open.order = order;
    open.target = instance.target;
    open.sent_at = now;
    open.repeat_at = now + repeat_interval;
    open_[instance.instance] = std::move(open);
    out.orders.push_back(std::move(order));
}

void pool_planner::drain(const instance_report& instance,
    coordinator& decisions, pool_decisions& out)
{
    decisions.set_cordon(instance.target, true);
    draining_.insert(instance.target);
    auto target = decisions.get_targets().find(instance.target);
    if (target == decisions.get_targets().end())
        return;
    for (const task_name& it : target->second.runs)
        if (decisions.may_interrupt(it))
        {
            decisions.stop_run(it);
            out.stops.push_back(it);
        }
}

void pool_planner::plan_maintenance(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    for (const auto& [number, wave] : decisions.get_publication().waves)
    {
        boot_time seen = wave_seen_.emplace(number, now).first->second;
        bool is_pressing = now - seen >= wave.time_limit * drain_from_share;
        std::size_t down = count_in_maintenance(wave);
        const auto& begun = begun_[number];
        std::vector<const instance_report*> due;
        for (const instance_id& id : wave.instances)
            if (const instance_report* it = find_instance(id);
                it && !begun.contains(id) && is_free(*it) &&
                hold_off_[id] <= now)
                due.push_back(it);
        // Instances without work first: their maintenance costs nothing.
        auto rank = [&](const instance_report* it)
        {
            bool is_off = it->target.get().empty();
            auto target = decisions.get_targets().find(it->target);
            std::size_t runs = target == decisions.get_targets().end()
                                   ? 0
                                   : target->second.runs.size();
            return std::pair(!is_off, runs);
        };
        std::ranges::sort(due, {}, rank);
        std::size_t open_drains = 0;
        for (const instance_report* it : due)
        {
            if (down + open_drains >= wave.max_unavailable_instances)
                break;
            if (order_tokens_ >= 1 &&
                (it->target.get().empty() || is_idle(*it, now, {})))
            {
                draining_.erase(it->target);
                send(*it, {it->instance, {}, number}, decisions, now, out);
                ++down;
                continue;
            }
            if (!is_pressing && !draining_.contains(it->target))
                continue;
            drain(*it, decisions, out);
            ++open_drains;
        }
    }
}

const instance_report* pool_planner::choose_spare(
    const pool_id& pool, const coordinator& decisions, boot_time now) const
{
    const auto& evacuated = decisions.get_publication().evacuated;
    const instance_report* best = nullptr;
    for (const instance_report& it : instances_)
    {
        auto held = hold_off_.find(it.instance);
        if (it.pool == pool || !is_free(it) ||
            evacuated.contains(it.data_centre) ||
            incompatible_.contains({it.instance, pool}) ||
            (held != hold_off_.end() && held->second > now))
            continue;
        bool is_off = standby_ && it.pool == *standby_;
        auto balance = balances_.find(it.pool);
        bool is_surplus = balance != balances_.end() &&
                          balance->second.present > balance->second.needed;
        // An idle instance of another pool saves the move to standby.
        if (!is_off && is_surplus && is_idle(it, now, {}))
            return &it;
        if (is_off && !best)
            best = &it;
    }
    return best;
}

void pool_planner::plan_growth(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    for (auto& [pool, balance] : balances_)
    {
        if (standby_ && pool == *standby_)
            continue;
        while (balance.present < balance.needed && order_tokens_ >= 1)
        {
            const instance_report* it = choose_spare(pool, decisions, now);
            if (!it)
                break;
            --balances_[it->pool].present;
            ++balance.present;
            send(*it, {it->instance, pool, 0}, decisions, now, out);
        }
    }
}

void pool_planner::plan_parking(
    coordinator& decisions, boot_time now, pool_decisions& out)
{
    if (!standby_)
        return;
    for (const instance_report& it : instances_)
    {
        if (it.pool == *standby_ || !is_free(it) || it.target.get().empty() ||
            order_tokens_ < 1 || hold_off_[it.instance] > now ||
            incompatible_.contains({it.instance, *standby_}))
            continue;
        pool_balance& balance = balances_[it.pool];
        if (balance.present <= balance.kept + options_.reserve ||
            !is_idle(it, now, options_.park_after))
            continue;
        --balance.present;
        send(it, {it.instance, *standby_, 0}, decisions, now, out);
    }
}

void pool_planner::refill_tokens(boot_time now)
{
    double most = options_.orders_per_second / 2;
    std::chrono::duration<double> passed = now - tokens_at_.value_or(now);
    order_tokens_ =
        tokens_at_
            ? std::min(most,
                  order_tokens_ + passed.count() * options_.orders_per_second)
            : most;
    tokens_at_ = now;
}

void pool_planner::repeat_orders(boot_time now, pool_decisions& out)
{
    for (auto& [id, it] : open_)
    {
        if (it.accepted_at || it.repeat_at > now || order_tokens_ < 1)
            continue;
        --order_tokens_;
        it.repeat_at = now + repeat_interval;
        it.was_repeated = true;
        out.orders.push_back(it.order);
    }
}

pool_decisions pool_planner::plan(coordinator& decisions, boot_time now)
{
    pool_decisions out;
    if (instances_.empty())
        return out;
    refill_tokens(now);
    index_targets(decisions, now);
    close_orders(decisions, now);
    measure(decisions, now);
    repeat_orders(now, out);
    plan_maintenance(decisions, now, out);
    plan_growth(decisions, now, out);
    plan_parking(decisions, now, out);
    return out;
}

void pool_planner::note_reply(const instance_order& order,
    machine_outcome outcome, coordinator& decisions, boot_time now)
{
    auto it = open_.find(order.instance);
    if (it == open_.end() || it->second.accepted_at)
        return;
    switch (outcome)
    {
    case machine_outcome::accepted:
        it->second.accepted_at = now;
        if (order.is_maintenance())
            begun_[order.wave].insert(order.instance);
        return;
    case machine_outcome::no_answer:
        // It may still take effect: the target stays without work.
        return;
    case machine_outcome::refused:
        return;
    case machine_outcome::invalid:
        if (!order.is_maintenance())
            incompatible_.insert({order.instance, order.pool});
        [[fallthrough]];
    case machine_outcome::not_in_wave:
        if (order.is_maintenance())
            begun_[order.wave].insert(order.instance);
        break;
    case machine_outcome::busy:
        // Most likely with an earlier copy of this order. Its place in the
        // wave stays taken; later copies learn that it is done.
        if (it->second.was_repeated &&
            now - it->second.sent_at < get_duration(order) + effect_margin)
            return;
        break;
    case machine_outcome::stale_fence:
        break;
    }
    hold_off_[order.instance] = now + hold_off_time;
    decisions.set_cordon(it->second.target, false);
    open_.erase(it);
}

} // namespace cowslippass
