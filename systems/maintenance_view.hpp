#pragma once

#include "systems/maintenance_strategy.hpp"

#include <optional>

namespace cowslippass
{

struct pool_view;

/// An instance as the planner sees it; follows the decisions of one plan.
struct member_view
{
    const instance_id* id = nullptr;
    const instance_row* row = nullptr;
    pool_view* pool = nullptr; ///< Never null in a view.
    instance_report report = instance_report::unknown;
    instance_state state = instance_state::in_service;
    bool is_due = false;
    bool is_data_centre_out = false;
    bool is_decided = false; ///< A step of this plan concerns it.

    const data_centre_id& get_data_centre() const
    {
        return row->description.data_centre;
    }

    /// @return whether the planner, not an operator, drains the instance.
    bool is_planned_drain() const
    {
        return state == instance_state::draining && row->is_for_maintenance;
    }

    /// @return whether the drain leads to a reboot. One of a spare instance
    ///   that is not due serves an exchange; elsewhere an operator asked for
    ///   maintenance.
    bool is_reboot_wanted() const;

    /// @return whether a pass is under way.
    bool is_in_maintenance() const
    {
        return state == instance_state::rebooting ||
               (is_planned_drain() && is_reboot_wanted());
    }
};

/// Counts of one pool.
struct pool_view
{
    const pool_record* record = nullptr;
    std::vector<member_view*> members;
    /// As `fleet_state::count_unavailable`.
    std::uint32_t unavailable = 0;
    /// Members whose own state is not in service. Those of a data centre that
    /// is out become visible when it returns, and count for the budget then.
    std::uint32_t not_in_service = 0;
    std::uint32_t missed_passes = 0; ///< Summed over due members.

    std::uint32_t get_budget() const
    {
        return record ? record->max_unavailable : 0;
    }

    bool is_spare() const { return record && record->is_spare; }

    /// @return unavailable members beyond the budget.
    std::uint32_t get_excess() const;

    /// @return whether the pool would gain from the return of a member that
    ///   drains or drained.
    bool needs_back(const member_view& member) const;

    /// @param limit part of the budget that may be used.
    /// @return whether taking the member out of service stays within `limit`.
    bool can_take_out(const member_view& member, std::uint32_t limit) const;

    /// @return passes missed per member; the urgency of the pool.
    double get_lateness() const;
};

/// Tables that a plan works on, built from the state and the reports alone.
class maintenance_view
{
public:
    explicit maintenance_view(const maintenance_input& input);

    maintenance_view(const maintenance_view&) = delete;
    maintenance_view& operator=(const maintenance_view&) = delete;

    std::vector<member_view>& get_members() { return members_; }
    std::map<pool_id, pool_view>& get_pools() { return pools_; }
    std::uint32_t get_pass() const { return pass_; }

    /// Changes the state of a member and the counts of its pool.
    /// Nothing more is decided about the member in this plan.
    void set_state(member_view& member, instance_state state);

    /// Exchanges the pools of a drained and of a lost member.
    void exchange(member_view& drained, member_view& lost);

private:
    void add_member(const instance_id& id, const instance_row& row,
        instance_report report, bool is_data_centre_out);
    pool_view& find_pool(const pool_id& id);

    std::uint32_t pass_;
    std::vector<member_view> members_;
    std::map<pool_id, pool_view> pools_;
    pool_view no_pool_; ///< For members of a pool that does not exist.
};

using active_data_centre = std::optional<data_centre_id>;

/// Counts maintenance under way by data centre.
class maintenance_counts
{
public:
    void add(const member_view& member);

    /// @param former kept as long as maintenance is under way there.
    /// @return the data centre with the most maintenance under way, or
    ///   nothing.
    active_data_centre find_most(const active_data_centre& former) const;

private:
    std::map<data_centre_id, std::uint32_t> counts_;
};

/// @return a decision that changes the state of one instance.
maintenance_decision make_decision(const member_view& member,
    maintenance_step step, std::string_view rule,
    std::optional<std::uint32_t> maintained_pass = {});

} // namespace cowslippass
