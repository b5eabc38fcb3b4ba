#include "systems/names.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace cowslippass
{

namespace
{

constexpr std::size_t max_name_length = 128;
constexpr std::size_t digest_length = 64;

bool is_host(const std::string& text, int family)
{
    unsigned char buf[sizeof(in6_addr)];
    return inet_pton(family, text.c_str(), buf) == 1;
}

} // namespace

// Not the functions of <cctype>, whose results depend on the locale.
bool is_name_start(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool is_name_char(char c)
{
    return is_name_start(c) || c == '.' || c == '_' || c == '-';
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           is_name_start(text.front()) &&
           std::all_of(text.begin(), text.end(), is_name_char);
}

bool is_address(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != text.npos)
        return false;
    std::string host(text.substr(0, colon));
    std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const char* end = digits.data() + digits.size();
    auto [stop, ec] = std::from_chars(digits.data(), end, port);
    if (ec != std::errc() || stop != end || port == 0 || port > 65535)
        return false;
    bool is_bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed)
        return is_host(host.substr(1, host.size() - 2), AF_INET6);
    return is_host(host, AF_INET);
}

bool is_digest(std::string_view text)
{
    return text.size() == digest_length &&
           std::all_of(text.begin(), text.end(),
               [](char c)
               { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

} // namespace cowslippass
