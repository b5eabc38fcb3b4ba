#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cowslippass
{

/// Orders header names case-insensitively, as HTTP requires.
struct header_less
{
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;
};

using http_headers = std::map<std::string, std::string, header_less>;

/// A request as server handlers and users of the client see it. It is
/// independent of the HTTP library, whose headers are slow to compile.
struct http_request
{
    std::string method = "GET";
    std::string path; ///< Without the query string.
    std::map<std::string, std::string> query;
    http_headers headers;
    std::string body;

    /// @return the header's value, or an empty string.
    std::string get_header(std::string_view name) const;

    /// @return the query parameter's value, or an empty string.
    std::string get_query(const std::string& name) const;
};

struct http_response
{
    unsigned status = 200;
    http_headers headers;
    std::string body;

    /// @return the header's value, or an empty string.
    std::string get_header(std::string_view name) const;
};

/// Splits a request target into path and decoded query parameters.
/// @throws platform_error (`bad_request`) for a malformed percent escape.
void parse_request_target(std::string_view target, http_request& request);

/// @return path and query parameters as a percent-encoded request target.
std::string format_request_target(const http_request& request);

} // namespace cowslippass
