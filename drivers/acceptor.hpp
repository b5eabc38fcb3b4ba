#pragma once

#include "drivers/asio.hpp"

#include <optional>

namespace cowslippass
{

/// Binds the acceptor to `endpoint` and starts listening.
/// @throws platform_error (`cannot_listen`).
void listen_on(tcp::acceptor& acceptor, const tcp::endpoint& endpoint);

/// Accepts the next connection.
/// @return the connected socket; nothing when the acceptor was closed, or when
///   accepting failed, then after a short delay. The caller tries again unless
///   it is stopping.
asio::awaitable<std::optional<tcp::socket>> accept_next(
    tcp::acceptor& acceptor);

} // namespace cowslippass
