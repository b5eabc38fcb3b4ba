#pragma once

#include "drivers/asio.hpp"

#include <optional>

namespace cowslippass
{

/// Binds the acceptor to `endpoint` and starts listening.
/// @throws platform_error (`cannot_listen`).
void listen_on(tcp::acceptor& acceptor, const tcp::endpoint& endpoint);

/// Accepts the next connection.
/// @return the connected socket; nothing when the acceptor was closed or
///   accepting failed. A failure is returned only after a short delay, so that
///   the caller can try again at once unless it is stopping.
asio::awaitable<std::optional<tcp::socket>> accept_next(
    tcp::acceptor& acceptor);

} // namespace cowslippass
