#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <vector>

namespace cowslippass
{

/// Accounts of the slot time that teams used while work waited for slots.
/// Slot time outside contention costs nothing, as it takes nothing from
/// anyone. A team without waiting work gains no credit.
class team_shares
{
public:
    struct account
    {
        double weight = 1.0;
        double weighted_usage =
            0.0;                 ///< Slot seconds used, divided by the weight.
        double settled_at = 0.0; ///< Contention clock when last settled.
        std::uint64_t contention_period = 0;
        std::uint32_t running_tasks = 0;
        std::size_t waiting_tasks = 0; ///< Given to `update_fair_slots`.
        double fair_slots = 0.0;       ///< At most what the team asks for.
        double deficit = 0.0;          ///< Slot seconds below `fair_slots`.
    };

    /// Advances the contention clock to `now`.
    /// @param is_contended whether work waited for slots since the last call.
    void advance(monotonic_time now, bool is_contended);

    void on_start(account& team);
    void on_end(account& team);
    void set_weight(account& team, double weight);

    /// @param weighted_usage level of the least served team that waits.
    void raise_usage_floor(double weighted_usage);

    /// Divides `slots` among the teams by weight, each up to its demand, and
    /// notes how far each is behind.
    void update_fair_slots(
        const std::vector<account*>& teams, double slots, monotonic_time now);

    /// A team that began to wait joins at the floor if it was below.
    void raise_to_floor(account& team);

    /// @return slot seconds used for each unit of weight.
    double get_weighted_usage(account& team) const;

    /// @return the level by which teams are ranked: served time plus a
    ///   running_task_projection of running tasks, so that several starts in
    ///   one tick do not all go to one team.
    double get_projected_usage(account& team) const;

    /// @return seconds of its fair slots that the team is behind.
    static double get_deficit_s(const account& team);

private:
    void update_usage(account& team) const;

    double contention_clock_ = 0.0; ///< Seconds under contention.
    double usage_floor_ = 0.0;
    double fair_slots_per_weight_ = 1.0;
    monotonic_time last_fair_slots_update_{};
    std::uint64_t contention_period_ = 0;
    monotonic_time last_advance_{};
    monotonic_time last_contended_{};
    bool is_in_contention_ = false;
};

} // namespace cowslippass
