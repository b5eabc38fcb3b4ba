#include "drivers/peer_client.hpp"

#include "drivers/acceptor.hpp"
#include "drivers/endpoint.hpp"
#include "drivers/peer_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace cowslippass
{

namespace
{

/// A peer that replies to each hello with its own and collects the error codes.
class echo_peer
{
public:
    explicit echo_peer(asio::io_context& io)
        : server_(
              io, parse_endpoint("127.0.0.1:0"),
              [](peer_body body) -> asio::awaitable<std::optional<peer_body>>
              {
                  if (std::holds_alternative<peer_hello>(body))
                      co_return peer_body(peer_hello{session_id(7)});
                  co_return std::nullopt;
              },
              [this](const std::string& code, const std::string&)
              { errors.push_back(code); })
    {
    }

    tcp::endpoint get_endpoint() const
    {
        return {asio::ip::make_address("127.0.0.1"), server_.get_port()};
    }

    std::vector<std::string> errors;

private:
    peer_server server_;
};

/// A peer whose open connections can stop replying for good, as after a network
/// failure: frames are lost and no connection is closed.
class unresponsive_peer
{
public:
    explicit unresponsive_peer(asio::io_context& io)
        : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(
            io, [this] { return accept_loop(); }, asio::detached);
    }

    tcp::endpoint get_endpoint() const { return acceptor_.local_endpoint(); }

    /// Connections accepted later still reply.
    void stop_answering_open_connections()
    {
        first_answering_index_ = accepted_;
    }

    std::size_t get_accepted_count() const { return accepted_; }

private:
    asio::awaitable<void> accept_loop()
    {
        while (true)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            std::size_t index = accepted_++;
            peer_request_handler handler =
                [this, index](
                    peer_body) -> asio::awaitable<std::optional<peer_body>>
            {
                if (index < first_answering_index_)
                    co_return std::nullopt;
                co_return peer_body(peer_hello{session_id(7)});
            };
            std::make_shared<peer_connection>(std::move(socket), handler,
                [](const std::string&, const std::string&) {})
                ->start();
        }
    }

    tcp::acceptor acceptor_;
    std::size_t accepted_ = 0;
    std::size_t first_answering_index_ = 0;
};

/// Calls the peer once, makes the open connection unresponsive, and calls
/// again.
/// @param pauses time before each of the later calls.
/// @return whether each of the later calls got a reply.
std::vector<bool> call_after_peer_stops_answering(
    const std::vector<milliseconds>& pauses)
{
    constexpr milliseconds timeout{1'000};
    asio::io_context io;
    unresponsive_peer peer(io);
    peer_client client(
        io, peer.get_endpoint(), {},
        [](peer_body) -> asio::awaitable<std::optional<peer_body>>
        { co_return std::nullopt; },
        [](const std::string&, const std::string&) {});
    std::vector<bool> out;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            bool was_sent = false;
            peer_body first = peer_hello{session_id(1)};
            co_await client.call(std::move(first), timeout, was_sent);
            peer.stop_answering_open_connections();
            for (milliseconds pause : pauses)
            {
                asio::steady_timer timer(io, pause);
                co_await timer.async_wait(asio::use_awaitable);
                peer_body hello = peer_hello{session_id(1)};
                auto reply =
                    co_await client.call(std::move(hello), timeout, was_sent);
                out.push_back(reply.has_value());
            }
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(30));
    return out;
}

/// @return whether the peer closed the connection after receiving `bytes`.
bool is_connection_closed_after(
    asio::io_context& io, echo_peer& peer, std::string bytes)
{
    bool is_closed = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket socket(io);
            co_await socket.async_connect(
                peer.get_endpoint(), asio::use_awaitable);
            co_await asio::async_write(
                socket, asio::buffer(bytes), asio::use_awaitable);
            char buf = 0;
            boost::system::error_code ec;
            co_await asio::async_read(socket, asio::buffer(&buf, 1),
                asio::redirect_error(asio::use_awaitable, ec));
            is_closed = bool(ec);
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(20));
    return is_closed;
}

/// @return `body` behind its length as the protocol frames it.
std::string make_frame(const std::string& body)
{
    std::string out;
    for (int i = 0; i < 4; ++i)
        out.push_back(static_cast<char>(body.size() >> (8 * i)));
    return out + body;
}

} // namespace

