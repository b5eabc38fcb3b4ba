#include "drivers/peer_server.hpp"

#include "drivers/acceptor.hpp"

#include <algorithm>
#include <set>

namespace cowslippass
{

struct peer_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& io, peer_request_handler h, peer_error_handler f)
        : acceptor(io), handler(std::move(h)), on_error(std::move(f))
    {
    }

    asio::awaitable<void> accept_loop();

    tcp::acceptor acceptor;
    peer_request_handler handler;
    peer_error_handler on_error;
    std::set<std::shared_ptr<peer_connection>> connections;
    bool is_stopping = false;
};

asio::awaitable<void> peer_server::state::accept_loop()
{
    auto self = shared_from_this();
    while (!is_stopping)
    {
        auto socket = co_await accept_next(acceptor);
        if (is_stopping)
            break;
        if (!socket)
            continue;
        std::erase_if(
            connections, [](const auto& it) { return !it->is_open(); });
        auto connection = std::make_shared<peer_connection>(
            std::move(*socket), handler, on_error);
        connections.insert(connection);
        connection->start();
    }
}

peer_server::peer_server(asio::io_context& io, const tcp::endpoint& endpoint,
    peer_request_handler handler, peer_error_handler on_error)
    : state_(
          std::make_shared<state>(io, std::move(handler), std::move(on_error)))
{
    listen_on(state_->acceptor, endpoint);
    asio::co_spawn(
        io, [self = state_] { return self->accept_loop(); }, asio::detached);
}

peer_server::~peer_server()
{
    stop();
}

unsigned short peer_server::get_port() const
{
    return state_->acceptor.local_endpoint().port();
}

std::size_t peer_server::count_open_connections() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state_->connections, [](const auto& it) { return it->is_open(); }));
}

void peer_server::stop()
{
    state_->is_stopping = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto& it : state_->connections)
        it->close();
    state_->connections.clear();
}

} // namespace cowslippass
