#include "drivers/acceptor.hpp"

#include "core/core.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds pause_after_failure{50};

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
    // Connections that wait already are taken at once: a busy process would
    // take only one each time that it looks for events.
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
    // Running out of file descriptors must not end an accept loop, nor make
    // it spin.
    asio::steady_timer pause(acceptor.get_executor());
    pause.expires_after(pause_after_failure);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return std::nullopt;
}

} // namespace cowslippass
