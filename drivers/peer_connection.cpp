#include "drivers/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cowslippass
{

namespace
{

/// A peer that owes a reply for this long is sent a `peer_hello` as a
/// liveness check.
constexpr milliseconds liveness_check_interval{500};

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

constexpr std::size_t length_bytes = 4;
/// Bytes that one read takes from the socket at most.
constexpr std::size_t read_bytes = 16 * 1024;

void append_length(std::string& out, std::uint32_t n)
{
    for (unsigned shift = 0; shift < 32; shift += 8)
        out += static_cast<char>(static_cast<unsigned char>(n >> shift));
}

/// @param at index of the first byte of the length.
std::uint32_t decode_length(const std::string& buf, std::size_t at)
{
    std::uint32_t out = 0;
    for (std::size_t i = length_bytes; i-- > 0;)
        out = (out << 8) | static_cast<unsigned char>(buf[at + i]);
    return out;
}

} // namespace

peer_connection::peer_connection(tcp::socket socket,
    peer_request_handler handler, peer_error_handler on_error)
    : socket_(std::move(socket)), handler_(std::move(handler)),
      on_error_(std::move(on_error)), last_frame_time_(now())
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

void peer_connection::start(peer_connection_observer observer)
{
    observer_ = std::move(observer);
    auto self = shared_from_this();
    auto executor = socket_.get_executor();
    asio::co_spawn(
        executor, [self] { return self->read_loop(); }, asio::detached);
    asio::co_spawn(
        executor, [self] { return self->monitor_liveness(); }, asio::detached);
}

milliseconds peer_connection::get_time_since_last_frame() const
{
    return std::chrono::duration_cast<milliseconds>(now() - last_frame_time_);
}

void peer_connection::close()
{
    if (is_closed_)
        return;
    is_closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    for (auto& [id, call] : pending_calls_)
        call->timer.cancel();
    if (observer_.on_closed)
        observer_.on_closed();
}

void peer_connection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

asio::awaitable<std::optional<peer_body>> peer_connection::call(
    peer_body body, milliseconds timeout)
{
    auto self = shared_from_this();
    if (is_closed_)
        co_return std::nullopt;
    std::uint64_t correlation = ++last_correlation_;
    auto pending = std::make_shared<pending_call>(socket_.get_executor());
    pending->timer.expires_after(timeout);
    // The liveness time-out starts at the first unanswered request; idle time
    // before it does not count.
    if (!unanswered_since_)
        unanswered_since_ = now();
    pending_calls_[correlation] = pending;
    peer_message message{correlation, false, std::move(body)};
    send(message);
    boost::system::error_code ec;
    co_await pending->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    pending_calls_.erase(correlation);
    co_return std::move(pending->reply);
}

void peer_connection::send(const peer_message& message)
{
    std::string body = encode_peer_message(message);
    if (body.size() > max_frame_bytes)
    {
        on_error_("frame_too_large",
            "a message of " + std::to_string(body.size()) +
                " bytes exceeds the frame limit and was not sent");
        return;
    }
    append_length(outgoing_, static_cast<std::uint32_t>(body.size()));
    outgoing_ += body;
    if (is_writing_)
        return;
    is_writing_ = true;
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this()] { return self->write_loop(); },
        asio::detached);
}

asio::awaitable<void> peer_connection::write_loop()
{
    while (!outgoing_.empty() && !is_closed_)
    {
        // Frames that are added meanwhile share the next write.
        std::string frames = std::exchange(outgoing_, {});
        boost::system::error_code ec;
        co_await asio::async_write(socket_, asio::buffer(frames),
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            close();
    }
    is_writing_ = false;
}

asio::awaitable<void> peer_connection::read_loop()
{
    auto self = shared_from_this();
    std::string buf;
    while (!is_closed_)
    {
        std::size_t old_size = buf.size();
        buf.resize(old_size + read_bytes);
        boost::system::error_code ec;
        std::size_t n = co_await socket_.async_read_some(
            asio::buffer(buf.data() + old_size, read_bytes),
            asio::redirect_error(asio::use_awaitable, ec));
        buf.resize(old_size + (ec ? 0 : n));
        if (ec)
            break;
        try
        {
            dispatch_frames(buf);
            if (observer_.on_read && !is_closed_)
                observer_.on_read(buf.size());
        }
        catch (const std::exception& e)
        {
            on_error_("malformed_frame", e.what());
            break;
        }
    }
    close();
}

void peer_connection::dispatch_frames(std::string& buf)
{
    std::size_t at = 0;
    while (buf.size() - at >= length_bytes && !is_closed_)
    {
        std::uint32_t n = decode_length(buf, at);
        if (n > max_frame_bytes)
            throw platform_error("malformed_frame",
                "a peer announced a frame of " + std::to_string(n) +
                    " bytes, more than the limit of " +
                    std::to_string(max_frame_bytes));
        if (buf.size() - at - length_bytes < n)
            break;
        // The copy has the alignment that FlatBuffers need.
        std::string frame = buf.substr(at + length_bytes, n);
        at += length_bytes + n;
        last_frame_time_ = now();
        dispatch(decode_peer_message(frame));
        unanswered_since_.reset();
        if (!pending_calls_.empty())
            unanswered_since_ = now();
    }
    buf.erase(0, at);
}

void peer_connection::dispatch(peer_message message)
{
    if (message.is_reply)
    {
        complete_call(std::move(message));
        return;
    }
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this(), request = std::move(message)]() mutable
        { return self->handle_request(std::move(request)); },
        asio::detached);
}

void peer_connection::complete_call(peer_message message)
{
    auto it = pending_calls_.find(message.correlation);
    if (it == pending_calls_.end())
    {
        on_error_("late_reply", "dropped a reply to request " +
                                    std::to_string(message.correlation) +
                                    ", for which no call is waiting");
        return;
    }
    it->second->reply = std::move(message.body);
    it->second->timer.cancel();
    pending_calls_.erase(it);
}

asio::awaitable<void> peer_connection::handle_request(peer_message request)
{
    auto self = shared_from_this();
    std::optional<peer_body> reply;
    try
    {
        reply = co_await handler_(std::move(request.body));
    }
    catch (const std::exception& e)
    {
        on_error_("peer_request_failed", e.what());
    }
    if (!reply || is_closed_)
        co_return;
    peer_message message{request.correlation, true, std::move(*reply)};
    send(message);
}

asio::awaitable<void> peer_connection::monitor_liveness()
{
    auto self = shared_from_this();
    asio::steady_timer timer(socket_.get_executor());
    while (!is_closed_)
    {
        timer.expires_after(liveness_check_interval);
        boost::system::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        if (is_closed_ || !unanswered_since_)
            continue;
        auto unanswered_time = now() - *unanswered_since_;
        if (unanswered_time > liveness_timeout)
        {
            on_error_("silent_connection",
                "closed a connection on which nothing arrived within " +
                    std::to_string(liveness_timeout.count()) +
                    " ms after a request");
            reset();
            continue;
        }
        // No frames arrive while the peer works on a long request. Its reply
        // to a hello tells a slow peer from a dead connection.
        if (unanswered_time > liveness_check_interval)
        {
            peer_message check{0, false, peer_hello{}};
            send(check);
        }
    }
}

} // namespace cowslippass
