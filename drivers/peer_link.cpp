#include "drivers/peer_link.hpp"

#include "drivers/acceptor.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <set>

namespace cowslippass
{

namespace
{

constexpr milliseconds connect_timeout{1'000};

} // namespace

peer_client::peer_client(asio::io_context& io, tcp::endpoint endpoint,
    asio::ip::address source, peer_handler handler, peer_fault_handler on_fault)
    : io_(io), endpoint_(std::move(endpoint)), source_(std::move(source)),
      handler_(std::move(handler)), on_fault_(std::move(on_fault))
{
}

peer_client::~peer_client()
{
    close();
}

void peer_client::close()
{
    is_closed_ = true;
    if (connection_)
        connection_->close();
}

asio::awaitable<std::shared_ptr<peer_connection>> peer_client::connect()
{
    if (connection_ && connection_->get_quiet_time() > reuse_limit)
        connection_->close();
    if (connection_ && connection_->is_open())
        co_return connection_;
    if (connecting_)
    {
        auto done = connecting_;
        boost::system::error_code ec;
        co_await done->async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
    else
    {
        connecting_ = std::make_shared<asio::steady_timer>(io_);
        connecting_->expires_at(asio::steady_timer::time_point::max());
        co_await open_connection();
        connecting_->cancel();
        connecting_.reset();
    }
    if (!connection_ || !connection_->is_open())
        co_return nullptr;
    co_return connection_;
}

asio::awaitable<void> peer_client::open_connection()
{
    boost::beast::tcp_stream stream(io_);
    stream.expires_after(connect_timeout);
    boost::system::error_code ec;
    // An entry always speaks from the address that it is configured with.
    stream.socket().open(endpoint_.protocol(), ec);
    if (!ec && !source_.is_unspecified())
        stream.socket().bind({source_, 0}, ec);
    if (ec)
        co_return;
    co_await stream.async_connect(
        endpoint_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || is_closed_)
        co_return;
    connection_ = std::make_shared<peer_connection>(
        stream.release_socket(), handler_, on_fault_);
    connection_->start();
}

asio::awaitable<std::optional<peer_body>> peer_client::call(
    peer_body body, milliseconds timeout, bool& was_sent)
{
    was_sent = false;
    auto connection = co_await connect();
    if (!connection)
        co_return std::nullopt;
    was_sent = true;
    co_return co_await connection->call(std::move(body), timeout);
}

struct peer_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& io, peer_handler h, peer_fault_handler f)
        : acceptor(io), handler(std::move(h)), on_fault(std::move(f))
    {
    }

    asio::awaitable<void> accept_loop();

    tcp::acceptor acceptor;
    peer_handler handler;
    peer_fault_handler on_fault;
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
            std::move(*socket), handler, on_fault);
        connections.insert(connection);
        connection->start();
    }
}

peer_server::peer_server(asio::io_context& io, const tcp::endpoint& endpoint,
    peer_handler handler, peer_fault_handler on_fault)
    : state_(
          std::make_shared<state>(io, std::move(handler), std::move(on_fault)))
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

std::size_t peer_server::count_open() const
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
