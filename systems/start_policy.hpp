#pragma once

#include "systems/freshness.hpp"

#include <functional>
#include <optional>

namespace cowslippass
{

/// What an entry knows when it decides about a start.
struct start_view
{
    const freshness& configuration;
    monotonic_time now;
    bool is_platform_reachable;
    /// Whether an entry of each other data centre is heard. A function, as it
    /// is asked by few policies and costs a walk over the sessions.
    const std::function<bool()>& reaches_all_data_centres;
};

/// Decides whether an entry may start tasks and renew their leases.
class start_policy
{
public:
    virtual ~start_policy() = default;

    /// @return the time before which a task may start, or nothing when none
    ///   may.
    virtual std::optional<monotonic_time> get_start_deadline(
        const start_view& view) const = 0;

    virtual bool may_renew(const start_view& view) const = 0;
};

/// Starts only on a configuration that is known to have been the newest
/// within the freshness limit (I3, I5, I11), and renews only while no other
/// session may hold the grants of the tasks (I4).
class fresh_configuration_policy : public start_policy
{
public:
    std::optional<monotonic_time> get_start_deadline(
        const start_view& view) const override;

    bool may_renew(const start_view& view) const override;
};

} // namespace cowslippass
