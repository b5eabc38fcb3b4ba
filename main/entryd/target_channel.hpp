#pragma once

#include "main/entryd/relay_set.hpp"
#include "platform/target_protocol_client.hpp"
#include "systems/configuration/target_report.hpp"

namespace cowslippass
{

/// The coordinator's way to one target: through a relay, or over its own
/// connections while there is no relay or the relay does not reach the target.
/// Safe to switch at any time: a request that a former relay still holds is
/// like one that the network delivers late, and is not sent after
/// `valid_until`.
class target_channel
{
public:
    /// @param fence fencing token of the coordinator's term.
    target_channel(asio::io_context& io, const relay_set& relays,
        const target_report& report, fencing_token fence);

    /// See target_protocol_client for these requests.
    asio::awaitable<request_reply> start(
        run_start_request order, milliseconds timeout, boot_time valid_until);
    asio::awaitable<request_reply> stop(task_name task, run_number run,
        milliseconds timeout, boot_time valid_until);
    asio::awaitable<poll_reply> poll(
        poll_request order, milliseconds timeout, boot_time valid_until);

private:
    /// @return null to send the request directly.
    std::shared_ptr<relay_client> choose_relay();
    /// Sends the request through the relay.
    /// @param limit time that the request may take.
    /// @param is_handled set to whether the relay handled the request, or may
    ///   have done so.
    /// @return nothing without a reply.
    asio::awaitable<std::optional<peer_target_reply>> call_relay(
        std::shared_ptr<relay_client> relay, peer_target_call call,
        milliseconds limit, boot_time valid_until, bool& is_handled);
    /// Sends a start or a stop through the relay.
    /// @return nothing if it has to be sent directly.
    asio::awaitable<std::optional<request_reply>> order_by_relay(
        peer_target_call call, milliseconds timeout, boot_time valid_until);
    peer_target_call make_call(
        target_operation operation, milliseconds timeout) const;
    /// Sends requests directly for a while if the target did not answer the
    /// relay.
    void record_outcome(request_outcome outcome);

    const relay_set& relays_;
    target_protocol_client direct_;
    target_id target_;
    std::string address_;
    data_centre_id data_centre_;
    fencing_token fence_;
    std::shared_ptr<relay_client> relay_; ///< In use; null for none.
    boot_time direct_until_{};
};

} // namespace cowslippass
