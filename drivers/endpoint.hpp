#pragma once

#include "drivers/asio.hpp"

#include <string>
#include <string_view>

namespace cowslippass
{

/// Parses `127.0.0.1:8080` or `[::1]:8080`. Host names are not resolved, as
/// processes address each other by IP address.
/// @throws platform_error (`bad_address`) for any other text.
tcp::endpoint parse_endpoint(std::string_view text);

/// Inverse of `parse_endpoint`.
std::string format_endpoint(const tcp::endpoint& endpoint);

} // namespace cowslippass
