#pragma once

#include "systems/maintenance_strategy.hpp"

namespace cowslippass
{

/// Baseline: takes instances in the order of their names, without regard to
/// racks, data centres or lateness, and never uses spare instances.
class by_name_strategy : public maintenance_strategy
{
public:
    /// @param most_at_once in the whole fleet: 1 is one instance at a time. A
    ///   large number fills the budget of each pool, which is then its fixed
    ///   buffer.
    explicit by_name_strategy(std::uint32_t most_at_once);

    std::vector<maintenance_decision> plan(
        const maintenance_input& input) const override;

private:
    std::uint32_t most_at_once_;
};

} // namespace cowslippass
