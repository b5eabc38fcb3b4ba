#include "drivers/http_server.hpp"

#include "core/errors.hpp"
#include "drivers/acceptor.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>

namespace cowslippass
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

struct http_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& io, http_server_options opts, http_handler h)
        : acceptor(io), options(std::move(opts)), handler(std::move(h))
    {
    }

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);
    asio::awaitable<http_response> handle(
        http::request<http::string_body> message);
    http_response make_error(unsigned status, const std::string& code,
        const std::string& message) const;

    tcp::acceptor acceptor;
    http_server_options options;
    http_handler handler;
    std::size_t active_count = 0;
    /// Connections that wait for a request; `stop` closes them at once.
    std::set<std::shared_ptr<beast::tcp_stream>> idle;
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

asio::awaitable<void> http_server::state::serve(
    std::shared_ptr<beast::tcp_stream> stream)
{
    auto self = shared_from_this();
    ++connection_count;
    beast::flat_buffer buf;
    bool keep_alive = true;
    while (keep_alive && !is_stopping)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(options.max_body_bytes);
        beast::error_code ec;
        stream->expires_after(options.idle_timeout);
        idle.insert(stream);
        co_await http::async_read_header(*stream, buf, parser,
            asio::redirect_error(asio::use_awaitable, ec));
        idle.erase(stream);
        if (!ec)
            co_await http::async_read(*stream, buf, parser,
                asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
            ec == asio::error::operation_aborted ||
            ec == asio::error::connection_reset)
            break;
        http_response response;
        if (ec == http::error::body_limit)
        {
            response = make_error(413, "body_too_large",
                "the body is larger than " +
                    std::to_string(options.max_body_bytes) + " bytes");
            keep_alive = false;
        }
        else if (ec)
        {
            response = make_error(400, "bad_request", ec.message());
            keep_alive = false;
        }
        else
        {
            keep_alive = parser.get().keep_alive();
            ++active_count;
            stream->expires_never();
            response = co_await handle(parser.release());
            --active_count;
        }
        auto message =
            to_beast_response(std::move(response), keep_alive && !is_stopping);
        stream->expires_after(options.idle_timeout);
        co_await http::async_write(
            *stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
    }
    --connection_count;
    beast::error_code ignored;
    stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> http_server::state::accept_loop()
{
    auto self = shared_from_this();
    while (!is_stopping)
    {
        auto socket = co_await accept_next(acceptor);
        if (is_stopping)
            break;
        if (!socket)
            continue;
        if (connection_count >= options.max_connections)
            continue;
        auto stream = std::make_shared<beast::tcp_stream>(std::move(*socket));
        asio::co_spawn(
            acceptor.get_executor(),
            [self, stream]() -> asio::awaitable<void>
            { return self->serve(stream); },
            asio::detached);
    }
}

http_server::http_server(
    asio::io_context& io, http_server_options options, http_handler handler)
    : state_(
          std::make_shared<state>(io, std::move(options), std::move(handler)))
{
    listen_on(state_->acceptor, state_->options.endpoint);
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
    auto idle = state_->idle;
    for (const auto& stream : idle)
        stream->cancel();
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
