#pragma once

#include "drivers/http_server.hpp"
#include "drivers/loop_delay_meter.hpp"
#include "main/entryd/coordinator_role.hpp"

namespace cowslippass
{

/// The HTTP API for callers, which submit, query and cancel jobs. Finds the
/// queue, checks the key, and passes the operation to the coordinator.
class job_api
{
public:
    /// @param loop_delay delay of the event loop that reads the requests.
    job_api(const entry_settings& settings, const config_watcher& config,
        coordinator_role& role, metrics_registry& metrics,
        const loop_delay_meter& loop_delay);

    /// Executes a caller's request. Failures are reported in the response.
    asio::awaitable<http_response> handle(http_request request);

    /// @return whether the load balancer may send new callers to this entry.
    bool is_ready() const;

    /// Turns unready, and makes responses ask callers to close the connection.
    /// @param drain_deadline by when every request is answered.
    void start_draining(boot_time drain_deadline)
    {
        drain_deadline_ = drain_deadline;
    }

private:
    /// The result of the check of a request against the configuration.
    struct admission
    {
        const queue_config* queue = nullptr;
        team_id team;
        std::optional<http_response> refusal; ///< Not set if admitted.
    };

    /// Finds the queue of the request's route and checks the caller's key.
    admission admit(const http_request& request) const;
    /// @return whether the configuration is recent enough to check keys: none
    ///   of its keys can have been withdrawn longer ago than the settings allow
    ///   a withdrawn key to work.
    bool can_check_keys() const;
    asio::awaitable<http_response> submit(
        http_request request, peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> cancel(
        peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> get_state(
        peer_coordinator_call call, boot_time deadline);
    asio::awaitable<http_response> get_waiting_count(
        peer_coordinator_call call, boot_time deadline);
    /// Checks the request and executes its operation.
    asio::awaitable<http_response> dispatch(http_request request);

    const entry_settings& settings_;
    const config_watcher& config_;
    coordinator_role& coordinator_role_;
    metrics_registry& metrics_;
    const loop_delay_meter& loop_delay_;
    std::optional<boot_time> drain_deadline_; ///< Set while draining.
};

} // namespace cowslippass
