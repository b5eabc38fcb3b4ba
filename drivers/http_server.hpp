#pragma once

#include "core/units.hpp"
#include "drivers/asio.hpp"
#include "drivers/connection_table.hpp"
#include "drivers/http_message.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace cowslippass
{

using http_handler =
    std::function<asio::awaitable<http_response>(http_request)>;

struct http_server_options
{
    tcp::endpoint endpoint;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Request line and fields together.
    std::size_t max_header_bytes = 16 * 1024;
    /// Bounds on all connections together. Beyond them idle and slow
    /// connections are closed, and no new ones are accepted when there are
    /// none.
    connection_limits limits;
    /// A connection on which no request begins within this time is closed. The
    /// same limit applies to the sending of a response.
    milliseconds idle_timeout{60'000};
    /// A request that has begun to arrive is complete within this time, or its
    /// connection is closed.
    milliseconds message_timeout{60'000};
    /// Called with the cause when the server refuses or closes a connection
    /// because of what its peer sends; may be empty.
    std::function<void(std::string_view cause)> on_refusal;
    /// Builds the response to a request that the server itself rejects; may be
    /// empty.
    std::function<http_response(
        unsigned status, const std::string& code, const std::string& message)>
        make_error;
};

/// HTTP/1.1 server with keep-alive. It runs on one executor, as do the handler
/// coroutines.
class http_server
{
public:
    http_server(asio::io_context& io, http_server_options options,
        http_handler handler);
    ~http_server();

    /// @return the bound port; the system chooses one if the endpoint's port is
    ///   0.
    unsigned short get_port() const;

    /// Stops accepting and closes idle connections. Requests in progress still
    /// get their responses; then their connections are closed.
    void stop();

    /// @return requests that were read completely and have no response yet.
    std::size_t get_active_count() const;

    std::size_t get_connection_count() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cowslippass
