#pragma once

#include "core/core.hpp"
#include "drivers/asio.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

/// The validated settings of one entry daemon; settings_table.cpp describes
/// each of them.
struct settings
{
    entry_id entry;
    data_centre_id data_centre;
    tcp::endpoint http_listen; ///< Callers and operators.
    tcp::endpoint peer_listen; ///< Other entries.
    tcp::endpoint platform;    ///< The platform's HTTP address.
    /// Addresses announced to other entries; the bound ones when empty.
    std::string http_advertise;
    std::string peer_advertise;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Open connections of callers, operators and scrapers.
    std::size_t max_connections = 4'096;
    /// Bound on the bytes of all requests and responses that this entry holds.
    std::size_t max_buffered_bytes = 64 * 1024 * 1024;
    /// A request that has begun to arrive is complete within this time.
    milliseconds message_time{60'000};
    /// Bound on the bytes of all work that waits in this entry.
    std::size_t max_waiting_bytes = 2 * 1024 * 1024;
    milliseconds freshness_limit{4'000};
    milliseconds start_deadline{2'000};
    milliseconds task_lease{10'000};
    milliseconds heartbeat_interval{3'000};
    milliseconds session_death{12'000};
    milliseconds balancer_lag{3'000};
    /// Longest wait of a caller of an urgent queue.
    milliseconds urgent_deadline{30'000};
    /// How long request ids with their outcomes, and command ids, are kept for
    /// deduplication.
    milliseconds request_lifetime{86'400'000};
    milliseconds command_lifetime{86'400'000};
    std::size_t clean_up_writes_per_second = 50;
    /// SHA-256 digest of the secret that may create the first operator.
    std::string bootstrap_secret_sha256;
    std::string log_file; ///< Empty means standard error.
    std::string log_level = "info";
};

/// Reads and validates a TOML file as a whole.
/// @param path path of the file; error messages name it.
/// @throws platform_error (`bad_settings`) with one line for each error: file,
///   line, name, and the allowed values.
settings load_settings(const std::string& path);

} // namespace cowslippass
