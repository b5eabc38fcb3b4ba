#include "drivers/peer_client.hpp"

#include <boost/beast/core/tcp_stream.hpp>

namespace cowslippass
{

namespace
{

constexpr milliseconds connect_timeout{1'000};

} // namespace

peer_client::peer_client(asio::io_context& io, tcp::endpoint endpoint,
    asio::ip::address source, peer_request_handler handler,
    peer_error_handler on_error)
    : io_(io), endpoint_(std::move(endpoint)), source_(std::move(source)),
      handler_(std::move(handler)), on_error_(std::move(on_error))
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
    if (connection_ && connection_->get_time_since_last_frame() > max_idle_time)
        connection_->close();
    if (connection_ && connection_->is_open())
        co_return connection_;
    if (connect_done_)
    {
        auto done = connect_done_;
        boost::system::error_code ec;
        co_await done->async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
    else
    {
        connect_done_ = std::make_shared<asio::steady_timer>(io_);
        connect_done_->expires_at(asio::steady_timer::time_point::max());
        co_await open_connection();
        connect_done_->cancel();
        connect_done_.reset();
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
    // Connections always originate from the entry's configured address.
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
        stream.release_socket(), handler_, on_error_);
    connection_->start();
}

asio::awaitable<std::optional<peer_body>> peer_client::call(
    peer_body body, milliseconds timeout, bool& was_sent, boot_time valid_until)
{
    was_sent = false;
    auto connection = co_await connect();
    if (!connection || boot_clock::now() >= valid_until)
        co_return std::nullopt;
    was_sent = true;
    co_return co_await connection->call(std::move(body), timeout);
}

} // namespace cowslippass
