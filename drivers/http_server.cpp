#include "drivers/http_server.hpp"

#include "core/errors.hpp"
#include "drivers/acceptor.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <sstream>

namespace cowslippass
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

using request_parser = http::request_parser<http::string_body>;

/// Bytes that one read takes from the socket at most, and at first.
constexpr std::size_t max_read_bytes = 64 * 1024;
constexpr std::size_t min_read_bytes = 4 * 1024;
/// A message may have this many times the bytes of its body: a chunk of one
/// byte has six.
constexpr std::size_t framing_factor = 8;
/// Kernel buffer of a connection for what the server has not read yet.
constexpr int receive_buffer_bytes = 64 * 1024;
constexpr std::size_t max_accepts_in_turn = 64;
/// After a refusal the rest of the request is discarded for this long and up to
/// this size, as a reset could overtake the response.
constexpr milliseconds discard_time{1'000};
constexpr std::size_t max_discarded_bytes = 1024 * 1024;

} // namespace

struct http_server::state : std::enable_shared_from_this<state>
{
    struct connection
    {
        explicit connection(tcp::socket socket) : stream(std::move(socket)) {}

        beast::tcp_stream stream;
        /// Bytes that were read and not parsed. Chunk sizes, extensions and
        /// trailers stay here until they are complete.
        beast::flat_buffer buf{max_read_bytes};
        connection_table::slot slot;
    };
    using connection_ptr = std::shared_ptr<connection>;

    state(asio::io_context& io, http_server_options opts, http_handler h)
        : acceptor(io), options(std::move(opts)), handler(std::move(h)),
          connections(options.limits)
    {
    }

    asio::awaitable<void> accept_loop();
    void start(tcp::socket socket);
    asio::awaitable<void> serve(connection_ptr conn);
    asio::awaitable<void> serve_requests(connection& conn);
    /// Reads one message and counts what it holds.
    asio::awaitable<beast::error_code> read(
        connection& conn, request_parser& parser);
    asio::awaitable<beast::error_code> write(
        connection& conn, http_response response, bool keep_alive);
    /// Answers a message that was not read, if it is worth an answer.
    asio::awaitable<void> refuse(
        connection& conn, beast::error_code ec, const request_parser& parser);
    asio::awaitable<void> discard(connection& conn);
    asio::awaitable<http_response> handle(
        http::request<http::string_body> message);
    /// Frees the descriptor of a connection that has to make room.
    void close_for_room(connection& conn);
    void report(std::string_view cause) const;
    http_response make_error(unsigned status, const std::string& code,
        const std::string& message) const;

    tcp::acceptor acceptor;
    http_server_options options;
    http_handler handler;
    std::size_t active_count = 0;
    connection_table connections;
    std::size_t connection_count = 0;
    bool is_stopping = false;
};

namespace
{

http_request from_beast_request(http::request<http::string_body>&& message)
{
    http_request out;
    out.method = std::string(message.method_string());
    for (const auto& field : message)
        out.headers[std::string(field.name_string())] =
            std::string(field.value());
    parse_request_target(std::string(message.target()), out);
    out.body = std::move(message.body());
    return out;
}

http::response<http::string_body> to_beast_response(
    http_response&& response, bool keep_alive)
{
    http::response<http::string_body> out;
    out.version(11);
    out.result(response.status);
    for (const auto& [name, value] : response.headers)
        out.set(name, value);
    out.body() = std::move(response.body);
    out.keep_alive(keep_alive);
    out.prepare_payload();
    return out;
}

} // namespace

http_response http_server::state::make_error(
    unsigned status, const std::string& code, const std::string& message) const
{
    if (options.make_error)
        return options.make_error(status, code, message);
    return {status, {}, code + ": " + message + "\n"};
}

asio::awaitable<http_response> http_server::state::handle(
    http::request<http::string_body> message)
{
    std::optional<http_response> refused;
    http_request request;
    try
    {
        request = from_beast_request(std::move(message));
    }
    catch (const error& e)
    {
        refused = make_error(400, e.get_code(), e.what());
    }
    if (refused)
        co_return *refused;
    try
    {
        co_return co_await handler(std::move(request));
    }
    catch (const std::exception& e)
    {
        refused = make_error(500, "internal", e.what());
    }
    co_return *refused;
}

