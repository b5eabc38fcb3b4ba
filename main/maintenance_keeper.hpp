#pragma once

#include "main/fleet_sync.hpp"
#include "main/lease_holder.hpp"
#include "main/node_context.hpp"
#include "systems/maintenance_planner.hpp"
#include "systems/query_table.hpp"

#include <map>
#include <memory>

namespace cowslippass
{

/// Carries out the maintenance plan in the entry that holds the lease
/// `maintenance`: observes the instances that are not in service, appends the
/// planner's steps to the fleet log, and has drained instances rebooted.
class maintenance_keeper
{
public:
    maintenance_keeper(node_context& node, fleet_sync& sync);

    /// Needs the session.
    void start();

    /// Gives the lease back; for a planned stop.
    asio::awaitable<void> stop();

    /// @return the instances that are not in service, for queries.
    query_table list() const;

private:
    /// What was observed of one instance since its present state was seen.
    struct observation
    {
        instance_state state = instance_state::in_service;
        std::uint64_t epoch = 0;
        monotonic_time seen{};        ///< When the state was first seen here.
        monotonic_time last_answer{}; ///< `seen` without an answer.
        std::string boot;             ///< Before the reboot that was asked.
        instance_report report = instance_report::unknown;
    };

    asio::awaitable<void> run_loop();
    asio::awaitable<void> run_round();
    void forget_old();
    asio::awaitable<void> observe(instance_id id);
    asio::awaitable<void> observe_draining(
        instance_id id, std::shared_ptr<target_client> client);
    asio::awaitable<void> observe_rebooting(
        instance_id id, std::shared_ptr<target_client> client);
    asio::awaitable<void> observe_failed(
        instance_id id, std::shared_ptr<target_client> client);
    asio::awaitable<void> append(maintenance_decision decision);

    node_context& node_;
    fleet_sync& sync_;
    lease_holder lease_;
    maintenance_planner planner_;
    decision_log log_{"maintenance"};
    std::map<instance_id, observation> seen_;
    std::map<instance_id, std::shared_ptr<target_client>> clients_;
    std::uint64_t last_command_ = 0;
};

} // namespace cowslippass
