#pragma once

#include "drivers/connection_table.hpp"
#include "drivers/peer_connection.hpp"

namespace cowslippass
{

/// Accepts connections from other entries.
class peer_server
{
public:
    /// @param limits on connections, and on the bytes of unfinished frames.
    ///   Beyond them connections that never sent a frame, and the oldest
    ///   unfinished frames, are closed.
    /// @throws platform_error (`cannot_listen`).
    peer_server(asio::io_context& io, const tcp::endpoint& endpoint,
        peer_request_handler handler, peer_error_handler on_error,
        connection_limits limits = {});
    ~peer_server();

    /// @return the bound port.
    unsigned short get_port() const;

    std::size_t count_open_connections() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cowslippass
