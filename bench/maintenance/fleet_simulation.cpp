#include "bench/maintenance/fleet_simulation.hpp"

#include <algorithm>
#include <ctime>
#include <set>

namespace cowslippass
{

namespace
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// Freshness limit and start deadline: the least time of a drain.
constexpr seconds quiet_time{6};
constexpr double mean_task_seconds = 60;
constexpr seconds shortest_reboot{240};
constexpr double mean_reboot_excess_seconds = 60;
constexpr seconds restart_time{120};
constexpr hours repair_time{4};
constexpr hours rack_outage{1};
constexpr minutes lost_after{15};
/// Interval of the holder's plans.
constexpr seconds plan_interval{5};

// Faults a day at the design size; scaled to the size of the fleet.
constexpr double design_instances = 4'300;
constexpr double restarts_per_day = 1'100;
constexpr double failures_per_day = 26;
constexpr double rack_failures_per_day = 1.0 / 7;

constexpr std::uint32_t pass_before = 370;

double to_hours(seconds time)
{
    return static_cast<double>(time.count()) / 3'600;
}

double get_processor_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

} // namespace

fleet_simulation::fleet_simulation(const fleet_layout& layout,
    const maintenance_strategy& strategy, seconds window, unsigned seed)
    : layout_(layout), strategy_(strategy),
      start_(maintenance_period * (pass_before + 1)), now_(start_),
      end_(start_ + window), last_plan_(start_ - plan_interval),
      fault_random_(seed), step_random_(seed + 1)
{
    append(make_fleet(layout, pass_before));
    for (const auto& [id, row] : state_.get_instances())
    {
        ids_.push_back(id);
        ++needed_[row.pool];
    }
    if (layout.has_fixed_buffers)
        for (auto& [id, size] : needed_)
            size -= state_.get_pools().at(id).max_unavailable;
    add_faults();
}

seconds fleet_simulation::draw(double mean)
{
    std::exponential_distribution<double> distribution(1 / mean);
    return seconds(static_cast<long>(distribution(step_random_)));
}

void fleet_simulation::add_event(
    std::chrono::sys_seconds at, std::function<void()> act)
{
    events_.push({at, ++last_order_, std::move(act)});
}

void fleet_simulation::add_report(
    const instance_id& id, seconds after, instance_report it)
{
    add_event(now_ + after,
        [this, id, it, change = changes_[id]]
        {
            if (changes_[id] != change)
                return;
            reports_[id] = it;
            is_changed_ = true;
        });
}

void fleet_simulation::add_faults()
{
    double scale =
        static_cast<double>(layout_.count_instances()) / design_instances;
    add_fault_process(restarts_per_day * scale, restart_time, 1);
    add_fault_process(failures_per_day * scale, repair_time, 1);
    add_fault_process(
        rack_failures_per_day * scale, rack_outage, layout_.instances_per_rack);
}