// Guards against a second call that takes a fresh connection, on which no frame
// has arrived yet, for an old one and closes it under the first call.
TEST(peer_connection, a_call_before_the_first_reply_keeps_the_connection)
{
    asio::io_context io;
    echo_peer peer(io);
    peer_client client(
        io, peer.get_endpoint(), {},
        [](peer_body) -> asio::awaitable<std::optional<peer_body>>
        { co_return std::nullopt; },
        [](const std::string&, const std::string&) {});
    int replies = 0;
    auto call = [&]() -> asio::awaitable<void>
    {
        bool was_sent = false;
        peer_body hello = peer_hello{session_id(1)};
        auto reply = co_await client.call(
            std::move(hello), milliseconds(2'000), was_sent);
        if (reply && ++replies == 3)
            io.stop();
    };
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            // The peer runs in this thread: it replies after all calls.
            asio::co_spawn(io, call, asio::detached);
            while (!client.is_connected())
                co_await asio::post(io, asio::use_awaitable);
            asio::co_spawn(io, call, asio::detached);
            asio::co_spawn(io, call, asio::detached);
        },
        asio::detached);
    io.run_for(std::chrono::seconds(5));
    EXPECT_EQ(replies, 3);
}

// Guards against a reply that does not reach the call that waits for it.
TEST(peer_connection, a_request_gets_its_reply)
{
    asio::io_context io;
    echo_peer peer(io);
    peer_client client(
        io, peer.get_endpoint(), {},
        [](peer_body) -> asio::awaitable<std::optional<peer_body>>
        { co_return std::nullopt; },
        [](const std::string&, const std::string&) {});
    std::optional<peer_body> reply;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            bool was_sent = false;
            peer_body hello = peer_hello{session_id(1)};
            reply = co_await client.call(
                std::move(hello), milliseconds(10'000), was_sent);
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(20));
    ASSERT_TRUE(reply);
    EXPECT_EQ(std::get<peer_hello>(*reply).session, session_id(7));
}

// Guards against an unresponsive connection that stays open because each call
// on it times out before the liveness time-out, with no call pending in
// between.
TEST(peer_connection, short_calls_do_not_keep_an_unresponsive_connection_open)
{
    std::vector<milliseconds> pauses(4, milliseconds(200));
    EXPECT_TRUE(call_after_peer_stops_answering(pauses).back());
}

// Guards against a request that a partition holds back and that takes effect
// when the partition ends, long after its caller has given up.
TEST(peer_connection, a_silent_connection_drops_what_was_not_delivered)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    peer_client client(
        io, acceptor.local_endpoint(), {},
        [](peer_body) -> asio::awaitable<std::optional<peer_body>>
        { co_return std::nullopt; },
        [](const std::string&, const std::string&) {});
    boost::system::error_code end;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket socket =
                co_await acceptor.async_accept(asio::use_awaitable);
            std::array<char, 256> buf{};
            while (!end)
                co_await socket.async_read_some(asio::buffer(buf),
                    asio::redirect_error(asio::use_awaitable, end));
        },
        asio::detached);
    bool was_sent = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            peer_body body = peer_hello{};
            co_await client.call(std::move(body), milliseconds(100), was_sent);
        },
        asio::detached);
    io.run_for(peer_connection::liveness_timeout + std::chrono::seconds(2));
    EXPECT_TRUE(was_sent);
    EXPECT_EQ(end, asio::error::connection_reset);
}

// Guards against a request that is sent after a pause in which its permission
// has expired.
TEST(peer_connection, a_request_is_not_sent_after_the_end_of_its_validity)
{
    asio::io_context io;
    echo_peer peer(io);
    peer_client client(
        io, peer.get_endpoint(), {},
        [](peer_body) -> asio::awaitable<std::optional<peer_body>>
        { co_return std::nullopt; },
        [](const std::string&, const std::string&) {});
    bool was_sent = true;
    bool is_answered = true;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            peer_body body = peer_hello{};
            auto reply = co_await client.call(std::move(body),
                milliseconds(1'000), was_sent, boot_clock::now());
            is_answered = reply.has_value();
        },
        asio::detached);
    io.run_for(std::chrono::milliseconds(200));
    EXPECT_FALSE(was_sent);
    EXPECT_FALSE(is_answered);
}

