#include "drivers/endpoint.hpp"

#include "core/errors.hpp"

#include <charconv>

namespace cowslippass
{

tcp::endpoint parse_endpoint(std::string_view text)
{
    auto fail = [&]() -> platform_error
    {
        return {"bad_address",
            "'" + std::string(text) + "' is not IP:port or [IPv6]:port"};
    };
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw fail();
    std::string_view host = text.substr(0, colon);
    std::string_view port_text = text.substr(colon + 1);
    bool is_bracketed = host.size() > 2 && host.front() == '[';
    if (is_bracketed && host.back() != ']')
        throw fail();
    if (is_bracketed)
        host = host.substr(1, host.size() - 2);
    unsigned port = 0;
    auto [end, status] = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    if (status != std::errc() || end != port_text.data() + port_text.size() ||
        port > 65535)
        throw fail();
    boost::system::error_code ec;
    auto address = asio::ip::make_address(std::string(host), ec);
    if (ec || (address.is_v6() != is_bracketed))
        throw fail();
    return {address, static_cast<unsigned short>(port)};
}

std::string format_endpoint(const tcp::endpoint& endpoint)
{
    std::string host = endpoint.address().to_string();
    if (endpoint.address().is_v6())
        host = "[" + host + "]";
    return host + ":" + std::to_string(endpoint.port());
}

} // namespace cowslippass