asio::awaitable<beast::error_code> http_server::state::read(
    connection& conn, request_parser& parser)
{
    beast::flat_buffer& buf = conn.buf;
    const std::size_t max_message_bytes =
        options.max_header_bytes + max_read_bytes +
        framing_factor * options.max_body_bytes;
    std::size_t message_bytes = buf.size();
    bool has_begun = false;
    for (;;)
    {
        beast::error_code ec;
        if (buf.size() != 0)
            buf.consume(parser.put(buf.data(), ec));
        if (ec && ec != http::error::need_more)
            co_return ec;
        if (parser.is_done())
            co_return beast::error_code();
        std::size_t room = buf.max_size() - buf.size();
        if (room == 0 || message_bytes > max_message_bytes)
            co_return http::error::buffer_overflow;
        if (!has_begun && message_bytes != 0)
        {
            has_begun = true;
            connections.enter(conn.slot, connection_phase::receiving);
            conn.stream.expires_after(options.message_timeout);
        }
        // Includes what the header announces. Capacity above the limit on
        // bodies is never written to.
        std::size_t body_bytes =
            std::min(parser.get().body().capacity(), options.max_body_bytes);
        if (has_begun &&
            !connections.hold(conn.slot, buf.capacity() + body_bytes))
            co_return asio::error::no_memory;
        if (conn.slot->is_closed)
            co_return asio::error::operation_aborted;
        std::size_t spare = buf.capacity() - buf.size();
        room = std::min(room, std::max(spare, min_read_bytes));
        std::size_t n = co_await conn.stream.async_read_some(
            buf.prepare(room), asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::eof && parser.got_some())
            parser.put_eof(ec);
        else if (ec == asio::error::eof)
            ec = http::error::end_of_stream;
        if (ec)
            co_return ec;
        buf.commit(n);
        message_bytes += n;
    }
}

asio::awaitable<beast::error_code> http_server::state::write(
    connection& conn, http_response response, bool keep_alive)
{
    auto message = to_beast_response(std::move(response), keep_alive);
    // Others give way to a response that is ready.
    connections.hold(conn.slot, message.body().size());
    connections.enter(conn.slot, connection_phase::sending);
    beast::error_code ec = asio::error::operation_aborted;
    if (conn.slot->is_closed)
        co_return ec;
    conn.stream.expires_after(options.idle_timeout);
    co_await http::async_write(
        conn.stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == beast::error::timeout)
        report("slow");
    co_return ec;
}

asio::awaitable<void> http_server::state::refuse(
    connection& conn, beast::error_code ec, const request_parser& parser)
{
    if (conn.slot->is_closed || ec == http::error::end_of_stream ||
        ec == asio::error::operation_aborted ||
        ec == asio::error::connection_reset)
        co_return;
    if (ec == beast::error::timeout)
    {
        if (parser.got_some())
            report("slow");
        co_return;
    }
    http_response response;
    if (ec == http::error::body_limit)
    {
        report("body");
        response = make_error(413, "body_too_large",
            "the body is larger than " +
                std::to_string(options.max_body_bytes) + " bytes");
    }
    else if (ec == http::error::header_limit ||
             ec == http::error::buffer_overflow)
    {
        report("header");
        response = make_error(431, "header_too_large",
            "the header, a chunk's header or the trailer is too large");
    }
    else if (ec == asio::error::no_memory)
    {
        report("pressure");
        response = make_error(
            503, "overloaded", "too many requests are here; nothing was done");
        response.headers["Retry-After"] = "1";
    }
    else
    {
        report("malformed");
        response = make_error(400, "bad_request", ec.message());
    }
    if (co_await write(conn, std::move(response), false))
        co_return;
    co_await discard(conn);
}

