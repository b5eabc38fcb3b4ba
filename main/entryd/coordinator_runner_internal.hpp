#pragma once

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"
#include "main/entryd/coordinator_runner.hpp"
#include "main/entryd/wall_clock.hpp"

namespace cowslippass
{

// Shared by the files of `coordinator_runner`.

inline constexpr milliseconds read_timeout{2'000};

inline milliseconds to_milliseconds(boot_clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

inline const decision_log coordinator_log("coordinator");

/// The connection to one target and what is known of its clock.
struct coordinator_runner::target_link
{
    target_link(
        asio::io_context& io, const target_report& report, fencing_number fence)
        : target(report.target), address(report.address),
          client(io, parse_endpoint(report.address), report.target, fence),
          timer(io)
    {
    }

    target_id target;
    std::string address;
    runner_client client;
    asio::steady_timer timer;
    bool is_closed = false;
    /// The target's clock at `clock_received_at`, the earliest time it can have
    /// had it.
    std::optional<target_time> clock;
    boot_time clock_received_at{};
    platform_time incarnation_start; ///< Start of the life that answered last.
    /// Ends of this life that are durable.
    std::uint64_t acknowledged_up_to = 0;
    bool is_reachable = true;
};

} // namespace cowslippass
