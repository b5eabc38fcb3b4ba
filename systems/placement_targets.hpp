#pragma once

#include "systems/placement_policy.hpp"
#include "systems/placement_types.hpp"

#include <map>
#include <random>
#include <set>
#include <tuple>

namespace cowslippass
{

/// Table of a pool's targets with an index of those that can take a task.
class placement_targets
{
public:
    struct target_row;
    struct rack_row
    {
        std::uint32_t slots = 0;
        std::uint32_t urgent_tasks = 0;
        std::vector<target_row*> rows;
    };
    /// Class, rack load, target load, number of the row. For urgent work a
    /// healthy target precedes a reserved one and that one on probation.
    using order_key =
        std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
    struct target_row
    {
        placement_target target;
        rack_row* rack = nullptr;
        std::uint32_t number = 0;
        std::uint32_t placed_tasks = 0; ///< Placed by this owner and not ended.
        std::uint32_t starting_tasks = 0; ///< Of these, not yet confirmed.
        std::uint32_t urgent_tasks = 0;   ///< Of these, urgent.
        std::uint32_t foreign_tasks = 0;  ///< Tasks that others placed.
        std::uint64_t memory_used = 0;
        std::uint64_t slow_memory = 0; ///< Of it, by slow tasks.
        /// Null if the target is not reserved.
        const placement_task* reserved_for = nullptr;
        bool is_removed = false;
        bool is_backing_off = false;  ///< After a refused start.
        std::uint32_t free_slots = 0; ///< Slots counted as free.
        bool is_available = false;    ///< In the urgent order.
        bool is_available_for_slow = false;
        std::uint64_t free_memory = 0; ///< Free memory as noted in the index.
        order_key urgent_key;
        order_key slow_key;
        std::uint32_t available_position = 0;
    };
    struct choice
    {
        target_row* target = nullptr;
        std::uint32_t candidates = 0;
    };

    explicit placement_targets(const placement_policy& policy);

    void set(const placement_target& target);
    void remove(const instance_id& id);
    target_row* find(const instance_id& id);

    /// Finds a target with free_memory for the task, by the policy's choice.
    choice choose(const placement_task& task);

    /// @return whether no add_to_index target has free_memory for the task.
    bool exceeds_free_memory(const placement_task& task) const;

    /// Keeps the target with most free memory for a slow task until it starts
    /// or `release` is called. Urgent tasks use the target only when no other
    /// has free_memory, as a burst must not wait for a large slow task. After
    /// `reservation_sharing_time` they use it only while slow tasks block it.
    /// @return false when there is a reservation or no target qualifies.
    bool reserve(const placement_task& task);
    void release(const placement_task& task);
    /// @return the task that the reservation is for, or null.
    const placement_task* get_reserved_task() const;
    /// @return the reserved target if the task fits there now.
    choice choose_reserved(const placement_task& task) const;

    /// @return whether the task would fit if `victim_memory` and one slot
    ///   were free.
    static bool would_fit(const target_row& row, const placement_task& task,
        byte_count victim_memory);

    void occupy(target_row& row, const placement_task& task, bool is_starting);
    void confirm_start(target_row& row);
    void vacate(target_row& row, const placement_task& task, bool was_starting);
    void on_refused(target_row& row, start_refusal reason, monotonic_time now);

    /// Ends pauses that are over.
    void begin_tick(monotonic_time now);

    /// @return whether some target has that much memory when empty; true as
    ///   long as no target is known.
    bool fits_any_target(byte_count memory) const;

    std::uint32_t get_free_slots() const { return free_slots_; }
    /// @return slots of targets that are in service and not set aside.
    std::uint32_t get_usable_slots() const { return usable_slots_; }
    /// @return urgent tasks on all targets.
    std::uint32_t get_urgent_tasks() const { return urgent_tasks_; }
    std::uint32_t get_target_count() const
    {
        return static_cast<std::uint32_t>(rows_.size());
    }

private:
    choice choose_spread(const placement_task& task);
    choice choose_random(const placement_task& task);
    bool can_run(const target_row& row, const placement_task& task) const;
    bool is_usable(const target_row& row) const;
    /// @return whether a target that the task does not avoided_targets could
    /// serve it.
    bool has_other_target(const placement_task& task) const;
    bool is_blocked_by_slow(const target_row& row) const;
    static std::uint64_t get_free_memory(const target_row& row);
    std::uint32_t count_free_slots(const target_row& row) const;
    void remove_from_index(target_row& row);
    void add_to_index(target_row& row);
    static order_key make_urgent_key(const target_row& row);
    void update_urgent_key(target_row& row);
    void reindex(target_row& row);
    void change_urgent_tasks(target_row& row, int by);
    void attach_to_rack(target_row& row);
    /// Takes the row out of the index, its rack and the sums.
    void detach(target_row& row);
    void drop_reservation();
    void erase_if_unused(target_row& row);

    target_choice choice_;
    milliseconds refusal_backoff_;
    milliseconds reservation_sharing_time_;
    std::mt19937_64 random_;
    std::map<instance_id, target_row> rows_;
    std::map<rack_id, rack_row> racks_;
    std::map<order_key, target_row*> urgent_order_;
    std::map<order_key, target_row*> slow_order_;
    std::vector<target_row*> available_;
    std::multiset<std::uint64_t> memory_sizes_;
    std::vector<std::pair<monotonic_time, instance_id>> backing_off_;
    /// Free memory of the targets in each order; shows at once what fits
    /// nowhere.
    std::multiset<std::uint64_t> urgent_free_memory_;
    std::multiset<std::uint64_t> slow_free_memory_;
    target_row* reserved_target_ = nullptr;
    monotonic_time now_{}; ///< Of the last tick.
    monotonic_time reserved_at_{};
    std::uint32_t next_number_ = 0;
    std::uint32_t free_slots_ = 0;
    std::uint32_t usable_slots_ = 0;
    std::uint32_t urgent_tasks_ = 0;
};

} // namespace cowslippass
