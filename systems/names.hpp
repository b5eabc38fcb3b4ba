#pragma once

#include <string_view>

namespace cowslippass
{

/// @return whether `c` may begin a name.
bool is_name_start(char c);

/// @return whether `c` may be in a name after its first character.
bool is_name_char(char c);

/// @return whether `text` is `[A-Za-z0-9][A-Za-z0-9._-]*` of at most 128
///   characters. Names become parts of row keys and of URLs, where other
///   characters would need escapes.
bool is_name(std::string_view text);

/// @return whether `text` is `IPv4:port` or `[IPv6]:port` with a port from 1
///   to 65535.
bool is_address(std::string_view text);

/// @return whether `text` is 64 lower-case hex digits.
bool is_digest(std::string_view text);

} // namespace cowslippass
