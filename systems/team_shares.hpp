#pragma once

#include "core/core.hpp"

#include <cstdint>

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
        double served = 0.0; ///< Slot seconds used, divided by the weight.
        double seen = 0.0;   ///< Contention clock when last settled.
        std::uint64_t period = 0;
        std::uint32_t running = 0;
    };

    /// Advances the contention clock to `now`.
    /// @param is_contended whether work waited for slots since the last call.
    void advance(monotonic_time now, bool is_contended);

    void on_start(account& team);
    void on_end(account& team);
    void set_weight(account& team, double weight);

    /// @param served level of the least served team that waits.
    void raise_floor(double served);

    /// @param slots fair part of the pool for a weight of 1.
    void set_slots_per_weight(double slots) { slots_per_weight_ = slots; }

    /// A team that began to wait joins at the floor if it was below.
    void join(account& team);

    /// @return slot seconds used for each unit of weight.
    double get_served(account& team) const;

    /// @return the level by which teams are ranked: served time plus a
    ///   projection of running tasks, so that several starts in one tick do
    ///   not all go to one team.
    double get_rank(account& team) const;

    /// @return whether `behind` got less than `ahead` by more than its fair
    ///   part of `time`.
    bool is_behind(account& behind, account& ahead, milliseconds time) const;

private:
    void settle(account& team) const;

    double clock_ = 0.0; ///< Seconds under contention.
    double floor_ = 0.0;
    double slots_per_weight_ = 1.0;
    std::uint64_t period_ = 0;
    monotonic_time last_now_{};
    monotonic_time last_contended_{};
    bool is_period_open_ = false;
};

} // namespace cowslippass
