#pragma once

#include "drivers/asio.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace cowslippass
{

/// Blocking connection that sends any bytes, also such that are no message.
class raw_connection
{
public:
    /// @throws std::runtime_error when the connection is not accepted.
    explicit raw_connection(const tcp::endpoint& to);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// @return whether all was sent; not when the peer closed the connection or
    ///   took nothing for two seconds.
    bool send(std::string_view bytes);

    /// Sends the block again and again.
    /// @return the bytes that were sent, `total` at least unless `send` failed.
    std::size_t send_repeatedly(std::string_view block, std::size_t total);

    /// @return what arrives until the peer closes the connection or sends
    ///   nothing for ten seconds, at most 64 KiB.
    std::string receive();

private:
    int socket_ = -1;
};

} // namespace cowslippass
