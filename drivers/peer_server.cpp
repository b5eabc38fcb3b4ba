#include "drivers/peer_server.hpp"

#include "drivers/acceptor.hpp"

#include <algorithm>
#include <set>

namespace cowslippass
{

struct peer_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& io, peer_request_handler h, peer_error_handler f,
        connection_limits limits)
        : acceptor(io), handler(std::move(h)), on_error(std::move(f)),
          table(limits)
    {
    }

    void start(tcp::socket socket);

    asio::awaitable<void> accept_loop();

    tcp::acceptor acceptor;
    peer_request_handler handler;
    peer_error_handler on_error;
    std::set<std::shared_ptr<peer_connection>> connections;
    /// A connection is idle here until its first frame, then handling: an open
    /// link to a peer is not closed to make room. An unfinished frame is
    /// receiving.
    connection_table table;
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
        start(std::move(*socket));
    }
}

void peer_server::state::start(tcp::socket socket)
{
    auto connection =
        std::make_shared<peer_connection>(std::move(socket), handler, on_error);
    std::weak_ptr<peer_connection> weak = connection;
    auto slot = table.add(
        [weak]
        {
            if (auto it = weak.lock())
                it->close();
        });
    if (!slot)
    {
        on_error("too_many_connections",
            "refused a connection: each of the others is in use");
        return;
    }
    connections.insert(connection);
    peer_connection_observer observer;
    observer.on_read = [self = weak_from_this(), at = *slot](std::size_t n)
    {
        auto state = self.lock();
        if (!state)
            return;
        state->table.enter(at,
            n == 0 ? connection_phase::handling : connection_phase::receiving);
        state->table.hold(at, n);
    };
    observer.on_closed = [self = weak_from_this(), at = *slot]
    {
        if (auto state = self.lock())
            state->table.remove(at);
    };
    connection->start(std::move(observer));
}

peer_server::peer_server(asio::io_context& io, const tcp::endpoint& endpoint,
    peer_request_handler handler, peer_error_handler on_error,
    connection_limits limits)
    : state_(std::make_shared<state>(
          io, std::move(handler), std::move(on_error), limits))
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
