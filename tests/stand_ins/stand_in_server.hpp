#pragma once

#include "core/core.hpp"
#include "drivers/drivers.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

namespace cowslippass
{

/// How the stand-in server delivers an answer.
enum class delivery
{
    whole,
    close,     ///< The connection is closed without an answer.
    none,      ///< Nothing is sent until the client closes.
    cut_short, ///< Half of the body is sent, then the connection is closed.
};

struct stand_in_response
{
    http_response response;
    delivery how = delivery::whole;
};

using stand_in_handler =
    std::function<asio::awaitable<stand_in_response>(http_request)>;

/// HTTP server with delivery faults that `http_server` has no reason to
/// offer. It notices a client that closes while its request is handled, so
/// that the connection count is exact.
class stand_in_server
{
public:
    stand_in_server(asio::io_context& io, const tcp::endpoint& endpoint,
        std::size_t max_connections, stand_in_handler handler)
        : state_(std::make_shared<state>(io, max_connections, handler))
    {
        auto& acceptor = state_->acceptor;
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        asio::co_spawn(
            io, [self = state_] { return accept_loop(self); }, asio::detached);
    }

    tcp::endpoint get_endpoint() const
    {
        return state_->acceptor.local_endpoint();
    }

    std::size_t get_connection_count() const { return state_->count; }

    std::size_t get_highest_connection_count() const { return state_->highest; }

    /// @return connections closed at once because of the maximum.
    std::size_t get_refused_connection_count() const { return state_->refused; }

private:
    static constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;

    struct state
    {
        state(asio::io_context& io, std::size_t max, stand_in_handler h)
            : acceptor(io), max_connections(max), handler(std::move(h))
        {
        }

        tcp::acceptor acceptor;
        std::size_t max_connections;
        stand_in_handler handler;
        std::size_t count = 0;
        std::size_t highest = 0;
        std::size_t refused = 0;
    };
    using state_ptr = std::shared_ptr<state>;

    struct connection
    {
        connection(tcp::socket s, state_ptr owner)
            : socket(std::move(s)), server(std::move(owner))
        {
        }

        /// Lowers the count of open connections once.
        void note_closed()
        {
            if (!is_closed)
                --server->count;
            is_closed = true;
        }

        tcp::socket socket;
        state_ptr server;
        boost::beast::flat_buffer buf;
        bool is_closed = false;
    };
    using connection_ptr = std::shared_ptr<connection>;
    using message =
        boost::beast::http::response<boost::beast::http::string_body>;

    static http_request to_request(
        boost::beast::http::request<boost::beast::http::string_body>&& from)
    {
        http_request out;
        out.method = std::string(from.method_string());
        for (const auto& field : from)
            out.headers[std::string(field.name_string())] =
                std::string(field.value());
        parse_request_target(std::string(from.target()), out);
        out.body = std::move(from.body());
        return out;
    }

    static message to_message(http_response&& response, bool keep_alive)
    {
        message out;
        out.version(11);
        out.result(response.status);
        for (const auto& [name, value] : response.headers)
            out.set(name, value);
        out.body() = std::move(response.body);
        out.keep_alive(keep_alive);
        out.prepare_payload();
        return out;
    }

    /// Reports a client that closed during a request. No client of this
    /// project sends a second request before it has the first answer, so a
    /// readable socket without data is a closed one.
    static void watch(const connection_ptr& conn)
    {
        conn->socket.async_wait(tcp::socket::wait_read,
            [conn](boost::system::error_code ec)
            {
                if (ec)
                    return;
                char byte = 0;
                conn->socket.non_blocking(true, ec);
                std::size_t n = conn->socket.receive(
                    asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
                if (n == 0 && ec != asio::error::would_block)
                    conn->note_closed();
            });
    }

    static asio::awaitable<stand_in_response> handle(state_ptr self,
        boost::beast::http::request<boost::beast::http::string_body> from)
    {
        http_response failed;
        try
        {
            co_return co_await self->handler(to_request(std::move(from)));
        }
        catch (const std::exception& e)
        {
            failed = {400, {}, std::string(e.what()) + "\n"};
        }
        co_return stand_in_response{failed};
    }

    /// @return whether the connection may serve another request.
    static asio::awaitable<bool> serve_one(state_ptr self, connection_ptr conn)
    {
        namespace http = boost::beast::http;
        boost::system::error_code ec;
        auto token = asio::redirect_error(asio::use_awaitable, ec);
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await http::async_read(conn->socket, conn->buf, parser, token);
        if (ec)
            co_return false;
        bool keep_alive = parser.get().keep_alive();
        watch(conn);
        stand_in_response answer = co_await handle(self, parser.release());
        conn->socket.cancel(ec);
        if (answer.how == delivery::none && !conn->is_closed)
            co_await conn->socket.async_wait(tcp::socket::wait_read, token);
        if (answer.how == delivery::none || answer.how == delivery::close)
            co_return false;
        message out = to_message(std::move(answer.response), keep_alive);
        if (answer.how == delivery::cut_short)
        {
            out.body().resize(out.body().size() / 2);
            keep_alive = false;
        }
        co_await http::async_write(conn->socket, out, token);
        co_return keep_alive && !ec;
    }

    static asio::awaitable<void> serve(state_ptr self, connection_ptr conn)
    {
        while (co_await serve_one(self, conn))
        {
        }
        conn->note_closed();
        boost::system::error_code ignored;
        conn->socket.close(ignored);
    }

    static asio::awaitable<void> accept_loop(state_ptr self)
    {
        while (self->acceptor.is_open())
        {
            boost::system::error_code ec;
            tcp::socket socket = co_await self->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, ec));
            // A pause, as running out of descriptors lasts for a while.
            if (ec)
            {
                asio::steady_timer pause(self->acceptor.get_executor());
                pause.expires_after(milliseconds(50));
                co_await pause.async_wait(
                    asio::redirect_error(asio::use_awaitable, ec));
                continue;
            }
            if (self->count >= self->max_connections)
            {
                ++self->refused;
                continue;
            }
            self->highest = std::max(self->highest, ++self->count);
            socket.set_option(tcp::no_delay(true), ec);
            auto conn = std::make_shared<connection>(std::move(socket), self);
            asio::co_spawn(
                self->acceptor.get_executor(),
                [self, conn] { return serve(self, conn); }, asio::detached);
        }
    }

    state_ptr state_;
};

/// Prints one address for the test that started this program.
inline void print_address(const char* name, const tcp::endpoint& endpoint)
{
    std::cout << name << ' ' << format_endpoint(endpoint) << std::endl;
}

/// Runs until SIGTERM or SIGINT.
inline void run_until_signal(asio::io_context& io)
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
}

} // namespace cowslippass
