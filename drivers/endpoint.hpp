#pragma once

#include "drivers/asio.hpp"

#include <string>
#include <string_view>

namespace cowslippass
{

/// Parses `127.0.0.1:8080` or `[::1]:8080`; names are not resolved, as
/// processes talk by IP numbers.
/// @throws platform_error (`bad_address`) otherwise.
tcp::endpoint parse_endpoint(std::string_view text);

std::string format_endpoint(const tcp::endpoint& endpoint);

} // namespace cowslippass
