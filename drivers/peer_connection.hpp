#pragma once

#include "drivers/asio.hpp"
#include "drivers/peer_message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cowslippass
{

/// Handles one request of a peer.
/// @return the reply; nothing when no reply is to be sent.
using peer_request_handler =
    std::function<asio::awaitable<std::optional<peer_body>>(peer_body)>;

/// Receives each error on a connection.
/// @param code stable error code.
/// @param message description of the error for people.
using peer_error_handler =
    std::function<void(const std::string& code, const std::string& message)>;

/// Follows a connection; either member may be empty.
struct peer_connection_observer
{
    /// Called after each read with the bytes of an unfinished frame.
    std::function<void(std::size_t unfinished_bytes)> on_read;
    std::function<void()> on_closed;
};

/// One TCP connection between two entries. It carries frames: a little-endian
/// 32-bit length and a FlatBuffer of that many bytes. Either side may send
/// requests; a correlation id matches each reply to its request.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// Bounds the memory that the receiver allocates for one frame.
    static constexpr std::uint32_t max_frame_bytes = 16 * 1024 * 1024;
    /// A connection on which a request is unanswered and no frame has arrived
    /// for this long is reset, even if its calls timed out earlier.
    static constexpr milliseconds liveness_timeout{2'000};

    peer_connection(tcp::socket socket, peer_request_handler handler,
        peer_error_handler on_error);

    /// Starts reading and monitoring the peer's liveness.
    void start(peer_connection_observer observer = {});

    /// Sends a request and waits for its reply.
    /// @return the reply; nothing when `timeout` expired or the connection
    ///   closed first. The request may then have taken effect.
    asio::awaitable<std::optional<peer_body>> call(
        peer_body body, milliseconds timeout);

    /// Closes the socket and ends all pending calls without a reply.
    void close();

    bool is_open() const { return !is_closed_; }

    /// @return time since the last frame arrived, or since the connection was
    ///   established when none has.
    milliseconds get_time_since_last_frame() const;

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
    asio::awaitable<void> monitor_liveness();
    /// Closes the socket and drops what the network has not delivered: the
    /// callers of these requests no longer wait, and a request that arrived
    /// after a long partition would still take effect.
    void reset();
    asio::awaitable<void> handle_request(peer_message request);
    /// Dispatches the complete frames at the start of `buf` and removes them.
    /// @throws platform_error (`malformed_frame`) for a frame that is too long
    ///   or cannot be decoded.
    void dispatch_frames(std::string& buf);
    /// Passes a reply to its call, and a request to the handler.
    void dispatch(peer_message message);
    void complete_call(peer_message message);
    void send(const peer_message& message);

    tcp::socket socket_;
    peer_request_handler handler_;
    peer_error_handler on_error_;
    peer_connection_observer observer_;
    std::string outgoing_; ///< Encoded frames; one write sends all of them.
    bool is_writing_ = false;
    bool is_closed_ = false;
    std::uint64_t last_correlation_ = 0; ///< 0 is used by liveness checks.
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_calls_;
    monotonic_time last_frame_time_;
    /// When the first request since the last received frame was sent. Not
    /// reset when the request times out, because a series of short requests
    /// must not hide an unresponsive peer.
    std::optional<monotonic_time> unanswered_since_;
};

} // namespace cowslippass
