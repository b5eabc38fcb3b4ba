#pragma once

#include "drivers/asio.hpp"

#include <optional>

namespace cowslippass
{

/// Opens a listening socket.
/// @throws platform_error (`cannot_listen`).
void listen_on(tcp::acceptor& acceptor, const tcp::endpoint& endpoint);

/// Waits for the next connection.
/// @return nothing when the acceptor was closed, or after a pause when no
///   connection could be taken; the caller goes on unless it is stopping.
asio::awaitable<std::optional<tcp::socket>> accept_next(
    tcp::acceptor& acceptor);

} // namespace cowslippass
