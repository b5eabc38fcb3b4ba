#pragma once

#include "drivers/drivers.hpp"
#include "drivers/log.hpp"
#include "drivers/metrics.hpp"
#include "systems/freshness.hpp"
#include "systems/session_admission.hpp"
#include "systems/start_policy.hpp"
#include "systems/systems.hpp"
#include "systems/waiting_budget.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cowslippass
{

/// What the parts of one entry daemon share. Everything runs on one thread.
struct node_context
{
    node_context(asio::io_context& context, const settings& options,
        platform_client& platform, const start_policy& policy);

    /// @return whether tasks may be started on the configuration in hand.
    bool may_start() const;

    /// @return the time before which tasks may be started, or nothing when
    ///   none may.
    std::optional<monotonic_time> get_start_deadline() const;

    /// @return whether the leases of running tasks may be renewed.
    bool may_renew() const;

    /// @return time since the freshness was confirmed, or nothing.
    std::optional<milliseconds> get_freshness_age() const;

    /// @return whether this entry may append changes to the fleet log.
    bool is_admitted() const;

    /// Runs every listener after the fleet state has changed.
    void notify_changed() const;

    /// Waits; returns early only when the io_context stops.
    asio::awaitable<void> sleep(milliseconds time);

    /// Runs a coroutine in the background; an exception is logged, not lost.
    void spawn(
        const std::string& name, std::function<asio::awaitable<void>()> body);

    asio::io_context& io;
    const settings& config;
    platform_client& table;
    metrics_registry metrics;
    fleet_state state;
    cowslippass::freshness freshness;
    session_id session{0}; ///< 0 until the platform has registered it.
    std::string nonce;
    /// Set once the session is registered.
    std::optional<session_admission> admission;
    bool is_leaving = false;
    /// An append of this entry may still commit without its knowledge.
    bool has_unresolved_change = false;
    std::vector<std::function<void()>> listeners;
    /// Whether an entry of each other data centre is heard; set by
    /// `peer_network`.
    std::function<bool()> hears_data_centres = [] { return false; };
    waiting_budget waiting; ///< Over all pools of this entry.
    /// Sends back a waiting task that gives way to others, in whatever pool.
    std::function<void(const task_id&)> refuse_waiting;

private:
    start_view make_start_view() const;

    const start_policy& policy_;
};

/// @return the local monotonic time.
monotonic_time get_now();

} // namespace cowslippass
