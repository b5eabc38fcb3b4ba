#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/pools/drain_table.hpp"
#include "systems/pools/long_running_room.hpp"
#include "systems/pools/platform_instance.hpp"
#include "systems/pools/pool_usage.hpp"
#include "systems/scheduling/coordinator.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cowslippass
{

/// Timings and limits of the pool planner.
struct pool_planner_options
{
    /// Time that an instance takes to move to another pool.
    milliseconds move_time{1'500};
    /// Time that the maintenance of an instance takes.
    milliseconds maintenance_time{2'000};
    /// An instance that has been idle for this long moves to standby. A move
    /// costs about as much as an instance that stays in a pool for one second.
    milliseconds standby_delay{1'200};
    /// The same while the arrival rate of its pool falls.
    milliseconds falling_standby_delay{300};
    /// Added to the time of a move: the measured arrival rate lags behind, and
    /// the new target has to answer a poll before it gets tasks. A pool gets
    /// the instances that a rising arrival rate needs after this time.
    milliseconds scale_up_lead{700};
    /// When a job's tasks have waited for capacity for this long, the free
    /// capacity is too fragmented for them: the pool gets another instance.
    milliseconds fragmentation_delay{600};
    /// A pool gets enough instances to clear its backlog within this time.
    milliseconds backlog_clearing_time{1'500};
    /// Time to clear the backlog of overdue jobs. For them a pool retains
    /// instances but gets no additional ones.
    milliseconds overdue_backlog_clearing_time{10'000};
    /// Fraction of an instance's CPU and memory that tasks can use; the rest is
    /// lost because task sizes do not fit.
    double packing_efficiency = 0.85;
    /// A pool gets no more instances for its backlog than the waiting tasks can
    /// use at once.
    bool packs_by_shape = false;
    /// Idle instances that a pool retains as headroom for a burst.
    std::uint32_t idle_reserve = 1;
    /// Rate limit of the platform for the orders of all its clients.
    double orders_per_second = 40;
    /// A target that has never been listed counts as ended only after this
    /// time, because it may be newer than the list.
    milliseconds unlisted_grace_period{1'500};
};

/// Orders the platform to move an instance to a pool or to maintain it.
struct instance_order
{
    instance_id instance;
    pool_id pool;           ///< Destination of a move; empty for maintenance.
    std::uint64_t wave = 0; ///< Maintenance wave; 0 for a move.

    bool is_maintenance() const { return pool.get().empty(); }
};

/// Progress of a maintenance wave, which the ledger keeps for the next
/// coordinator.
struct wave_progress
{
    /// Instances whose maintenance has begun or cannot be done, with the time
    /// at which the platform accepted the order; the clock's zero for the
    /// latter.
    std::map<instance_id, boot_time> begun;
    /// Instances with an order that the platform has not answered yet, with the
    /// target that the order ends. The platform may have carried it out, or may
    /// do so later.
    std::map<instance_id, target_id> ordered;
    /// When a coordinator first saw the wave.
    boot_time first_seen{};

    bool operator==(const wave_progress&) const = default;
};

/// Result of one planning round.
struct pool_decisions
{
    std::vector<instance_order> orders;
    /// Long-running tasks on drained instances; they start again elsewhere.
    std::vector<task_name> tasks_to_stop;
    /// Drains that began or ended, for logs.
    std::vector<drain_change> drain_changes;
};

/// Demand of a pool, and the number of instances that it has and needs.
struct pool_sizing
{
    double used_cores = 0;    ///< Of running tasks.
    double waiting_cores = 0; ///< Of tasks that wait for capacity.
    double offered_cores = 0; ///< Arrival rate of work, in cores.
    /// Minimum number of instances for the tasks of one step, where the step
    /// limits its tasks per target.
    std::uint32_t spread = 0;
    /// The pool scales up to this number.
    std::uint32_t required_instances = 0;
    /// The pool does not scale down below this number: the required instances
    /// and those that clear the backlog of overdue jobs.
    std::uint32_t retained_instances = 0;
    std::uint32_t available_instances = 0; ///< Up or moving to the pool.
    std::uint32_t drained_instances = 0;   ///< For maintenance.
    bool has_waiting_tasks = false;        ///< For capacity, and not just now.
    bool is_falling = false;               ///< The arrival rate falls steadily.
};

/// Scales pools and schedules maintenance. Pools with high demand get instances
/// from standby or from pools with a surplus, and idle instances move to
/// standby. Instances of a maintenance wave are maintained while they are idle;
/// those with tasks are drained once part of the wave's time has passed, no
/// more at a time than the wave's limit. Only instances without running tasks
/// leave a pool.
///
/// Whether a target is cordoned follows in each round from the open orders and
/// the drains, so that no cordon outlives its cause.
class pool_planner
{
public:
    explicit pool_planner(pool_planner_options options);

    /// Replaces the instance list.
    /// @param sent_at when the list was requested from the platform.
    void set_instances(
        std::vector<platform_instance> instances, boot_time sent_at);

    bool has_instances() const { return !instances_.empty(); }

    /// @return targets whose incarnation has ended. Each listed instance names
    ///   its current incarnation, and an instance that is down has none.
    std::vector<target_id> find_ended_incarnations(
        const coordinator& decisions, boot_time now);

    /// Plans one round. Cordons the targets of the instances that get an order
    /// or are drained.
    pool_decisions plan(coordinator& decisions, boot_time now);

    /// Updates the state of an order after the platform's reply, or after the
    /// lack of one.
    void handle_order_reply(const instance_order& order,
        instance_order_outcome outcome, coordinator& decisions, boot_time now);

    /// Restores the progress of a wave that an earlier coordinator has saved.
    /// Its unanswered orders may still be carried out: they count against the
    /// wave's limit and keep their instances free of new work until they are
    /// settled, and are sent again once the instances are idle.
    void restore_wave(
        std::uint64_t wave, const wave_progress& progress, boot_time now);

    /// Cordons the targets that open orders may end and those of drained
    /// instances, and lifts the cordon of all others.
    void cordon_ordered_targets(coordinator& decisions, boot_time now);

    /// @return the progress to save; nothing for a wave that was never planned.
    std::optional<wave_progress> get_wave_progress(std::uint64_t wave) const;

    /// @return when a coordinator first saw the wave; nothing for a wave that
    ///   was never planned.
    std::optional<boot_time> get_wave_first_seen(std::uint64_t wave) const;

    /// @return instances of the wave whose maintenance has begun, or cannot be
    ///   done, as in wave_progress.
    const std::map<instance_id, boot_time>& get_begun_instances(
        std::uint64_t wave) const;

    /// @return whether every instance of the wave that is still listed has
    ///   begun its maintenance.
    bool is_wave_completed(const maintenance_wave& wave) const;

    const std::map<pool_id, pool_sizing>& get_pool_sizings() const
    {
        return sizings_;
    }

    /// @return where the processors of each pool are, as of the last round.
    const std::map<pool_id, pool_usage>& get_pool_usages() const
    {
        return usages_;
    }

private:
    /// An order whose effect does not show in the instance list yet.
    struct open_order
    {
        instance_order order;
        /// The incarnation that the order ends; empty if a predecessor ordered.
        target_id target;
        /// Targets that the order may end: `target`, or a later incarnation.
        std::set<target_id> targets;
        boot_time sent_at{};
        boot_time last_sent_at{}; ///< The takeover if a predecessor sent it.
        std::optional<boot_time> accepted_at;
        /// An order without a reply is sent again from this time on.
        boot_time resend_at{};
        /// The order was sent more than once, so that the platform may have
        /// carried out an earlier copy whose reply was lost.
        bool was_resent = false;
        /// A predecessor sent it, this coordinator has not.
        bool is_inherited = false;
    };
    using open_order_table = std::map<instance_id, open_order>;

    /// Records since when each target has had no tasks.
    void track_idle_targets(const coordinator& decisions, boot_time now);
    /// Closes the orders whose effect is listed, or should have been by now.
    void close_orders(const coordinator& decisions, boot_time now);
    /// Computes `sizings_` from the demand and the instance list.
    void measure_pools(const coordinator& decisions, boot_time now);
    /// Orders maintenance for idle instances of waves, and drains others.
    void plan_maintenance(
        coordinator& decisions, boot_time now, pool_decisions& out);
    /// @return the instances of the wave that can take its order now, those
    ///   first whose maintenance interrupts least.
    std::vector<const platform_instance*> list_due_instances(
        const maintenance_wave& wave, const coordinator& decisions,
        boot_time now) const;
    /// Goes on with the drains for the wave, and gives up those that are
    /// blocked while others need their capacity or their place in the wave.
    /// @param unavailable instances of the wave that count against the limit,
    ///   without those that are drained.
    void advance_drains(const maintenance_wave& wave,
        const std::vector<const platform_instance*>& due,
        std::size_t unavailable, coordinator& decisions, boot_time now,
        pool_decisions& out);
    /// Drains further instances, as many as the wave's limit allows.
    /// @param unavailable instances of the wave that count against the limit,
    ///   without those that are drained.
    void begin_drains(const maintenance_wave& wave,
        const std::vector<const platform_instance*>& due,
        std::size_t unavailable, coordinator& decisions, boot_time now);
    /// Ends the drains of instances whose wave, order or target has changed.
    void end_undue_drains(const coordinator& decisions);
    /// Drains an instance whose open order has to wait for its runs to end.
    void drain_for_order(const open_order& open, coordinator& decisions,
        boot_time now, pool_decisions& out);
    /// Cordons the instance's target.
    void begin_drain(const platform_instance& instance, std::uint64_t wave,
        coordinator& decisions, boot_time now);
    /// Interrupts tasks of a drained instance as far as their steps allow it
    /// and there is room for them elsewhere; the last ones all at once.
    /// @param can_be_ordered whether its maintenance can be ordered as soon as
    ///   it has no runs.
    void interrupt_tasks(const platform_instance& instance, bool can_be_ordered,
        coordinator& decisions, boot_time now, pool_decisions& out);
    /// @return whether the budgets of all steps allow the instance to be
    ///   emptied, with the room that the pool has or can get.
    bool can_be_emptied(const platform_instance& instance,
        const coordinator& decisions, boot_time now) const;
    /// @return room at the open targets of the instance's pool, and at
    ///   instances that can join it.
    long_running_room measure_room(const platform_instance& instance,
        const coordinator& decisions, boot_time now) const;
    /// Reserves room for the long-running tasks of the pool that wait, or will
    /// once they have been stopped.
    void reserve_for_waiting_tasks(long_running_room& room, const pool_id& pool,
        const coordinator& decisions) const;
    /// @return whether tasks wait for capacity in the pool, and no instance is
    ///   on its way there.
    bool is_short_of_capacity(const pool_id& pool) const;
    /// @return whether tasks have waited for long that could start at the
    ///   instance, if it were not drained.
    bool holds_back_tasks(
        const platform_instance& instance, const coordinator& decisions) const;
    /// @return whether a drain should be given up, as it costs callers more
    ///   than it brings the wave on.
    bool is_drain_too_costly(const platform_instance& instance,
        bool has_other_due, const coordinator& decisions, boot_time now) const;
    /// Moves instances to the pools that have fewer than they require.
    void plan_scale_up(
        coordinator& decisions, boot_time now, pool_decisions& out);
    /// Moves surplus idle instances to standby.
    void plan_scale_down(
        coordinator& decisions, boot_time now, pool_decisions& out);
    void refill_tokens(boot_time now);
    /// Repeats orders that the platform has not accepted yet, where no task is
    /// at work, and drains the instances of the others.
    void resend_orders(
        coordinator& decisions, boot_time now, pool_decisions& out);
    /// @return whether the target of the order may get no work. It may if a
    ///   drain for the order was given up and no copy of it is on its way.
    bool is_closed_for_order(const open_order& open,
        const coordinator& decisions, boot_time now) const;
    bool is_accepted_order_over(const open_order& open, boot_time now) const;
    bool is_unanswered_order_over(const open_order& open,
        const coordinator& decisions, boot_time now) const;
    /// @return whether the order's instance has runs now.
    bool has_work(const open_order& open, const coordinator& decisions) const;
    /// @return whether the platform may still carry out a copy of the order.
    bool may_be_on_its_way(const open_order& open, boot_time now) const;
    milliseconds get_duration(const instance_order& order) const;
    /// Cordons the instance's target and adds the order to the round.
    void issue_order(const platform_instance& instance, instance_order order,
        coordinator& decisions, boot_time now, pool_decisions& out);
    /// @return null if the instance is not listed.
    const platform_instance* find_instance(const instance_id& id) const;
    /// @return whether the instance is up and has no open order.
    bool can_take_order(const platform_instance& instance) const;
    /// @param time how long it must have been idle; 0 for idle now.
    bool is_idle(const platform_instance& instance, boot_time now,
        milliseconds time) const;
    /// @return a surplus idle instance of another pool, else one in standby;
    ///   null if there is neither.
    const platform_instance* choose_instance_to_move(
        const pool_id& pool, const coordinator& decisions, boot_time now) const;
    std::size_t count_in_maintenance(
        const maintenance_wave& wave, boot_time now) const;

    pool_planner_options options_;
    std::vector<platform_instance> instances_;
    /// Positions in `instances_`.
    std::unordered_map<instance_id, std::size_t> instance_index_;
    std::set<target_id> listed_targets_; ///< Targets that were listed before.
    /// Since when known targets have been missing from the list.
    std::map<target_id, boot_time> unlisted_since_;
    boot_time list_requested_at_{};
    std::optional<pool_id> standby_pool_;
    open_order_table open_orders_;
    /// After the platform has rejected an order, the instance gets no other one
    /// until this time.
    std::map<instance_id, boot_time> order_backoff_until_;
    /// Moves that the platform has rejected as invalid.
    std::set<std::pair<instance_id, pool_id>> incompatible_moves_;
    std::map<target_id, boot_time> idle_since_;
    drain_table drains_;
    std::map<pool_id, pool_sizing> sizings_;
    std::map<pool_id, pool_usage> usages_;
    std::map<pool_id, pool_demand> demands_; ///< Of the current round.
    /// When a pool with fragmented capacity may get the next instance for it.
    std::map<pool_id, boot_time> next_fragmentation_growth_;
    double order_tokens_ = 0; ///< Orders that the rate limit allows now.
    std::optional<boot_time> tokens_refilled_at_;
    /// By number of the wave.
    std::map<std::uint64_t, std::map<instance_id, boot_time>> begun_instances_;
    std::map<std::uint64_t, boot_time> wave_first_seen_;
};

} // namespace cowslippass
