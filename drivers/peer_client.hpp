#pragma once

#include "core/boot_clock.hpp"
#include "drivers/peer_connection.hpp"

namespace cowslippass
{

/// Client side of the connection to one peer. It connects on demand and
/// replaces a connection that was closed or is no longer responsive.
class peer_client
{
public:
    /// A connection on which nothing arrived for this long is replaced before
    /// the next request: the network may have dropped it meanwhile, and a new
    /// handshake costs less than a lost request.
    static constexpr milliseconds max_idle_time{5'000};

    /// @param source local address to connect from; the system chooses one if
    ///   it is unspecified.
    /// @param handler handles requests of the peer on this connection.
    peer_client(asio::io_context& io, tcp::endpoint endpoint,
        asio::ip::address source, peer_request_handler handler,
        peer_error_handler on_error);
    ~peer_client();

    /// Sends a request and waits for its reply; connects first if necessary.
    /// @param was_sent is set to false if the request cannot have reached the
    ///   peer, else to true.
    /// @param valid_until from then on it is not sent. It is compared with the
    ///   boot clock after the wait for a connection.
    /// @return the reply; nothing when there was no connection or no reply
    ///   within `timeout`.
    asio::awaitable<std::optional<peer_body>> call(peer_body body,
        milliseconds timeout, bool& was_sent,
        boot_time valid_until = boot_time::max());

    /// Closes the connection and ends the calls that wait on it.
    void close();

    const tcp::endpoint& get_endpoint() const { return endpoint_; }

    bool is_connected() const { return connection_ && connection_->is_open(); }

private:
    /// @return the open connection; null when none could be opened. Concurrent
    ///   calls share one connection.
    asio::awaitable<std::shared_ptr<peer_connection>> connect();
    asio::awaitable<void> open_connection();

    asio::io_context& io_;
    tcp::endpoint endpoint_;
    asio::ip::address source_;
    peer_request_handler handler_;
    peer_error_handler on_error_;
    std::shared_ptr<peer_connection> connection_;
    /// Set while one call opens the connection. Concurrent calls wait on it; it
    /// is cancelled when the attempt has ended.
    std::shared_ptr<asio::steady_timer> connect_done_;
    bool is_closed_ = false;
};

} // namespace cowslippass
