#include "drivers/drivers.hpp"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <vector>

namespace cowslippass
{

namespace
{

constexpr std::size_t flood_bytes = 16 * 1024 * 1024;

/// A server with a small body limit, to which raw bytes are sent.
class http_bounds : public testing::Test
{
protected:
    http_bounds()
    {
        options.endpoint = parse_endpoint("127.0.0.1:0");
        options.max_body_bytes = 1'000;
        options.on_refusal = [this](std::string_view cause)
        { causes.emplace_back(cause); };
    }

    /// Sends the bytes, then the block until the peer closes.
    /// @return what the server answered.
    std::string exchange(std::string bytes, std::string block = {})
    {
        http_server server(io, options,
            [](http_request request) -> asio::awaitable<http_response> {
                co_return http_response{200, {}, request.body};
            });
        std::string out;
        tcp::endpoint to(
            asio::ip::make_address("127.0.0.1"), server.get_port());
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                tcp::socket socket(io);
                co_await socket.async_connect(to, asio::use_awaitable);
                asio::co_spawn(io, flood(socket, bytes, block), asio::detached);
                boost::system::error_code ec;
                char buf[4096];
                while (!ec)
                {
                    std::size_t n =
                        co_await socket.async_read_some(asio::buffer(buf),
                            asio::redirect_error(asio::use_awaitable, ec));
                    out.append(buf, n);
                }
                socket.close();
                server.stop();
                io.stop();
            },
            asio::detached);
        io.run_for(std::chrono::seconds(10));
        return out;
    }

    asio::awaitable<void> flood(
        tcp::socket& socket, const std::string& bytes, const std::string& block)
    {
        boost::system::error_code ec;
        co_await asio::async_write(socket, asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, ec));
        while (!ec && !block.empty() && sent < flood_bytes)
            sent += co_await asio::async_write(socket, asio::buffer(block),
                asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::io_context io;
    http_server_options options;
    std::vector<std::string> causes;
    std::size_t sent = 0;
};

const std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Trailers without end: an answer, and an end well before the caller's.
TEST_F(http_bounds, trailers_without_end_are_refused)
{
    std::string answer =
        exchange(chunked + "0\r\n", std::string(1'000, 'a') + "\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431 ")) << answer;
    EXPECT_LT(sent, flood_bytes);
    EXPECT_EQ(causes, std::vector<std::string>{"header"});
}

// Chunk extensions that are many times larger than the body they frame.
TEST_F(http_bounds, framing_without_end_is_refused)
{
    std::string answer =
        exchange(chunked, "1;a=" + std::string(2'000, 'a') + "\r\nx\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431 ")) << answer;
    EXPECT_LT(sent, flood_bytes);
}

// A caller inside the limits that sends each byte as a chunk of its own, with
// short trailers.
TEST_F(http_bounds, single_byte_chunks_of_the_largest_body_are_served)
{
    std::string body;
    for (int i = 0; i < 1'000; ++i)
        body += "1\r\nx\r\n";
    std::string request = chunked + body + "0\r\nX-Trailer: a\r\n\r\n";
    request.insert(request.find("Host"), "Connection: close\r\n");
    std::string answer = exchange(request);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_TRUE(answer.ends_with(std::string(1'000, 'x')));
    EXPECT_TRUE(causes.empty());
}

// A refusal that a reset would take from a caller that is still sending.
TEST_F(http_bounds, a_large_body_is_answered_before_the_end)
{
    std::string answer = exchange(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n",
        std::string(10'000, 'x'));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413 ")) << answer;
    EXPECT_EQ(causes, std::vector<std::string>{"body"});
}

// A request that trickles without end.
TEST_F(http_bounds, an_unfinished_request_ends_after_its_time)
{
    options.message_timeout = milliseconds(200);
    EXPECT_EQ(exchange("POST /x HTTP/1.1\r\nHost: h\r\n"), "");
    EXPECT_EQ(causes, std::vector<std::string>{"slow"});
}

// A store or target whose response has trailers without end.
TEST(http_client_bounds, response_trailers_without_end_are_given_up)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint("127.0.0.1:0"));
    std::size_t sent = 0;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket socket =
                co_await acceptor.async_accept(asio::use_awaitable);
            std::string block = "HTTP/1.1 200 OK\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\n";
            boost::system::error_code ec;
            while (!ec && sent < flood_bytes)
            {
                sent += co_await asio::async_write(socket, asio::buffer(block),
                    asio::redirect_error(asio::use_awaitable, ec));
                block = "X-Trailer: " + std::string(1'000, 'a') + "\r\n";
            }
        },
        asio::detached);
    http_client client(io, acceptor.local_endpoint(), 1);
    http_result result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            http_request request;
            request.path = "/";
            result = co_await client.send(request, milliseconds(5'000));
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(10));
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.failure, http_failure::truncated);
    EXPECT_LT(sent, flood_bytes);
}

} // namespace cowslippass
