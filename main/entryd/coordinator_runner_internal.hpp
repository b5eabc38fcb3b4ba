#pragma once

#include "drivers/log.hpp"
#include "drivers/task_supervisor.hpp"
#include "main/entryd/coordinator_runner.hpp"
#include "main/entryd/target_channel.hpp"
#include "main/entryd/wall_clock.hpp"

namespace cowslippass
{

// Definitions that only the source files of `coordinator_runner` include.

inline constexpr milliseconds read_timeout{2'000};
/// Leases may be extended for this long after the last durable transaction was
/// sent. A successor relies on it for targets that it cannot reach.
inline constexpr milliseconds max_renewal_age{4'000};

/// Starts of one target that are in flight at a time: its connections but the
/// one of the poll.
inline constexpr std::size_t max_starts_in_flight = 3;

inline milliseconds to_milliseconds(boot_clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

inline const decision_log coordinator_log("coordinator");

/// What one life of a target has reported. A new life starts without it.
struct target_life
{
    platform_time incarnation_start;
    /// The target's clock in its last status. At `clock_received_at`, the clock
    /// had at least this value.
    target_time clock;
    boot_time clock_received_at{};
    std::uint64_t acknowledged_up_to = 0; ///< Ends up to it are durable.
};

/// The connection to one target, with the state of its last poll.
struct coordinator_runner::target_link
{
    target_link(asio::io_context& io, const relay_set& relays,
        const target_report& report, fencing_token fence)
        : target(report.target), address(report.address),
          listed_incarnation(report.incarnation_start),
          channel(io, relays, report, fence), timer(io)
    {
    }

    /// Drops what the former life has told when the list of targets shows that
    /// another one has begun, and polls the target at once.
    void handle_listed_incarnation(platform_time start)
    {
        // The list may lag behind a status, or repeat an older row.
        if (start == listed_incarnation)
            return;
        listed_incarnation = start;
        if (!life || life->incarnation_start == start)
            return;
        life.reset();
        timer.cancel();
    }

    target_id target;
    std::string address;
    platform_time listed_incarnation; ///< As the list of targets names it.
    target_channel channel;
    asio::steady_timer timer;
    bool is_closed = false;
    /// Starts that wait until fewer are in flight. They have not been sent.
    std::deque<start_decision> waiting_starts;
    std::size_t starts_in_flight = 0;
    std::size_t unanswered_starts = 0; ///< Since the last answered one.
    /// The life that sent the last status; empty before the first one, and
    /// once the list of targets names another life.
    std::optional<target_life> life;
    bool is_reachable = true; ///< Whether the last poll was answered.
};

} // namespace cowslippass
