#pragma once

#include "systems/maintenance_strategy.hpp"

namespace cowslippass
{

/// What stays within one data centre at a time.
enum class maintenance_scope
{
    fleet, ///< All maintenance.
    pool   ///< The maintenance of each pool.
};

struct maintenance_options
{
    maintenance_scope scope = maintenance_scope::fleet;
    /// One instance for each so many of a budget is left for failures during
    /// a roll-out; 0 leaves none. Smaller budgets are used as a whole.
    std::uint32_t reserve_one_in = 4;
    /// Most drains started by one plan, which bounds the size of an append.
    std::uint32_t max_drains = 64;
};

/// Maintains the fleet in waves that follow data centres and racks, within
/// the availability budget of each pool.
///
/// * No step makes a pool exceed its budget. When failures do, draining
///   instances return to service, and spare instances replace lost ones.
/// * Maintenance goes on in one data centre at a time (of the fleet or of each
///   pool, see `maintenance_scope`), first in one that operators took out of
///   service. A pool stays within one rack until every
///   due instance there was started, and then opens the next rack with what
///   the budget leaves.
/// * The later a pool is, the earlier its turn.
class maintenance_planner : public maintenance_strategy
{
public:
    explicit maintenance_planner(maintenance_options options = {});

    std::vector<maintenance_decision> plan(
        const maintenance_input& input) const override;

private:
    maintenance_options options_;
};

} // namespace cowslippass
