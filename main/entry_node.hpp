#pragma once

#include "main/caller_api.hpp"
#include "main/claim_keeper.hpp"
#include "main/fleet_sync.hpp"
#include "main/grant_keeper.hpp"
#include "main/janitor.hpp"
#include "main/job_keeper.hpp"
#include "main/leaving_watch.hpp"
#include "main/maintenance_keeper.hpp"
#include "main/node_context.hpp"
#include "main/operator_api.hpp"
#include "main/peer_network.hpp"
#include "main/pool_runner.hpp"
#include "main/request_router.hpp"
#include "main/table_collector.hpp"

#include <map>
#include <memory>

namespace cowslippass
{

/// One entry daemon: connects the decision systems to input and output.
class entry_node
{
public:
    /// @param config addresses to advertise are filled in from the bound ones
    ///   when they are empty.
    /// @throws platform_error (`cannot_listen`).
    entry_node(
        asio::io_context& io, settings& config, const start_policy& policy);

    /// Joins the fleet and serves until `stop` has ended.
    /// @param on_session_ended is called once when others have ended this
    ///   entry's session; it starts nothing any more and is to be stopped.
    void start(std::function<void()> on_session_ended);

    /// Planned stop: unready first, then hands over, then ends the session.
    /// Does not wait for the balancer when the session has ended already.
    /// `on_stopped` is called when nothing is left to do.
    void stop(std::function<void()> on_stopped);

    unsigned short get_http_port() const;
    unsigned short get_peer_port() const;

private:
    asio::awaitable<void> join();
    bool has_ended_session() const;
    void watch_session();
    asio::awaitable<void> run_stop(std::function<void()> on_stopped);
    asio::awaitable<http_response> handle_http(http_request request);
    http_response report_readiness() const;
    http_response report_metrics();
    asio::awaitable<std::optional<peer_body>> handle_peer(peer_body body);

    asio::awaitable<work_result> run_local(peer_forward request);
    work_item make_item(peer_forward request, const queue_record& queue) const;
    asio::awaitable<void> ownership_loop();
    void apply_leaving(const std::set<instance_id>& leaving);
    void update_runners();
    void report_failure(const instance_id& instance);
    asio::awaitable<void> append_failure(instance_id instance);
    std::shared_ptr<pool_runner> get_runner(const pool_id& pool);
    std::shared_ptr<pool_runner> find_runner(const pool_id& pool) const;
    peer_summary make_summary(bool is_local) const;
    std::vector<pool_summary> summarize_own_pools() const;
    std::optional<pool_summary> summarize(const pool_id& pool) const;
    std::map<team_id, std::uint32_t> count_waiting() const;
    std::size_t count_active() const;

    settings& config_;
    platform_client table_;
    node_context node_;
    fleet_sync sync_;
    peer_network peers_;
    grant_keeper grants_;
    request_router router_;
    claim_keeper claims_;
    janitor janitor_;
    job_keeper jobs_;
    maintenance_keeper maintenance_;
    table_collector collector_;
    operator_api operator_api_;
    caller_api caller_api_;
    refusal_reporter refusals_{node_.metrics};
    std::unique_ptr<http_server> http_;
    std::map<pool_id, std::shared_ptr<pool_runner>> runners_;
    std::function<void()> on_session_ended_;
    leaving_watch leaving_;
    std::set<instance_id> reporting_; ///< Failures that are being appended.
};

} // namespace cowslippass
