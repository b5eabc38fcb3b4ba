#pragma once

#include "core/boot_clock.hpp"
#include "core/units.hpp"
#include "drivers/asio.hpp"
#include "drivers/http_message.hpp"

#include <memory>
#include <optional>
#include <string>

namespace cowslippass
{

/// How far a failed request got, and so whether it may have taken effect.
enum class http_failure
{
    not_sent, ///< No connection was made; it cannot have taken effect.
    no_reply, ///< Sent at least in part; it may have taken effect.
    truncated ///< The response began but did not arrive completely.
};

struct http_result
{
    std::optional<http_response> response; ///< Set on success only.
    http_failure failure = http_failure::not_sent;
    std::string message; ///< Cause of a failure, for logs.
};

/// Sends HTTP/1.1 requests to one address over a bounded connection pool.
/// Requests wait for a free connection; the wait counts towards the time-out.
class http_client
{
public:
    http_client(asio::io_context& io, tcp::endpoint endpoint,
        std::size_t max_connections);
    ~http_client();

    /// Reports I/O errors in the result and throws none.
    /// @param timeout for connecting, sending and receiving the complete
    ///   response. The connection is closed when it expires, so that an
    ///   unresponsive one is replaced.
    /// @param valid_until from then on nothing is sent any more. It is compared
    ///   with the boot clock immediately before the write, after the wait for a
    ///   connection, so that a process that was paused meanwhile does not act
    ///   on a permission that has expired.
    /// @param connected_before if set, the request uses only an idle connection
    ///   that was established before this time. A server that was replaced
    ///   since then does not get it. Without such a connection it is not sent.
    /// @return the complete response, or how the request failed. A reused
    ///   connection that was closed before the first byte of a response counts
    ///   as `no_reply`.
    asio::awaitable<http_result> send(http_request request,
        milliseconds timeout, boot_time valid_until = boot_time::max(),
        boot_time connected_before = boot_time::max());

    const tcp::endpoint& get_endpoint() const;

    /// @return connections in use or idle.
    std::size_t get_connection_count() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cowslippass
