#pragma once

#include "core/units.hpp"
#include "drivers/asio.hpp"
#include "drivers/http_message.hpp"

#include <functional>
#include <memory>

namespace cowslippass
{

using http_handler =
    std::function<asio::awaitable<http_response>(http_request)>;

struct http_server_options
{
    tcp::endpoint endpoint;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_connections = 4096;
    /// A connection that sends no complete request within this time is closed.
    /// The same limit applies to the sending of a response.
    milliseconds idle_timeout{60'000};
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