void fleet_simulation::add_fault_process(
    double per_day, seconds outage, std::size_t instances_at_once)
{
    std::exponential_distribution<double> gap(per_day / 86'400);
    std::uniform_real_distribution<double> place(0, 1);
    auto at = start_;
    while (true)
    {
        at += seconds(static_cast<long>(gap(fault_random_)));
        if (at >= end_)
            return;
        double where = place(fault_random_);
        add_event(at,
            [this, where, instances_at_once, outage]
            {
                auto first = static_cast<std::size_t>(
                    where * static_cast<double>(ids_.size()));
                fail(first, instances_at_once, outage);
            });
    }
}

void fleet_simulation::fail(
    std::size_t first, std::size_t count, seconds outage)
{
    std::vector<instance_id> hit{ids_[first]};
    const auto& all = state_.get_instances();
    const auto& rack = all.at(ids_[first]).description.rack;
    if (count > 1)
    {
        hit.clear();
        for (const auto& [id, row] : all)
            if (row.description.rack == rack)
                hit.push_back(id);
    }
    for (const instance_id& id : hit)
    {
        if (state_.get_instances().at(id).state == instance_state::failed)
            continue;
        append({instance_state_record{id, instance_state::failed, {}, false}});
        ++changes_[id];
        reports_.erase(id);
        add_report(id, outage, instance_report::ready);
        if (outage > lost_after)
            add_report(id, lost_after, instance_report::lost);
    }
    is_changed_ = true;
}

void fleet_simulation::append(const std::vector<fleet_record>& records)
{
    state_.apply(config_version(state_.get_version().get() + 1), records);
}

void fleet_simulation::start_timers(const fleet_record& record)
{
    const auto* it = std::get_if<instance_state_record>(&record);
    // A lost instance stays failed when it is exchanged.
    if (!it || it->state == instance_state::failed)
        return;
    ++changes_[it->id];
    reports_.erase(it->id);
    const instance_row& row = state_.get_instances().at(it->id);
    bool is_spare = state_.get_pools().at(row.pool).is_spare;
    if (it->state == instance_state::draining)
    {
        reports_[it->id] = instance_report::busy;
        add_report(it->id,
            quiet_time + (is_spare ? seconds(0) : draw(mean_task_seconds)),
            instance_report::idle);
    }
    if (it->state == instance_state::rebooting)
        add_report(it->id, shortest_reboot + draw(mean_reboot_excess_seconds),
            instance_report::ready);
}

std::map<pool_id, std::uint32_t> fleet_simulation::count_unavailable() const
{
    std::map<pool_id, std::uint32_t> out;
    for (const auto& [id, row] : state_.get_instances())
        out[row.pool] += row.state == instance_state::in_service ? 0 : 1;
    return out;
}

void fleet_simulation::run_plan()
{
    last_plan_ = now_;
    is_changed_ = false;
    double before = get_processor_seconds();
    auto decisions = strategy_.plan({state_, reports_, now_, true});
    result_.plan_seconds += get_processor_seconds() - before;
    ++result_.plans;
    if (decisions.empty())
        return;
    is_changed_ = true;
    result_.decisions += decisions.size();
    auto unavailable = count_unavailable();
    std::vector<fleet_record> records;
    for (const maintenance_decision& it : decisions)
    {
        result_.drains += it.step == maintenance_step::drain ? 1 : 0;
        result_.cancelled += it.rule == "budget_exceeded" ? 1 : 0;
        records.insert(records.end(), it.records.begin(), it.records.end());
    }
    append(records);
    for (const fleet_record& it : records)
    {
        start_timers(it);
        result_.moves +=
            std::holds_alternative<instance_moved_record>(it) ? 1 : 0;
    }
    for (const auto& [id, n] : count_unavailable())
        if (n > unavailable[id] &&
            n > state_.get_pools().at(id).max_unavailable)
            ++result_.violating_steps;
}

std::size_t fleet_simulation::count_idle() const
{
    std::map<pool_id, std::size_t> in_service;
    std::size_t idle = 0;
    for (const auto& [id, row] : state_.get_instances())
    {
        in_service[row.pool] += row.state == instance_state::in_service ? 1 : 0;
        auto report = reports_.find(id);
        bool is_waiting = report != reports_.end() &&
                          row.state != instance_state::in_service &&
                          (report->second == instance_report::idle ||
                              report->second == instance_report::ready);
        idle += is_waiting ? 1 : 0;
    }
    for (const auto& [id, n] : in_service)
    {
        bool is_spare = state_.get_pools().at(id).is_spare;
        std::size_t needed = is_spare ? 0 : needed_.at(id);
        idle += n > needed ? n - needed : 0;
    }
    return idle;
}

std::size_t fleet_simulation::count_maintained() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(state_.get_instances(), [](const auto& it)
            { return it.second.maintained_pass > pass_before; }));
}

void fleet_simulation::add_measures(seconds elapsed)
{
    if (elapsed.count() == 0)
        return;
    idle_seconds_ += static_cast<double>(count_idle()) *
                     static_cast<double>(elapsed.count());
    for (const auto& [id, n] : count_unavailable())
    {
        const pool_record& pool = state_.get_pools().at(id);
        if (!pool.is_spare && n > pool.max_unavailable)
            result_.pool_hours_over += to_hours(elapsed);
    }
}

void fleet_simulation::note_rollout()
{
    if (result_.rollout_hours >= 0)
        return;
    std::size_t n = count_maintained();
    if (result_.rollout_99_hours < 0 && n * 100 >= ids_.size() * 99)
        result_.rollout_99_hours = to_hours(now_ - start_);
    if (n == ids_.size())
        result_.rollout_hours = to_hours(now_ - start_);
}

simulation_result fleet_simulation::run()
{
    while (now_ < end_)
    {
        auto next = events_.empty() ? end_ : std::min(end_, events_.top().at);
        if (is_changed_)
            next = std::min(next, std::max(now_, last_plan_ + plan_interval));
        add_measures(next - now_);
        now_ = next;
        while (!events_.empty() && events_.top().at <= now_)
        {
            auto act = events_.top().act;
            events_.pop();
            act();
        }
        if (!is_changed_ || now_ < last_plan_ + plan_interval)
            continue;
        run_plan();
        note_rollout();
    }
    result_.maintained_share = static_cast<double>(count_maintained()) /
                               static_cast<double>(ids_.size());
    result_.idle_instances =
        idle_seconds_ / static_cast<double>((end_ - start_).count());
    return result_;
}

} // namespace cowslippass
