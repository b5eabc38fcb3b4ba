#include "drivers/http_message.hpp"

#include "core/errors.hpp"

#include <algorithm>
#include <cctype>

namespace cowslippass
{

namespace
{

int to_lower(char c)
{
    return std::tolower(static_cast<unsigned char>(c));
}

int parse_hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    int lower = to_lower(c);
    if (lower >= 'a' && lower <= 'f')
        return lower - 'a' + 10;
    throw platform_error("bad_request", "malformed escape in the URL");
}

std::string unescape(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        if (i + 2 >= text.size())
            throw platform_error("bad_request", "malformed escape in the URL");
        int high = parse_hex_digit(text[i + 1]);
        out.push_back(
            static_cast<char>(high * 16 + parse_hex_digit(text[i + 2])));
        i += 2;
    }
    return out;
}

std::string escape(std::string_view text, std::string_view safe)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (char c : text)
    {
        auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || safe.find(c) != std::string_view::npos)
        {
            out.push_back(c);
            continue;
        }
        out.push_back('%');
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 15]);
    }
    return out;
}

template <class Headers>
std::string find_or_empty(const Headers& headers, std::string_view name)
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

} // namespace

bool header_less::operator()(std::string_view a, std::string_view b) const
{
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return to_lower(x) < to_lower(y); });
}

std::string http_request::get_header(std::string_view name) const
{
    return find_or_empty(headers, name);
}

std::string http_request::get_query(const std::string& name) const
{
    auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

std::string http_response::get_header(std::string_view name) const
{
    return find_or_empty(headers, name);
}

void parse_request_target(std::string_view target, http_request& request)
{
    auto mark = target.find('?');
    request.path = unescape(target.substr(0, mark));
    if (mark == std::string_view::npos)
        return;
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty())
    {
        auto end = std::min(rest.find('&'), rest.size());
        std::string_view pair = rest.substr(0, end);
        auto equals = std::min(pair.find('='), pair.size());
        std::string value;
        if (equals < pair.size())
            value = unescape(pair.substr(equals + 1));
        request.query[unescape(pair.substr(0, equals))] = value;
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
}

std::string format_request_target(const http_request& request)
{
    std::string out = escape(request.path, "-._~/");
    char separator = '?';
    for (const auto& [name, value] : request.query)
    {
        out += separator + escape(name, "-._~") + "=" + escape(value, "-._~/");
        separator = '&';
    }
    return out;
}

} // namespace cowslippass
