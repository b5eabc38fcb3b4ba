#pragma once

#include "drivers/asio.hpp"
#include "drivers/peer_message.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cowslippass
{

/// Answers one request of a peer; nothing when no reply is to be sent.
using peer_handler =
    std::function<asio::awaitable<std::optional<peer_body>>(peer_body)>;

/// Reports a fault on a connection: a stable code and a sentence.
using peer_fault_handler =
    std::function<void(const std::string& code, const std::string& message)>;

/// One framed TCP connection between two entries. Either end sends requests;
/// a correlation id joins each reply to its request.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// Bounds the memory that one frame can make the receiver allocate.
    static constexpr std::uint32_t max_frame_bytes = 16 * 1024 * 1024;
    /// A connection with an unanswered request and no frame for this long is
    /// closed, also when the calls gave up earlier.
    static constexpr milliseconds silence_limit{2'000};

    peer_connection(
        tcp::socket socket, peer_handler handler, peer_fault_handler on_fault);

    /// Starts reading and watching for silence.
    void start();

    /// @return the reply, or nothing when it did not come before `timeout` or
    ///   the connection ended; the request may then have taken effect.
    asio::awaitable<std::optional<peer_body>> call(
        peer_body body, milliseconds timeout);

    void close();

    bool is_open() const { return !is_closed_; }

    /// @return time since the last frame came in, or since the connection was
    ///   made.
    milliseconds get_quiet_time() const;

private:
    struct pending_call
    {
        explicit pending_call(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        asio::steady_timer timer;
        std::optional<peer_body> reply;
    };

    asio::awaitable<void> read_loop();
    asio::awaitable<void> write_loop();
    asio::awaitable<void> watch_for_silence();
    asio::awaitable<void> answer(peer_message request);
    void dispatch(peer_message message);
    void accept_reply(peer_message message);
    void send(const peer_message& message);

    tcp::socket socket_;
    peer_handler handler_;
    peer_fault_handler on_fault_;
    std::deque<std::string> outgoing_;
    bool is_writing_ = false;
    bool is_closed_ = false;
    std::uint64_t last_correlation_ = 0;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_;
    monotonic_time last_received_;
    /// When the first request since the last frame was sent. Kept when the
    /// request times out: a row of short requests must not hide the silence.
    std::optional<monotonic_time> unanswered_since_;
};

} // namespace cowslippass
