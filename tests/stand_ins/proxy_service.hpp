#pragma once

#include "tests/stand_ins/stand_in_server.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cowslippass
{

struct proxy_link;
struct proxy_stream;

/// Forwards TCP connections to one address and injects network faults.
class proxy_service
{
public:
    proxy_service(
        asio::io_context& io, const tcp::endpoint& listen, tcp::endpoint to);

    tcp::endpoint get_endpoint() const { return listen_; }

    /// Answers `POST /control` and `GET /control/counters`.
    asio::awaitable<stand_in_response> handle(http_request request);

private:
    friend struct proxy_link;

    void open_acceptor();
    asio::awaitable<void> accept_loop(std::shared_ptr<tcp::acceptor> acceptor);
    asio::awaitable<void> serve(std::shared_ptr<proxy_link> link);
    asio::awaitable<void> read_from(
        std::shared_ptr<proxy_link> link, proxy_stream& stream);
    asio::awaitable<void> write_to(
        std::shared_ptr<proxy_link> link, proxy_stream& stream);
    bool is_swallowed(const proxy_link& link, proxy_stream& stream) const;
    void set_control(const nlohmann::json& control);
    void cut();
    void restore();
    nlohmann::json get_counters() const;

    asio::io_context& io_;
    /// Bound and never listening: keeps the port while the proxy is cut.
    tcp::socket port_holder_;
    tcp::endpoint listen_;
    tcp::endpoint to_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<proxy_link>> links_;

    milliseconds delay_{0};
    bool drops_to_server_ = false;
    bool drops_to_client_ = false;
    /// Source addresses of connections whose bytes from the source, or to it,
    /// are swallowed; they separate groups of processes that share a proxy.
    /// Connections are still accepted.
    std::set<std::string> dropped_from_;
    std::set<std::string> dropped_to_;
    std::optional<std::uint64_t> truncate_after_;

    std::uint64_t accepted_ = 0;
    std::map<std::string, std::uint64_t> accepted_by_source_;
    std::uint64_t bytes_to_server_ = 0;
    std::uint64_t bytes_to_client_ = 0;
};

} // namespace cowslippass
