#pragma once

#include "systems/start_policy.hpp"

namespace cowslippass
{

/// Stops as soon as the platform or another data centre cannot be reached.
class stop_everything_policy : public start_policy
{
public:
    std::optional<monotonic_time> get_start_deadline(
        const start_view& view) const override;

    bool may_renew(const start_view& view) const override;
};

/// Serves on whatever configuration is in hand, however old it is.
class serve_stale_policy : public start_policy
{
public:
    std::optional<monotonic_time> get_start_deadline(
        const start_view& view) const override;

    bool may_renew(const start_view&) const override { return true; }
};

} // namespace cowslippass
