#include "drivers/acceptor.hpp"

#include "core/core.hpp"

namespace cowslippass
{

namespace
{

/// Back-off after a failed accept.
constexpr milliseconds accept_retry_delay{50};

} // namespace

void listen_on(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    try
    {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }
    catch (const boost::system::system_error& e)
    {
        throw platform_error("cannot_listen", e.what());
    }
}

asio::awaitable<std::optional<tcp::socket>> accept_next(tcp::acceptor& acceptor)
{
    boost::system::error_code ec;
    // Pending connections are accepted without a pass of the event loop: a
    // busy process would otherwise accept only one of them in each pass.
    acceptor.non_blocking(true, ec);
    tcp::socket socket = acceptor.accept(ec);
    if (ec)
        socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
    {
        socket.set_option(tcp::no_delay(true), ec);
        co_return std::move(socket);
    }
    if (ec == asio::error::operation_aborted)
        co_return std::nullopt;
    // Running out of file descriptors must neither end the accept loop nor
    // make it spin.
    asio::steady_timer delay(acceptor.get_executor());
    delay.expires_after(accept_retry_delay);
    co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return std::nullopt;
}

} // namespace cowslippass