// Guards against a lost request on a connection that the network dropped while
// it was idle; the outcome of a non-idempotent request would then be unknown.
TEST(peer_connection, a_call_after_a_long_pause_uses_a_new_connection)
{
    auto pause = peer_client::max_idle_time + milliseconds(200);
    EXPECT_TRUE(call_after_peer_stops_answering({pause}).front());
}

// Guards against one connection per call when many calls start at once, as they
// do towards a newly elected coordinator.
TEST(peer_connection, concurrent_calls_share_one_connection)
{
    asio::io_context io;
    unresponsive_peer peer(io);
    peer_client client(
        io, peer.get_endpoint(), asio::ip::make_address("127.0.0.1"),
        [](peer_body) -> asio::awaitable<std::optional<peer_body>>
        { co_return std::nullopt; },
        [](const std::string&, const std::string&) {});
    int answered = 0;
    for (int i = 0; i < 20; ++i)
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                bool was_sent = false;
                auto reply = co_await client.call(
                    peer_hello{session_id(1)}, milliseconds(1'000), was_sent);
                answered += reply ? 1 : 0;
            },
            asio::detached);
    io.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(answered, 20);
    EXPECT_EQ(peer.get_accepted_count(), 1U);
}

// Guards against callers that time out before a busy process accepts their
// connections, which happens if it accepts one in each pass of its event loop.
TEST(acceptor, accepts_all_pending_connections_without_yielding)
{
    asio::io_context io;
    tcp::acceptor acceptor(io);
    listen_on(acceptor, parse_endpoint("127.0.0.1:0"));
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 10; ++i)
        callers.emplace_back(io).connect(acceptor.local_endpoint());
    bool has_yielded = false;
    int taken = 0;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            asio::post(io, [&] { has_yielded = true; });
            for (int i = 0; i < 10; ++i)
            {
                auto socket = co_await accept_next(acceptor);
                taken += socket ? 1 : 0;
            }
            EXPECT_FALSE(has_yielded);
        },
        asio::detached);
    io.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(taken, 10);
}

// Guards against input from a peer that makes an entry allocate without a bound
// or read outside a buffer, and against further use of a connection whose frame
// boundaries are lost.
TEST(peer_connection, malformed_frames_close_the_connection_and_report_an_error)
{
    for (const std::string& bytes : {std::string("\xff\xff\xff\xff rest"),
             make_frame("not a buffer"), make_frame("")})
    {
        asio::io_context io;
        echo_peer peer(io);
        EXPECT_TRUE(is_connection_closed_after(io, peer, bytes));
        ASSERT_EQ(peer.errors.size(), 1u);
        EXPECT_EQ(peer.errors.front(), "malformed_frame");
    }
}

// Guards against a late or misdirected reply being returned to another request
// (I6).
TEST(peer_connection, an_unexpected_reply_is_dropped)
{
    asio::io_context io;
    echo_peer peer(io);
    peer_message stray{99, true, peer_hello{session_id(1)}};
    std::string bytes = make_frame(encode_peer_message(stray));
    // The malformed frame behind it makes the peer close the connection.
    EXPECT_TRUE(is_connection_closed_after(io, peer, bytes + make_frame("x")));
    ASSERT_EQ(peer.errors.size(), 2u);
    EXPECT_EQ(peer.errors.front(), "late_reply");
}

// Guards against reads outside the buffer, or unexpected exceptions, when one
// byte of an encoded message is corrupted.
RC_GTEST_PROP(peer_message, corrupted_buffers_are_decoded_or_rejected, ())
{
    peer_summary summary;
    summary.session = session_id(3);
    summary.pools.push_back({pool_id("p"), 1, 2, 3});
    summary.teams.push_back({team_id("t"), 1, 2, 3});
    std::string buf = encode_peer_message({5, false, summary});
    auto at = *rc::gen::inRange<std::size_t>(0, buf.size());
    buf[at] = *rc::gen::arbitrary<char>();
    try
    {
        decode_peer_message(buf);
    }
    catch (const platform_error& e)
    {
        RC_ASSERT(e.get_code() == "malformed_frame");
    }
}

} // namespace cowslippass