asio::awaitable<void> http_server::state::discard(connection& conn)
{
    beast::error_code ec;
    conn.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    conn.buf = beast::flat_buffer(max_read_bytes);
    conn.stream.expires_after(discard_time);
    std::size_t discarded = 0;
    while (!ec && discarded < max_discarded_bytes && !conn.slot->is_closed)
        discarded += co_await conn.stream.async_read_some(
            conn.buf.prepare(min_read_bytes),
            asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> http_server::state::serve_requests(connection& conn)
{
    bool keep_alive = true;
    while (keep_alive && !is_stopping && !conn.slot->is_closed)
    {
        request_parser parser;
        parser.eager(true);
        parser.header_limit(
            static_cast<std::uint32_t>(options.max_header_bytes));
        parser.body_limit(options.max_body_bytes);
        connections.enter(conn.slot, connection_phase::idle);
        connections.hold(conn.slot, 0);
        conn.stream.expires_after(options.idle_timeout);
        auto ec = co_await read(conn, parser);
        if (ec)
        {
            co_await refuse(conn, ec, parser);
            co_return;
        }
        keep_alive = parser.get().keep_alive();
        connections.enter(conn.slot, connection_phase::handling);
        if (!connections.hold(conn.slot, parser.get().body().size()))
        {
            co_await refuse(conn, asio::error::no_memory, parser);
            co_return;
        }
        // An idle connection keeps no buffer that a large request needed.
        if (conn.buf.size() == 0 && conn.buf.capacity() > min_read_bytes)
            conn.buf.shrink_to_fit();
        ++active_count;
        conn.stream.expires_never();
        http_response response = co_await handle(parser.release());
        --active_count;
        if (co_await write(
                conn, std::move(response), keep_alive && !is_stopping))
            co_return;
    }
}

asio::awaitable<void> http_server::state::serve(connection_ptr conn)
{
    auto self = shared_from_this();
    ++connection_count;
    try
    {
        co_await serve_requests(*conn);
    }
    catch (const std::exception&)
    {
        // Only this connection ends, also when memory is short.
        report("internal");
    }
    --connection_count;
    connections.remove(conn->slot);
    beast::error_code ignored;
    conn->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

void http_server::state::close_for_room(connection& conn)
{
    if (conn.slot->phase == connection_phase::receiving && !is_stopping)
    {
        // The response is lost if the peer is still sending or does not read.
        http_response refusal = make_error(
            503, "overloaded", "too many requests are here; nothing was done");
        refusal.headers["Retry-After"] = "1";
        std::ostringstream text;
        text << to_beast_response(std::move(refusal), false);
        beast::error_code ignored;
        conn.stream.socket().non_blocking(true, ignored);
        conn.stream.socket().write_some(asio::buffer(text.str()), ignored);
    }
    if (!is_stopping)
        report(
            conn.slot->phase == connection_phase::idle ? "idle" : "pressure");
    conn.stream.close();
}

void http_server::state::report(std::string_view cause) const
{
    if (options.on_refusal)
        options.on_refusal(cause);
}

void http_server::state::start(tcp::socket socket)
{
    auto conn = std::make_shared<connection>(std::move(socket));
    auto slot = connections.add([this, conn] { close_for_room(*conn); });
    if (!slot)
    {
        report("connections");
        return;
    }
    conn->slot = *slot;
    asio::co_spawn(
        acceptor.get_executor(),
        [self = shared_from_this(), conn] { return self->serve(conn); },
        asio::detached);
}

asio::awaitable<void> http_server::state::accept_loop()
{
    auto self = shared_from_this();
    std::size_t accepted = 0;
    while (!is_stopping)
    {
        auto socket = co_await accept_next(acceptor);
        if (is_stopping)
            break;
        if (socket)
            start(std::move(*socket));
        // Pending connections are accepted without a pass of the event loop; a
        // crowd that connects without end must not hold it up.
        if (++accepted % max_accepts_in_turn == 0)
            co_await asio::post(asio::use_awaitable);
    }
}

http_server::http_server(
    asio::io_context& io, http_server_options options, http_handler handler)
    : state_(
          std::make_shared<state>(io, std::move(options), std::move(handler)))
{
    listen_on(state_->acceptor, state_->options.endpoint);
    boost::system::error_code ignored;
    // Accepted sockets inherit it.
    state_->acceptor.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    asio::co_spawn(
        io, [self = state_] { return self->accept_loop(); }, asio::detached);
}

http_server::~http_server()
{
    stop();
}

unsigned short http_server::get_port() const
{
    return state_->acceptor.local_endpoint().port();
}

void http_server::stop()
{
    state_->is_stopping = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->connections.close_idle();
}

std::size_t http_server::get_active_count() const
{
    return state_->active_count;
}

std::size_t http_server::get_connection_count() const
{
    return state_->connection_count;
}

} // namespace cowslippass
