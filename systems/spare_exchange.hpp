#pragma once

#include "systems/maintenance_view.hpp"

namespace cowslippass
{

/// Gives spare instances to pools that lost more than their budget. The spare
/// instance and the lost one change pools, so that both pools keep their size
/// and nobody has to remember a loan: the lost instance is the one taken back,
/// and is a spare one when it has been repaired.
///
/// A drain for an exchange carries no destination. The pool that needs the
/// instance most when it has drained gets it.
class spare_exchange
{
public:
    spare_exchange(
        maintenance_view& view, std::vector<maintenance_decision>& out)
        : view_(view), out_(out)
    {
    }

    /// @param drained an idle, draining member.
    /// @return whether it replaced a lost member of another pool.
    bool try_replace_lost(member_view& drained);

    /// Drains spare instances for the pools that lack some.
    void start_drains();

private:
    member_view* find_most_needed(const data_centre_id& near);
    std::uint32_t count_needed();
    std::uint32_t count_draining();
    member_view* find_spare();

    maintenance_view& view_;
    std::vector<maintenance_decision>& out_;
};

} // namespace cowslippass
