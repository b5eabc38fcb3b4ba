#pragma once

#include "bench/maintenance/fleet_layout.hpp"
#include "systems/maintenance_strategy.hpp"

#include <chrono>
#include <functional>
#include <queue>
#include <random>

namespace cowslippass
{

struct simulation_result
{
    double rollout_hours = -1; ///< Negative when it did not end in time.
    /// Until 99% were maintained. The rest waits for repairs of 4 hours, which
    /// no strategy can shorten.
    double rollout_99_hours = -1;
    double maintained_share = 0;
    std::uint64_t moves = 0;
    std::uint64_t drains = 0;
    std::uint64_t cancelled = 0;
    /// Idle instances held, as a mean over the window.
    double idle_instances = 0;
    /// Steps that made a pool exceed its budget, or exceed it by more.
    std::uint64_t violating_steps = 0;
    /// Time that pools spent above their budgets, by failures.
    double pool_hours_over = 0;
    std::uint64_t decisions = 0;
    std::uint64_t plans = 0;
    double plan_seconds = 0; ///< Processor time of the strategy.
};

/// Runs a strategy against a fleet in simulated time. Drains, reboots,
/// restarts and failures take times drawn from fixed seeds; faults are the
/// same for every strategy.
class fleet_simulation
{
public:
    fleet_simulation(const fleet_layout& layout,
        const maintenance_strategy& strategy, std::chrono::seconds window,
        unsigned seed);

    simulation_result run();

private:
    using seconds = std::chrono::seconds;

    struct event
    {
        std::chrono::sys_seconds at;
        std::uint64_t order; ///< Keeps the queue deterministic.
        std::function<void()> act;

        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void add_event(std::chrono::sys_seconds at, std::function<void()> act);
    /// Sets a report unless the instance changed state meanwhile.
    void add_report(const instance_id& id, seconds after, instance_report it);
    void add_faults();
    void add_fault_process(
        double per_day, seconds outage, std::size_t instances_at_once);
    void fail(std::size_t first, std::size_t count, seconds outage);
    void run_plan();
    void note_rollout();
    void start_timers(const fleet_record& record);
    void append(const std::vector<fleet_record>& records);
    void add_measures(seconds elapsed);
    std::size_t count_idle() const;
    std::size_t count_maintained() const;
    std::map<pool_id, std::uint32_t> count_unavailable() const;
    seconds draw(double mean);

    const fleet_layout& layout_;
    const maintenance_strategy& strategy_;
    std::chrono::sys_seconds start_;
    std::chrono::sys_seconds now_;
    std::chrono::sys_seconds end_;
    std::chrono::sys_seconds last_plan_;
    fleet_state state_;
    instance_reports reports_;
    std::vector<instance_id> ids_;
    std::map<pool_id, std::size_t> needed_;        ///< Size without the buffer.
    std::map<instance_id, std::uint64_t> changes_; ///< State changes so far.
    std::priority_queue<event> events_;
    std::uint64_t last_order_ = 0;
    bool is_changed_ = true;
    std::mt19937_64 fault_random_;
    std::mt19937_64 step_random_;
    simulation_result result_;
    double idle_seconds_ = 0;
};

} // namespace cowslippass
