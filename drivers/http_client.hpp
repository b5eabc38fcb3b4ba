#pragma once

#include "core/units.hpp"
#include "drivers/asio.hpp"
#include "drivers/http_message.hpp"

#include <memory>
#include <optional>
#include <string>

namespace cowslippass
{

/// How far a failed request got; decides whether it may have taken effect.
enum class http_failure
{
    not_sent, ///< No connection; the request cannot have taken effect.
    no_reply, ///< Sent at least in part; it may have taken effect.
    cut_short ///< The answer began but did not arrive whole.
};

struct http_result
{
    std::optional<http_response> response; ///< Set exactly on success.
    http_failure failure = http_failure::not_sent;
    std::string message; ///< For logs, on failure.
};

/// Sends HTTP/1.1 requests to one address over a bounded set of connections.
/// Requests beyond the set wait; waiting counts towards the deadline.
class http_client
{
public:
    http_client(asio::io_context& io, tcp::endpoint endpoint,
        std::size_t max_connections);
    ~http_client();

    /// Never throws for input and output errors.
    /// @param timeout for connecting, sending and the whole answer; the
    ///   connection is then closed, so that a silent one is replaced.
    /// @return the whole answer, or how the request failed. A request whose
    ///   reused connection was closed before any byte of an answer came back
    ///   counts as `no_reply`.
    asio::awaitable<http_result> send(
        http_request request, milliseconds timeout);

    const tcp::endpoint& get_endpoint() const;

    std::size_t get_connection_count() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cowslippass
