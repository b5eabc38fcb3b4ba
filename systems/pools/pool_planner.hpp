#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/pools/platform_instance.hpp"
#include "systems/scheduling/coordinator.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cowslippass
{

struct pool_planner_options
{
    milliseconds move_time{1'500};
    milliseconds maintenance_time{2'000};
    /// An instance that is idle for so long is switched off. A move costs
    /// about as much as one second of an instance in a pool.
    milliseconds standby_delay{1'200};
    /// When a job's tasks have waited for room for so long, the room is too
    /// scattered for them: the pool gets another instance.
    milliseconds fragmentation_delay{600};
    /// Within this time a backlog is to be worked off.
    milliseconds backlog_clearing_time{1'500};
    /// The same for jobs that are past their use; for them a pool keeps
    /// instances but gets none.
    milliseconds overdue_backlog_clearing_time{10'000};
    /// Share of the processors that tasks can fill before sizes do not fit.
    double packing_efficiency = 0.85;
    /// Idle instances that a pool keeps for the start of a burst.
    std::uint32_t idle_reserve = 1;
    /// Orders that the platform takes in a second, from everybody.
    double orders_per_second = 40;
    /// A target that no list has named yet may be newer than the list.
    milliseconds unlisted_grace_period{1'500};
};

/// What one order asks of an instance.
struct instance_order
{
    instance_id instance;
    pool_id pool;           ///< To move to; empty for maintenance.
    std::uint64_t wave = 0; ///< Of the maintenance.

    bool is_maintenance() const { return pool.get().empty(); }
};

struct pool_decisions
{
    std::vector<instance_order> orders;
    std::vector<task_name>
        tasks_to_stop; ///< Long-running tasks to run elsewhere.
};

/// What a pool has and needs.
struct pool_sizing
{
    double used_cores = 0;
    double waiting_cores = 0;
    double offered_cores = 0;
    std::uint32_t spread = 0; ///< Instances that one step's tasks need.
    std::uint32_t required_instances = 0; ///< Instances.
    /// Instances with those that work off overdue jobs; at least
    /// `required_instances`.
    std::uint32_t retained_instances = 0;
    std::uint32_t available_instances = 0; ///< Up or on their way.
};

/// Answers demand that moves from pool to pool: gives a pool instances while
/// its queues are busy, switches idle ones off, and maintains instances of a
/// wave when it costs least. Only instances without work leave a pool.
class pool_planner
{
public:
    explicit pool_planner(pool_planner_options options);

    /// @param sent_at when the list was asked for.
    void set_instances(
        std::vector<platform_instance> instances, boot_time sent_at);

    bool has_instances() const { return !instances_.empty(); }

    /// @return targets that no instance has any more: each instance names its
    ///   available_instances life, and an instance that is down has none.
    std::vector<target_id> find_ended_incarnations(
        const coordinator& decisions, boot_time now);

    /// Cordons the targets of instances that are to leave.
    pool_decisions plan(coordinator& decisions, boot_time now);

    /// Takes note of an answer.
    void handle_order_reply(const instance_order& order,
        instance_order_outcome outcome, coordinator& decisions, boot_time now);

    /// Restores a wave as a predecessor has left it.
    /// @param seen when a coordinator first knew of it.
    void restore_wave(
        std::uint64_t wave, std::set<instance_id> begun, boot_time seen);

    /// @return nothing for a wave that was never planned.
    std::optional<boot_time> get_wave_first_seen(std::uint64_t wave) const;

    const std::set<instance_id>& get_begun_instances(std::uint64_t wave) const;

    /// @return whether every instance of the wave that is still there has
    ///   begun its maintenance.
    bool is_wave_completed(const maintenance_wave& wave) const;

    const std::map<pool_id, pool_sizing>& get_pool_sizings() const
    {
        return sizings_;
    }

private:
    /// An order whose effect does not show in the list yet.
    struct open_order
    {
        instance_order order;
        target_id target; ///< The life that ends by it.
        boot_time sent_at{};
        std::optional<boot_time> accepted_at;
        /// Sent again after this time.
        boot_time resend_at{};
        /// The platform may have carried out a copy whose answer is missing.
        bool was_resent = false;
    };

    void track_idle_targets(const coordinator& decisions, boot_time now);
    void close_orders(coordinator& decisions, boot_time now);
    void measure_pools(const coordinator& decisions, boot_time now);
    void plan_maintenance(
        coordinator& decisions, boot_time now, pool_decisions& out);
    void plan_scale_up(
        coordinator& decisions, boot_time now, pool_decisions& out);
    void plan_scale_down(
        coordinator& decisions, boot_time now, pool_decisions& out);
    void refill_tokens(boot_time now);
    void resend_orders(boot_time now, pool_decisions& out);
    milliseconds get_duration(const instance_order& order) const;
    void issue_order(const platform_instance& instance, instance_order order,
        coordinator& decisions, boot_time now, pool_decisions& out);
    void drain(const platform_instance& instance, coordinator& decisions,
        pool_decisions& out);
    /// @return nothing when the list does not name it.
    const platform_instance* find_instance(const instance_id& id) const;
    bool can_take_order(const platform_instance& instance) const;
    bool is_idle(const platform_instance& instance, boot_time now,
        milliseconds time) const;
    const platform_instance* choose_instance_to_move(
        const pool_id& pool, const coordinator& decisions, boot_time now) const;
    std::size_t count_in_maintenance(const maintenance_wave& wave) const;

    pool_planner_options options_;
    std::vector<platform_instance> instances_;
    std::unordered_map<instance_id, std::size_t>
        instance_index_;                 ///< Into the list.
    std::set<target_id> listed_targets_; ///< That some list has named.
    std::map<target_id, boot_time> unlisted_since_;
    boot_time list_requested_at_{};
    std::optional<pool_id> standby_pool_;
    std::map<instance_id, open_order> open_orders_;
    /// Refused lately; not asked again until then.
    std::map<instance_id, boot_time> order_backoff_until_;
    std::set<std::pair<instance_id, pool_id>> incompatible_moves_;
    std::map<target_id, boot_time> idle_since_;
    std::set<target_id> draining_targets_; ///< Cordoned for maintenance.
    std::map<pool_id, pool_sizing> sizings_;
    /// When a pool that had scattered room may get another instance.
    std::map<pool_id, boot_time> next_fragmentation_growth_;
    double order_tokens_ = 0;
    std::optional<boot_time> tokens_refilled_at_;
    std::map<std::uint64_t, std::set<instance_id>> begun_instances_;
    std::map<std::uint64_t, boot_time> wave_first_seen_;
};

} // namespace cowslippass
