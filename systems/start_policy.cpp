#include "systems/start_policy.hpp"

#include "systems/grant_ledger.hpp"

namespace cowslippass
{

std::optional<monotonic_time> fresh_configuration_policy::get_start_deadline(
    const start_view& view) const
{
    if (!view.configuration.is_fresh(view.now))
        return std::nullopt;
    return view.configuration.get_deadline();
}

bool fresh_configuration_policy::may_renew(const start_view& view) const
{
    // Other entries may have ended this session once its configuration is no
    // longer fresh. Its leases must have lapsed before they release its grants.
    auto fresh_as_of = view.configuration.get_fresh_as_of();
    return fresh_as_of &&
           view.now < grant_ledger::get_renewal_deadline(*fresh_as_of);
}

} // namespace cowslippass
