#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <vector>

namespace cowslippass
{

/// Weighted fair sharing of slots: accounts for the slot time that teams use
/// while tasks wait for slots (contention). Slot time outside contention is not
/// counted, because it takes nothing from others. A team without waiting tasks
/// gains no credit.
class team_shares
{
public:
    /// Usage of one team.
    struct account
    {
        double weight = 1.0;
        /// Slot seconds used under contention, divided by the weight.
        double weighted_usage = 0.0;
        /// Contention clock at which `weighted_usage` was last updated.
        double settled_at = 0.0;
        std::uint64_t contention_period = 0; ///< That the usage belongs to.
        std::uint32_t running_tasks = 0;
        /// Set by the caller before `update_fair_slots`.
        std::size_t waiting_tasks = 0;
        double fair_slots = 0.0; ///< Fair share of the slots, up to its demand.
        double deficit = 0.0;    ///< Slot seconds below `fair_slots`.
    };

    /// Advances the contention clock to `now`.
    /// @param is_contended whether tasks waited for slots since the last call.
    void advance(monotonic_time now, bool is_contended);

    /// Counts a task that starts to use a slot.
    void on_start(account& team);
    /// Counts a task that no longer uses a slot.
    void on_end(account& team);
    void set_weight(account& team, double weight);

    /// Raises the usage from which teams begin to wait.
    /// @param weighted_usage lowest usage of all teams with waiting tasks.
    void raise_usage_floor(double weighted_usage);

    /// Divides `slots` among the teams by weight, each up to its demand, and
    /// updates their deficits.
    void update_fair_slots(
        const std::vector<account*>& teams, double slots, monotonic_time now);

    /// Call when a team begins to wait: raises its usage to the floor, so that
    /// it gets no credit for the time before.
    void raise_to_floor(account& team);

    /// @return slot seconds used under contention, per unit of weight.
    double get_weighted_usage(account& team) const;

    /// @return the usage by which teams are ordered: it includes a projection
    ///   of the running tasks, so that several starts in one tick do not all go
    ///   to one team.
    double get_projected_usage(account& team) const;

    /// @return how many seconds of its fair slots the team is behind its share.
    static double get_deficit_s(const account& team);

private:
    /// Brings the usage of the team up to the contention clock.
    void update_usage(account& team) const;

    double contention_clock_ = 0.0; ///< Seconds under contention.
    double usage_floor_ = 0.0;      ///< Lowest usage of teams that wait.
    double fair_slots_per_weight_ = 1.0;
    monotonic_time last_fair_slots_update_{};
    std::uint64_t contention_period_ = 0;
    monotonic_time last_advance_{};
    monotonic_time last_contended_{};
    bool is_in_contention_ = false;
};

} // namespace cowslippass
