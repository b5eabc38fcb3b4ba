#pragma once

#include "drivers/http_server.hpp"
#include "main/entryd/coordinator_seat.hpp"

namespace cowslippass
{

/// Answers callers: finds the queue, checks the key, and passes the operation
/// to the coordinator.
class caller_front
{
public:
    caller_front(const entry_settings& settings, const config_follower& config,
        coordinator_seat& seat, metrics_registry& metrics);

    asio::awaitable<http_response> handle(http_request request);

    /// @return whether new callers are welcome.
    bool is_ready() const;

    /// Turns unready; answers ask callers to connect elsewhere.
    /// @param last_answer by when every call is answered.
    void leave(boot_time last_answer) { last_answer_ = last_answer; }

private:
    /// What the configuration in hand allows.
    struct admission
    {
        const queue_config* queue = nullptr;
        team_id team;
        std::optional<http_response> refusal;
    };

    admission admit(const http_request& request) const;
    bool is_key_check_current() const;
    asio::awaitable<http_response> submit(
        http_request request, peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> cancel(
        peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> get_state(
        peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> get_waiting_count(
        peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> dispatch(http_request request);

    const entry_settings& settings_;
    const config_follower& config_;
    coordinator_seat& seat_;
    metrics_registry& metrics_;
    std::optional<boot_time> last_answer_; ///< Set when the entry leaves.
};

} // namespace cowslippass
