#pragma once

#include "core/core.hpp"
#include "drivers/asio.hpp"

#include <string>

namespace cowslippass
{

/// Validated settings of one `cowslippass_entryd`. The limits in them are those
/// that the users' deployment states.
struct entry_settings
{
    entry_id entry;
    data_centre_id data_centre;
    tcp::endpoint front_listen;     ///< For callers.
    tcp::endpoint readiness_listen; ///< For the load balancer's checks.
    tcp::endpoint peer_listen;      ///< For other entries.
    tcp::endpoint metrics_listen;
    tcp::endpoint store;
    /// The platform's service that lists, moves and maintains instances. With
    /// port 0, the entry does not manage instances.
    tcp::endpoint machines;
    std::string log_level = "info";
    /// How targets receive orders, and the form of the store. Only the defaults
    /// are served; with others, jobs would be accepted and never run.
    std::string orders = "rpc";
    std::string store_form = "table";
    /// Largest value of a row that the store accepts, in bytes.
    std::size_t store_row_bytes = 65'536;

    /// What the machine allows this process: memory in MiB and descriptors.
    /// With 0, the deployment states no limit.
    std::size_t memory_mb = 0;
    std::size_t max_descriptors = 0;
    /// Largest body of a request.
    std::size_t max_body_bytes = 1024 * 1024;
    /// A request that has begun to arrive is complete within this time.
    milliseconds message_time{15'000};

    /// Processor share of this entry in cores. Entries with a larger share
    /// take over the coordinator role first.
    double processor_share = 0.25;
    /// Limit of the platform on orders to instances, per second.
    double instance_orders_per_s = 64;

    /// A withdrawn key stops working within this time.
    milliseconds key_withdrawal{5'000};
    /// Longest lease that a target accepts.
    milliseconds lease_limit{6'000};
    /// Time between SIGTERM and the kill of the process.
    milliseconds stop_grace{6'000};
    /// How long callers can query a job after its end.
    milliseconds status_time{120'000};
    /// How long an instance takes to move to another pool.
    milliseconds move_time{1'500};
    milliseconds maintenance_time{2'000};
    /// A task that is unavailable for this long counts against its budget.
    milliseconds notice_time{4'500};
    /// How long the members of a gang wait for each other at their targets.
    milliseconds gang_wait{3'000};

    // Decisions under load that are off unless the deployment asks for them.

    /// Run times are learned from finished runs and replace the callers'
    /// estimates.
    bool learn_run_times = false;
    /// When a pool cannot serve all waiting jobs in time, the jobs that it can
    /// serve go first.
    bool shed_overload = false;
    /// Refuses submissions that an overloaded pool cannot even serve late, as
    /// far as is known. Needs `shed_overload`.
    bool refuse_overload = false;
    /// Tasks are placed and pools are sized by the shapes of tasks and targets
    /// instead of the sums of their resources.
    bool pack_by_shape = false;
    /// Targets that are slower or fail more often than others get less work.
    bool judge_targets = false;
    /// Submissions that cannot be stored because the store or the coordinator
    /// is away are refused after a short wait, instead of being held until
    /// their callers give up.
    bool refuse_in_outage = false;
};

/// Reads a TOML file and checks all of its settings.
/// @throws platform_error (`bad_settings`) with one line for each error, which
///   states the file, the line, the setting and the allowed values.
entry_settings load_entry_settings(const std::string& path);

} // namespace cowslippass
