#include "drivers/peer_link.hpp"

#include "drivers/acceptor.hpp"
#include "drivers/endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

/// A peer that answers each hello with its own and collects faults.
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
              { faults.push_back(code); })
    {
    }

    tcp::endpoint get_endpoint() const
    {
        return {asio::ip::make_address("127.0.0.1"), server_.get_port()};
    }

    std::vector<std::string> faults;

private:
    peer_server server_;
};

/// A peer whose open connections can go silent for good, as after a network
/// cut: bytes arrive nowhere and nothing is closed.
class silenced_peer
{
public:
    explicit silenced_peer(asio::io_context& io)
        : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(
            io, [this] { return accept_all(); }, asio::detached);
    }

    tcp::endpoint get_endpoint() const { return acceptor_.local_endpoint(); }

    void silence_open() { first_answering_ = accepted_; }

    std::size_t count_accepted() const { return accepted_; }

private:
    asio::awaitable<void> accept_all()
    {
        while (true)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            std::size_t index = accepted_++;
            peer_handler handler =
                [this, index](
                    peer_body) -> asio::awaitable<std::optional<peer_body>>
            {
                if (index < first_answering_)
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
    std::size_t first_answering_ = 0;
};

/// Calls the peer once, silences the open connection, and calls again.
/// @param pauses time before each of the later calls.
/// @return whether each of the later calls got a reply.
std::vector<bool> call_after_silence(const std::vector<milliseconds>& pauses)
{
    constexpr milliseconds timeout{1'000};
    asio::io_context io;
    silenced_peer peer(io);
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
            peer.silence_open();
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

/// @return whether the peer closed the connection after these bytes.
bool is_cut_off_after(asio::io_context& io, echo_peer& peer, std::string bytes)
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

std::string make_frame(const std::string& body)
{
    std::string out;
    for (int i = 0; i < 4; ++i)
        out.push_back(static_cast<char>(body.size() >> (8 * i)));
    return out + body;
}

} // namespace

TEST(peer_link, a_request_gets_its_reply)
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

// Guards against a silent connection that lives on because each of its calls
// ends before the silence limit, with no other call open in between.
TEST(peer_link, short_calls_do_not_keep_a_silent_connection)
{
    std::vector<milliseconds> pauses(4, milliseconds(200));
    EXPECT_TRUE(call_after_silence(pauses).back());
}

// Guards against a request that is lost, and for a non-idempotent one ends
// unknown, on a connection that went silent while nobody used it.
TEST(peer_link, a_call_after_a_long_pause_uses_a_new_connection)
{
    auto pause = peer_client::reuse_limit + milliseconds(200);
    EXPECT_TRUE(call_after_silence({pause}).front());
}

// Guards against a storm of connections when many calls wait for a peer that
// has just become the coordinator.
TEST(peer_link, calls_at_the_same_time_share_a_connection)
{
    asio::io_context io;
    silenced_peer peer(io);
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
    EXPECT_EQ(peer.count_accepted(), 1U);
}

// Guards against connections that are closed as silent before a busy process
// has taken them: it must not need a round of its events for each.
TEST(acceptor, takes_all_waiting_connections_at_once)
{
    asio::io_context io;
    tcp::acceptor acceptor(io);
    listen_on(acceptor, parse_endpoint("127.0.0.1:0"));
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 10; ++i)
        callers.emplace_back(io).connect(acceptor.local_endpoint());
    bool had_others_turn = false;
    int taken = 0;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            asio::post(io, [&] { had_others_turn = true; });
            for (int i = 0; i < 10; ++i)
            {
                auto socket = co_await accept_next(acceptor);
                taken += socket ? 1 : 0;
            }
            EXPECT_FALSE(had_others_turn);
        },
        asio::detached);
    io.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(taken, 10);
}

// Guards against a peer's bytes that make an entry allocate without a bound,
// read outside a buffer, or go on with a connection that is out of step.
TEST(peer_link, malformed_frames_cut_the_connection_with_a_fault)
{
    for (const std::string& bytes : {std::string("\xff\xff\xff\xff rest"),
             make_frame("not a buffer"), make_frame("")})
    {
        asio::io_context io;
        echo_peer peer(io);
        EXPECT_TRUE(is_cut_off_after(io, peer, bytes));
        ASSERT_EQ(peer.faults.size(), 1u);
        EXPECT_EQ(peer.faults.front(), "malformed_frame");
    }
}

// Guards against a late or crossed reply reaching another request (I6).
TEST(peer_link, a_reply_that_nobody_waits_for_is_dropped)
{
    asio::io_context io;
    echo_peer peer(io);
    peer_message stray{99, true, peer_hello{session_id(1)}};
    std::string bytes = make_frame(encode_peer_message(stray));
    // The malformed frame after it makes the peer close.
    EXPECT_TRUE(is_cut_off_after(io, peer, bytes + make_frame("x")));
    ASSERT_EQ(peer.faults.size(), 2u);
    EXPECT_EQ(peer.faults.front(), "late_reply");
}

// Guards against a verified buffer being trusted after bytes of it changed.
RC_GTEST_PROP(peer_message, changed_bytes_are_read_or_refused, ())
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
