#pragma once

#include "drivers/peer_client.hpp"
#include "systems/coordination/relay_table.hpp"

#include <functional>
#include <memory>

namespace cowslippass
{

class task_supervisor;

/// The coordinator's connection to one relay. It tracks the relay's clock, so
/// that each request carries a time, on that clock, from which on the relay no
/// longer sends it.
class relay_client : public std::enable_shared_from_this<relay_client>
{
public:
    /// @param source local address to connect from.
    /// @param on_lost is called once when the relay no longer answers, has
    ///   restarted or is about to stop.
    relay_client(asio::io_context& io, relay_info info,
        asio::ip::address source,
        std::function<void(const relay_client&)> on_lost);

    /// Starts to probe the relay, until it is lost or closed.
    void start(const task_supervisor& tasks);

    void close();

    /// @return whether the relay's clock is known and the relay is not lost.
    bool is_ready() const { return !is_closed_ && !boot_.empty(); }
    bool is_closed() const { return is_closed_; }
    /// @return whether the relay is about to stop.
    bool is_leaving() const { return is_leaving_; }
    const relay_info& get_info() const { return info_; }

    /// Passes a request to the relay.
    /// @param timeout of the call, longer than that of the request.
    /// @param valid_until from when on the request must not be sent.
    /// @param was_sent set to whether the request may have reached the relay.
    /// @return nothing without a reply; the relay may then still send the
    ///   request until `valid_until`.
    asio::awaitable<std::optional<peer_target_reply>> call(
        peer_target_call request, milliseconds timeout, boot_time valid_until,
        bool& was_sent);

private:
    asio::awaitable<void> probe_loop();
    void record_reply(const peer_target_reply& reply);
    void report_loss(const char* why);
    /// @return the time on the relay's clock; never later than the true one.
    relay_time to_relay_time(boot_time time) const;

    asio::io_context& io_;
    relay_info info_;
    std::function<void(const relay_client&)> on_lost_;
    peer_client client_;
    std::string boot_; ///< Boot id of the relay; empty until it is known.
    /// At `clock_received_at_` the relay's clock had at least this value.
    relay_time clock_;
    boot_time clock_received_at_{};
    bool is_closed_ = false;
    bool is_leaving_ = false;
};

} // namespace cowslippass
