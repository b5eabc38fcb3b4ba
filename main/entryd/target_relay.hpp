#pragma once

#include "drivers/peer_message.hpp"
#include "platform/target_protocol_client.hpp"

namespace cowslippass
{

class metrics_registry;

/// Sends requests to targets for the coordinator, which may run in another
/// process. It decides nothing, and keeps nothing but connections.
class target_relay
{
public:
    /// @param boot_id boot id of this process.
    target_relay(
        asio::io_context& io, metrics_registry& metrics, std::string boot_id);

    /// Sends the request, unless it is meant for another process, has lost its
    /// validity, or comes from a coordinator that has been replaced.
    asio::awaitable<peer_target_reply> handle(peer_target_call call);

    /// Rejects further requests, because this process is about to stop.
    void start_leaving() { is_leaving_ = true; }

private:
    struct connection
    {
        std::string address;
        std::shared_ptr<target_protocol_client> client;
        boot_time last_used{};
    };

    /// @return null when the address is not valid.
    std::shared_ptr<target_protocol_client> find_client(
        const peer_target_call& call);
    void close_unused_connections();
    asio::awaitable<void> execute(
        peer_target_call call, peer_target_reply& reply);

    asio::io_context& io_;
    metrics_registry& metrics_;
    std::string boot_id_;
    std::map<target_id, connection> connections_;
    boot_time next_clean_up_{};
    fencing_token highest_fence_;
    bool is_leaving_ = false;
};

} // namespace cowslippass
