#pragma once

#include "drivers/peer_connection.hpp"

namespace cowslippass
{

/// The client side of the connection to one peer; connects on demand and
/// replaces a connection that ended or went silent.
class peer_client
{
public:
    /// A connection on which nothing came for this long may have been cut
    /// since; a request on it could be lost, and a handshake costs less.
    static constexpr milliseconds reuse_limit{5'000};

    /// @param source local address to connect from.
    peer_client(asio::io_context& io, tcp::endpoint endpoint,
        asio::ip::address source, peer_handler handler,
        peer_fault_handler on_fault);
    ~peer_client();

    /// @param was_sent is set to false when the request cannot have reached
    ///   the peer.
    asio::awaitable<std::optional<peer_body>> call(
        peer_body body, milliseconds timeout, bool& was_sent);

    /// Ends the connection and the calls that wait on it.
    void close();

    const tcp::endpoint& get_endpoint() const { return endpoint_; }

    bool is_connected() const { return connection_ && connection_->is_open(); }

private:
    /// Calls that need a connection at the same time share one.
    asio::awaitable<std::shared_ptr<peer_connection>> connect();
    asio::awaitable<void> open_connection();

    asio::io_context& io_;
    tcp::endpoint endpoint_;
    asio::ip::address source_;
    peer_handler handler_;
    peer_fault_handler on_fault_;
    std::shared_ptr<peer_connection> connection_;
    /// While one call connects, the others wait for it to be cancelled.
    std::shared_ptr<asio::steady_timer> connecting_;
    bool is_closed_ = false;
};

/// Accepts connections from peers.
class peer_server
{
public:
    /// @throws platform_error (`cannot_listen`).
    peer_server(asio::io_context& io, const tcp::endpoint& endpoint,
        peer_handler handler, peer_fault_handler on_fault);
    ~peer_server();

    unsigned short get_port() const;

    /// @return connections that are open.
    std::size_t count_open() const;

    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cowslippass
