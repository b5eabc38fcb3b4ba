#pragma once

#include "drivers/http_message.hpp"
#include "main/fleet_sync.hpp"
#include "main/node_context.hpp"
#include "main/peer_network.hpp"
#include "systems/command.hpp"
#include "systems/query_engine.hpp"
#include "systems/query_table.hpp"

namespace cowslippass
{

struct operator_services
{
    /// Collects a table of running state from every entry; its version and
    /// age are not set.
    std::function<asio::awaitable<query_answer>(std::string name)> collect;
    /// @return the names of the tables that can be collected.
    std::function<std::set<std::string>()> list_tables;
    /// @return how many jobs were cancelled, or nothing when the platform did
    ///   not answer.
    std::function<asio::awaitable<std::optional<std::size_t>>(cancel_command)>
        cancel;
};

/// The operators' HTTP interface: runs statements of the command language.
class operator_api
{
public:
    operator_api(node_context& node, fleet_sync& sync, peer_network& peers,
        operator_services services);

    /// Answers `POST /v1/command`.
    asio::awaitable<http_response> handle(http_request request);

private:
    void authenticate(const http_request& request) const;
    asio::awaitable<http_response> run_change(
        change_command change, http_request request);
    asio::awaitable<http_response> run_query(
        query_command query, std::string text);
    asio::awaitable<http_response> run_cancel(cancel_command cancel);
    http_response run_dry(const change_command& change) const;
    http_response admit() const;
    asio::awaitable<bool> wait_in_force(
        config_version version, monotonic_time committed);
    bool is_reported_by_all(config_version version) const;

    node_context& node_;
    fleet_sync& sync_;
    peer_network& peers_;
    operator_services services_;
};

} // namespace cowslippass
