#include "core/core.hpp"
#include "drivers/drivers.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

/// Echoes the body and the query parameter `q`; `/fail` throws.
asio::awaitable<http_response> echo(http_request request)
{
    if (request.path == "/fail")
        throw std::runtime_error("failed on purpose");
    co_return http_response{
        200, {{"X-Query", request.get_query("q")}}, request.body};
}

/// Sends one request to a server with the handler `echo`.
http_result send_once(unsigned max_body, http_request request)
{
    asio::io_context io;
    http_server_options options;
    options.endpoint = parse_endpoint("127.0.0.1:0");
    options.max_body_bytes = max_body;
    http_server server(io, options, echo);
    http_client client(io,
        parse_endpoint("127.0.0.1:" + std::to_string(server.get_port())), 2);
    http_result out;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            out = co_await client.send(request, milliseconds(5'000));
            server.stop();
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(10));
    return out;
}

asio::awaitable<void> send_get(
    http_client& client, boot_time valid_until, http_result& out)
{
    http_request request;
    request.path = "/";
    milliseconds timeout{5'000};
    out = co_await client.send(request, timeout, valid_until);
}

} // namespace

// Guards against query parameters that are altered by percent-encoding, and
// against lost headers or bodies.
TEST(http, request_and_response_arrive_complete)
{
    http_request request{"POST", "/x", {{"q", "a b&c/%"}}, {}, "payload"};
    http_result result = send_once(100, request);
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 200u);
    EXPECT_EQ(result.response->body, "payload");
    EXPECT_EQ(result.response->get_header("x-query"), "a b&c/%");
}

// Guards against a request that waited for a connection and is sent after the
// permission for it has expired.
TEST(http, a_request_is_not_sent_after_the_end_of_its_validity)
{
    asio::io_context io;
    http_server_options options;
    options.endpoint = parse_endpoint("127.0.0.1:0");
    int requests = 0;
    http_server server(io, options,
        [&](http_request) -> asio::awaitable<http_response>
        {
            ++requests;
            asio::steady_timer timer(io, milliseconds(100));
            co_await timer.async_wait(asio::use_awaitable);
            co_return http_response{};
        });
    http_client client(io,
        parse_endpoint("127.0.0.1:" + std::to_string(server.get_port())), 1);
    http_result first;
    http_result second;
    asio::co_spawn(
        io, send_get(client, boot_time::max(), first), asio::detached);
    asio::co_spawn(io,
        send_get(client, boot_clock::now() + milliseconds(20), second),
        asio::detached);
    io.run_for(std::chrono::seconds(1));
    EXPECT_TRUE(first.response);
    EXPECT_FALSE(second.response);
    EXPECT_EQ(second.failure, http_failure::not_sent);
    EXPECT_EQ(requests, 1);
}

// Guards against unbounded memory use when a client sends a body over the
// limit.
TEST(http, a_body_over_the_limit_is_refused)
{
    http_result result = send_once(10, {"POST", "/x", {}, {}, "eleven bytes"});
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 413u);
}

// Guards against an exception in a handler that ends the server or leaves the
// request without a response.
TEST(http, a_failing_handler_is_answered_with_500)
{
    http_result result = send_once(10, {"GET", "/fail", {}, {}, ""});
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 500u);
}

// Guards against an address with a missing port, a host name, a port out of
// range or unbalanced brackets being accepted from a configuration.
TEST(endpoint, malformed_addresses_are_refused)
{
    for (const char* text : {"", "127.0.0.1", "host:80", "127.0.0.1:x",
             "127.0.0.1:70000", "[::1:80", "::1:80"})
        EXPECT_THROW(parse_endpoint(text), platform_error) << text;
    EXPECT_EQ(format_endpoint(parse_endpoint("[::1]:80")), "[::1]:80");
}

} // namespace cowslippass
