#include "drivers/http_client.hpp"

#include "drivers/endpoint.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <vector>

namespace cowslippass
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// A connection idle for longer is not reused: the peer may have closed it, or
/// a middlebox may have dropped its state.
constexpr milliseconds max_idle_time{5'000};

constexpr std::uint64_t max_response_bytes = 64 * 1024 * 1024;

/// Bound on what is read and not parsed yet: the header, and chunk headers and
/// trailers until they are complete.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;

struct connection
{
    explicit connection(asio::io_context& io) : stream(io) {}

    beast::tcp_stream stream;
    beast::flat_buffer buf{max_unparsed_bytes};
    monotonic_time idle_since{};
    /// Not earlier than the connection was established.
    boot_time connected_at{};
};

using connection_ptr = std::unique_ptr<connection>;

http::request<http::string_body> to_beast_request(
    http_request&& request, const std::string& host)
{
    http::request<http::string_body> out;
    out.version(11);
    out.method_string(request.method);
    out.target(format_request_target(request));
    out.set(http::field::host, host);
    for (const auto& [name, value] : request.headers)
        out.set(name, value);
    out.body() = std::move(request.body);
    out.prepare_payload();
    return out;
}

http_response from_beast_response(http::response<http::string_body>&& message)
{
    http_response out;
    out.status = message.result_int();
    for (const auto& field : message)
        out.headers[std::string(field.name_string())] =
            std::string(field.value());
    out.body = std::move(message.body());
    return out;
}

} // namespace

struct http_client::state
{
    state(asio::io_context& context, tcp::endpoint to, std::size_t limit)
        : io(context), endpoint(std::move(to)), host(format_endpoint(endpoint)),
          max_connections(limit)
    {
    }

    /// Waits until fewer than `max_connections` requests are in progress.
    /// @return false when the deadline passed first.
    asio::awaitable<bool> acquire_slot(monotonic_time deadline);
    /// @return null when no idle connection is fit for use.
    connection_ptr take_idle_connection(boot_time connected_before);
    /// @param conn is kept for reuse; null when it was closed.
    void release_slot(connection_ptr conn);
    /// Opens the connection, unless it is open.
    asio::awaitable<boost::system::error_code> connect(
        connection& conn, monotonic_time deadline);
    /// Sends the request over an open connection and reads the response.
    /// @param is_reusable is set when the connection may be kept alive.
    asio::awaitable<http_result> exchange(connection& conn,
        http::request<http::string_body> message, monotonic_time deadline,
        bool& is_reusable);

    asio::io_context& io;
    tcp::endpoint endpoint;
    std::string host;
    std::size_t max_connections;
    std::size_t slots_in_use = 0;
    std::vector<connection_ptr> idle_connections;
    std::deque<std::shared_ptr<asio::steady_timer>> slot_waiters;
};

asio::awaitable<bool> http_client::state::acquire_slot(monotonic_time deadline)
{
    while (slots_in_use >= max_connections)
    {
        if (std::chrono::steady_clock::now() >= deadline)
            co_return false;
        auto timer = std::make_shared<asio::steady_timer>(io);
        timer->expires_at(deadline);
        slot_waiters.push_back(timer);
        boost::system::error_code ec;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        std::erase(slot_waiters, timer);
    }
    ++slots_in_use;
    co_return true;
}

connection_ptr http_client::state::take_idle_connection(
    boot_time connected_before)
{
    auto now = std::chrono::steady_clock::now();
    std::erase_if(idle_connections, [&](const connection_ptr& it)
        { return now - it->idle_since > max_idle_time; });
    for (std::size_t i = idle_connections.size(); i-- > 0;)
    {
        if (idle_connections[i]->connected_at >= connected_before)
            continue;
        connection_ptr conn = std::move(idle_connections[i]);
        idle_connections.erase(
            idle_connections.begin() + static_cast<std::ptrdiff_t>(i));
        return conn;
    }
    return nullptr;
}

