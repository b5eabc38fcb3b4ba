#include "bench/partitions/baseline_policies.hpp"

namespace cowslippass
{

std::optional<monotonic_time> stop_everything_policy::get_start_deadline(
    const start_view& view) const
{
    if (!view.is_platform_reachable || !view.reaches_all_data_centres())
        return std::nullopt;
    return view.now + start_deadline;
}

bool stop_everything_policy::may_renew(const start_view& view) const
{
    return fresh_configuration_policy().may_renew(view);
}

std::optional<monotonic_time> serve_stale_policy::get_start_deadline(
    const start_view& view) const
{
    if (view.configuration.get_version().get() == 0)
        return std::nullopt;
    return view.now + start_deadline;
}

} // namespace cowslippass
