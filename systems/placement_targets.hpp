#pragma once

#include "systems/placement_policy.hpp"
#include "systems/placement_types.hpp"

#include <map>
#include <random>
#include <set>
#include <tuple>

namespace cowslippass
{

/// Table of a pool's targets, with an index of those that can start a task.
class placement_targets
{
public:
    struct target_row;
    /// A rack with at least one target of the pool.
    struct rack_row
    {
        std::uint32_t slots = 0;
        std::uint32_t urgent_tasks = 0; ///< Running on its targets.
        std::vector<target_row*> rows;
    };
    /// Sort key of the index: class, load of the rack, load of the target, row
    /// number. The class puts healthy targets before reserved ones and those
    /// before targets on probation, for urgent tasks.
    using order_key =
        std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
    /// A target with the work on it and its place in the index.
    struct target_row
    {
        placement_target target;
        rack_row* rack = nullptr;
        std::uint32_t number = 0; ///< In the order in which targets were added.
        std::uint32_t placed_tasks = 0;   ///< By this owner, and not ended.
        std::uint32_t starting_tasks = 0; ///< Of these, not confirmed yet.
        std::uint32_t urgent_tasks = 0;   ///< Of these, urgent.
        std::uint32_t foreign_tasks = 0;  ///< Placed by others.
        std::uint64_t memory_used = 0; ///< Declared by the placed tasks, bytes.
        std::uint64_t slow_memory = 0; ///< Of this, by slow tasks.
        /// The task that the target is reserved for, or null.
        const placement_task* reserved_for = nullptr;
        bool is_removed = false;
        bool is_backing_off = false;        ///< It refused a start recently.
        std::uint32_t free_slots = 0;       ///< As counted in the total.
        bool is_available = false;          ///< In the index, for urgent tasks.
        bool is_available_for_slow = false; ///< In the index, for slow tasks.
        std::uint64_t free_memory = 0; ///< As recorded in the index, bytes.
        order_key urgent_key;
        order_key slow_key;
        std::uint32_t available_position = 0; ///< In `available_`.
    };
    /// Result of the search for a target.
    struct choice
    {
        target_row* target = nullptr; ///< Null when no target can run it.
        std::uint32_t candidates = 0; ///< Number of targets examined.
    };

    explicit placement_targets(const placement_policy& policy);

    /// Adds a target or replaces its description. A description with an older
    /// epoch is ignored.
    void set(const placement_target& target);
    /// Removes a target. Its row is kept until the last task on it has ended.
    void remove(const instance_id& id);
    /// @return null for an unknown target.
    target_row* find(const instance_id& id);

    /// Chooses a target that can run the task, by `placement_policy::choice`.
    choice choose(const placement_task& task);

    /// @return whether no available target has enough free memory for the task.
    bool exceeds_free_memory(const placement_task& task) const;

    /// Reserves the target with most free memory for a slow task until the task
    /// starts or `release` is called. Urgent tasks use the target only when no
    /// other can run them, because a burst must not wait for a large slow task.
    /// After `reservation_sharing_time` they use it only while slow tasks still
    /// occupy memory that the large task needs.
    /// @return false when a reservation exists or no target qualifies.
    bool reserve(const placement_task& task);
    /// Ends the reservation if it is for this task.
    void release(const placement_task& task);
    /// @return the task that the reservation is for, or null.
    const placement_task* get_reserved_task() const;
    /// @return the reserved target if it can run the task now.
    choice choose_reserved(const placement_task& task) const;

    /// @return whether the target could run the task if a victim with
    ///   `victim_memory` left it.
    static bool would_fit(const target_row& row, const placement_task& task,
        byte_count victim_memory);

    /// Counts a task that starts or runs on the target.
    void occupy(target_row& row, const placement_task& task, bool is_starting);
    /// Counts a starting task as running.
    void confirm_start(target_row& row);
    /// Counts a task as gone from the target.
    void vacate(target_row& row, const placement_task& task, bool was_starting);
    /// Stops using a target that refused a start, for a while or for good.
    void on_refused(target_row& row, start_refusal reason, monotonic_time now);

    /// Drops a reservation that its target can no longer serve, and ends
    /// expired back-offs.
    void begin_tick(monotonic_time now);

    /// @return whether any target, when empty, has that much memory; true while
    ///   no target is known.
    bool fits_any_target(byte_count memory) const;

    /// @return free slots of all targets.
    std::uint32_t get_free_slots() const { return free_slots_; }
    /// @return slots of targets that are in service and not quarantined.
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
    /// @return whether the target could run the task now, if it has a free
    /// slot.
    bool can_run(const target_row& row, const placement_task& task) const;
    /// @return whether the target is in service and not quarantined.
    bool is_usable(const target_row& row) const;
    /// @return whether a usable target outside the task's `avoided_targets` has
    ///   enough memory for it when empty.
    bool has_other_target(const placement_task& task) const;
    /// @return whether slow tasks occupy memory that the task with the
    ///   reservation needs.
    bool is_blocked_by_slow(const target_row& row) const;
    /// @return bytes that no placed task declares.
    static std::uint64_t get_free_memory(const target_row& row);
    /// @return slots that may be used now; 0 while the target backs off.
    std::uint32_t count_free_slots(const target_row& row) const;
    void remove_from_index(target_row& row);
    void add_to_index(target_row& row);
    static order_key make_urgent_key(const target_row& row);
    void update_urgent_key(target_row& row);
    /// Updates the index and the totals after a change of the row.
    void reindex(target_row& row);
    /// Changes the count of urgent tasks and the sort keys that depend on it.
    void change_urgent_tasks(target_row& row, int by);
    void attach_to_rack(target_row& row);
    /// Removes the row from the index, its rack and the totals.
    void detach(target_row& row);
    void drop_reservation();
    /// Erases a removed row once no task is left on it.
    void erase_if_unused(target_row& row);

    target_choice choice_;
    milliseconds refusal_backoff_;
    milliseconds reservation_sharing_time_;
    std::mt19937_64 random_;
    std::map<instance_id, target_row> rows_;
    std::map<rack_id, rack_row> racks_;
    std::map<order_key, target_row*> urgent_order_;
    std::map<order_key, target_row*> slow_order_;
    std::vector<target_row*> available_;        ///< For the random choice.
    std::multiset<std::uint64_t> memory_sizes_; ///< Of all targets, bytes.
    /// End of the back-off of each target that refused a start.
    std::vector<std::pair<monotonic_time, instance_id>> backing_off_;
    /// Free memory of the targets in each order. The largest value shows
    /// without a search that a task fits no target.
    std::multiset<std::uint64_t> urgent_free_memory_;
    std::multiset<std::uint64_t> slow_free_memory_;
    target_row* reserved_target_ = nullptr;
    monotonic_time now_{};         ///< Time of the last tick.
    monotonic_time reserved_at_{}; ///< When the reservation was made.
    std::uint32_t next_number_ = 0;
    std::uint32_t free_slots_ = 0;
    std::uint32_t usable_slots_ = 0;
    std::uint32_t urgent_tasks_ = 0;
};

} // namespace cowslippass