void http_client::state::release_slot(connection_ptr conn)
{
    --slots_in_use;
    if (conn)
    {
        conn->idle_since = std::chrono::steady_clock::now();
        idle_connections.push_back(std::move(conn));
    }
    if (!slot_waiters.empty())
    {
        slot_waiters.front()->cancel();
        slot_waiters.pop_front();
    }
}

asio::awaitable<boost::system::error_code> http_client::state::connect(
    connection& conn, monotonic_time deadline)
{
    beast::error_code ec;
    if (conn.stream.socket().is_open())
        co_return ec;
    conn.stream.expires_at(deadline);
    co_await conn.stream.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, ec));
    beast::error_code ignored;
    if (!ec)
        conn.stream.socket().set_option(tcp::no_delay(true), ignored);
    conn.connected_at = boot_clock::now();
    conn.stream.expires_never();
    co_return ec;
}

asio::awaitable<http_result> http_client::state::exchange(connection& conn,
    http::request<http::string_body> message, monotonic_time deadline,
    bool& is_reusable)
{
    beast::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    conn.stream.expires_at(deadline);
    co_await http::async_write(conn.stream, message, token);
    if (ec)
        co_return http_result{{}, http_failure::no_reply, ec.message()};
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    co_await http::async_read_header(conn.stream, conn.buf, parser, token);
    if (ec)
        co_return http_result{{}, http_failure::no_reply, ec.message()};
    co_await http::async_read(conn.stream, conn.buf, parser, token);
    if (ec)
        co_return http_result{{}, http_failure::truncated, ec.message()};
    is_reusable = parser.get().keep_alive();
    conn.stream.expires_never();
    co_return http_result{
        from_beast_response(parser.release()), http_failure::not_sent, {}};
}

http_client::http_client(
    asio::io_context& io, tcp::endpoint endpoint, std::size_t max_connections)
    : state_(std::make_shared<state>(io, std::move(endpoint), max_connections))
{
}

http_client::~http_client() = default;

asio::awaitable<http_result> http_client::send(http_request request,
    milliseconds timeout, boot_time valid_until, boot_time connected_before)
{
    // Keeps the state alive if the client is destroyed during the request.
    auto self = state_;
    auto deadline = std::chrono::steady_clock::now() + timeout;
    bool needs_old_connection = connected_before != boot_time::max();
    if (needs_old_connection && self->slots_in_use >= self->max_connections)
        co_return http_result{
            {}, http_failure::not_sent, "all connections are in use"};
    if (!co_await self->acquire_slot(deadline))
        co_return http_result{{}, http_failure::not_sent,
            "no connection became free before the deadline"};
    connection_ptr conn = self->take_idle_connection(connected_before);
    if (!conn && needs_old_connection)
    {
        self->release_slot(nullptr);
        co_return http_result{{}, http_failure::not_sent,
            "no connection was established early enough"};
    }
    if (!conn)
        conn = std::make_unique<connection>(self->io);
    http_result result;
    auto ec = co_await self->connect(*conn, deadline);
    if (ec)
    {
        result.message = ec.message();
        self->release_slot(nullptr);
        co_return result;
    }
    if (boot_clock::now() >= valid_until)
    {
        result.message =
            "the request was no longer valid when it could be sent";
        self->release_slot(std::move(conn));
        co_return result;
    }
    auto message = to_beast_request(std::move(request), self->host);
    bool is_reusable = false;
    result = co_await self->exchange(
        *conn, std::move(message), deadline, is_reusable);
    if (!is_reusable)
        conn.reset();
    self->release_slot(std::move(conn));
    co_return result;
}

const tcp::endpoint& http_client::get_endpoint() const
{
    return state_->endpoint;
}

std::size_t http_client::get_connection_count() const
{
    return state_->slots_in_use + state_->idle_connections.size();
}

} // namespace cowslippass
