#pragma once

#include "core/core.hpp"
#include "drivers/asio.hpp"

#include <string>

namespace cowslippass
{

/// Settings of one `cowslippass_entryd`, all checked. The bounds are those
/// that the users' deployment states.
struct entry_settings
{
    entry_id entry;
    data_centre_id data_centre;
    tcp::endpoint front_listen;     ///< Callers.
    tcp::endpoint readiness_listen; ///< The balancer's checks.
    tcp::endpoint peer_listen;      ///< Other entries.
    tcp::endpoint metrics_listen;
    tcp::endpoint store;
    tcp::endpoint machines; ///< Instances, their moves and maintenance.
    std::string log_level = "info";

    /// Share of a core that this instance has; entries with more of it are
    /// the first to take the coordinator's place.
    double processor_share = 0.25;
    /// Orders to instances that the platform takes in a second.
    double instance_orders_per_s = 64;

    /// A withdrawn key stops working within this time.
    milliseconds key_withdrawal{5'000};
    /// Longest lease that a target grants.
    milliseconds lease_limit{6'000};
    /// From SIGTERM until the process is killed.
    milliseconds stop_grace{6'000};
    /// How long callers may ask for an ended job.
    milliseconds status_time{120'000};
    /// How long an instance takes to join another pool.
    milliseconds move_time{1'500};
    milliseconds maintenance_time{2'000};
    /// A task that is away for so long counts against its budget.
    milliseconds notice_time{4'500};
};

/// Reads and checks a TOML file as a whole.
/// @throws platform_error (`bad_settings`) with one line for each fault: file,
///   line, name, and what is allowed.
entry_settings load_entry_settings(const std::string& path);

} // namespace cowslippass
