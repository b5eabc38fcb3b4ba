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
    struct row;
    struct rack_row
    {
        std::uint32_t slots = 0;
        std::uint32_t urgent = 0;
        std::vector<row*> rows;
    };
    /// Class, rack load, target load, number of the row. For urgent work a
    /// sound target precedes a reserved one and that one on probation.
    using order_key =
        std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
    struct row
    {
        placement_target target;
        rack_row* rack = nullptr;
        std::uint32_t number = 0;
        std::uint32_t tasks = 0;    ///< Placed by this owner and not ended.
        std::uint32_t starting = 0; ///< Of these, not yet confirmed.
        std::uint32_t urgent = 0;   ///< Of these, urgent.
        std::uint32_t foreign = 0;  ///< Tasks that others placed.
        std::uint64_t memory_used = 0;
        std::uint64_t slow_memory = 0; ///< Of it, by slow tasks.
        /// Null if the target is not reserved.
        const placement_task* reserved_for = nullptr;
        bool is_removed = false;
        bool is_paused = false; ///< After a refused start.
        std::uint32_t free = 0; ///< Slots counted as free.
        bool is_open = false;   ///< In the urgent order.
        bool is_open_for_slow = false;
        std::uint64_t room = 0; ///< Free memory as noted in the index.
        order_key urgent_key;
        order_key slow_key;
        std::uint32_t open_position = 0;
    };
    struct choice
    {
        row* target = nullptr;
        std::uint32_t candidates = 0;
    };

    explicit placement_targets(const placement_policy& policy);

    void set(const placement_target& target);
    void remove(const instance_id& id);
    row* find(const instance_id& id);

    /// Finds a target with room for the task, by the policy's choice.
    choice choose(const placement_task& task);

    /// @return whether no open target has room for the task.
    bool is_too_large_now(const placement_task& task) const;

    /// Keeps the target with most free memory for a slow task until it starts
    /// or `release` is called. Urgent tasks use the target only when no other
    /// has room, as a burst must not wait for a large slow task. After
    /// `reservation_yields` they use it only while slow tasks block it.
    /// @return false when there is a reservation or no target qualifies.
    bool reserve(const placement_task& task);
    void release(const placement_task& task);
    /// @return the task that the reservation is for, or null.
    const placement_task* get_reserved() const;
    /// @return the reserved target if the task fits there now.
    choice choose_reserved(const placement_task& task) const;

    /// @return whether the task would fit if `victim_memory` and one slot
    ///   were free.
    static bool would_fit(
        const row& row, const placement_task& task, byte_count victim_memory);

    void occupy(row& row, const placement_task& task, bool is_starting);
    void confirm_start(row& row);
    void vacate(row& row, const placement_task& task, bool was_starting);
    void on_refused(row& row, start_refusal reason, monotonic_time now);

    /// Ends pauses that are over.
    void begin_tick(monotonic_time now);

    /// @return whether some target has that much memory when empty; true as
    ///   long as no target is known.
    bool can_ever_fit(byte_count memory) const;

    std::uint32_t count_free() const { return free_; }
    /// @return slots of targets that are in service and not set aside.
    std::uint32_t count_usable() const { return usable_; }
    /// @return urgent tasks on all targets.
    std::uint32_t count_urgent() const { return urgent_; }
    std::uint32_t count_rows() const
    {
        return static_cast<std::uint32_t>(rows_.size());
    }

private:
    choice choose_spread(const placement_task& task);
    choice choose_random(const placement_task& task);
    bool is_fit(const row& row, const placement_task& task) const;
    bool is_usable(const row& row) const;
    /// @return whether a target that the task does not avoid could serve it.
    bool has_other_target(const placement_task& task) const;
    bool is_blocked_by_slow(const row& row) const;
    static std::uint64_t get_room(const row& row);
    std::uint32_t count_free_slots(const row& row) const;
    void close(row& row);
    void open(row& row);
    static order_key make_urgent_key(const row& row);
    void renew_urgent_key(row& row);
    void reindex(row& row);
    void change_urgent(row& row, int by);
    void join_rack(row& row);
    /// Takes the row out of the index, its rack and the sums.
    void forget(row& row);
    void drop_reservation();
    void erase_if_gone(row& row);

    target_choice choice_;
    milliseconds refusal_pause_;
    milliseconds reservation_yields_;
    std::mt19937_64 random_;
    std::map<instance_id, row> rows_;
    std::map<rack_id, rack_row> racks_;
    std::map<order_key, row*> urgent_order_;
    std::map<order_key, row*> slow_order_;
    std::vector<row*> open_;
    std::multiset<std::uint64_t> memories_;
    std::vector<std::pair<monotonic_time, instance_id>> paused_;
    /// Free memory of the targets in each order; shows at once what fits
    /// nowhere.
    std::multiset<std::uint64_t> urgent_room_;
    std::multiset<std::uint64_t> slow_room_;
    row* reserved_ = nullptr;
    monotonic_time now_{}; ///< Of the last tick.
    monotonic_time reserved_at_{};
    std::uint32_t next_number_ = 0;
    std::uint32_t free_ = 0;
    std::uint32_t usable_ = 0;
    std::uint32_t urgent_ = 0;
};

} // namespace cowslippass
