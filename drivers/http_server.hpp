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
    /// A connection without a whole request for this long is closed.
    milliseconds idle_timeout{60'000};
    /// Builds the answer to a request that the server itself refuses.
    std::function<http_response(
        unsigned status, const std::string& code, const std::string& message)>
        make_error;
};

/// Serves HTTP/1.1 with keep-alive on one executor; handlers run as
/// coroutines on it.
class http_server
{
public:
    http_server(asio::io_context& io, http_server_options options,
        http_handler handler);
    ~http_server();

    /// @return the bound port, which the system chose if 0 was asked for.
    unsigned short get_port() const;

    /// Stops accepting; requests that are being handled are answered, then
    /// their connections are closed.
    void stop();

    /// @return requests read whole and not yet answered.
    std::size_t get_active_count() const;

    std::size_t get_connection_count() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cowslippass
