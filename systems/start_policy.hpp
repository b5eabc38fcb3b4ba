#pragma once

#include "systems/freshness.hpp"

#include <functional>
#include <optional>

namespace cowslippass
{

/// What an entry knows when it decides whether tasks may start.
struct start_view
{
    const freshness& configuration;
    monotonic_time now;
    bool is_platform_reachable;
    /// @return whether messages arrive from at least one entry of every other
    ///   data centre. It is a function because few policies need it and it
    ///   iterates over all sessions.
    const std::function<bool()>& reaches_all_data_centres;
};

/// Strategy that decides whether an entry may start tasks and renew their
/// leases.
class start_policy
{
public:
    virtual ~start_policy() = default;

    /// @return the time before which a task may start, or nothing when no task
    ///   may start.
    virtual std::optional<monotonic_time> get_start_deadline(
        const start_view& view) const = 0;

    /// @return whether the entry may renew the leases of its tasks.
    virtual bool may_renew(const start_view& view) const = 0;
};

/// Allows starts only while the configuration is known to have been the newest
/// within the freshness limit (invariants I3, I5 and I11), and renewals only
/// while no other session can have received the grants of the tasks (I4).
class fresh_configuration_policy : public start_policy
{
public:
    std::optional<monotonic_time> get_start_deadline(
        const start_view& view) const override;

    bool may_renew(const start_view& view) const override;
};

} // namespace cowslippass
