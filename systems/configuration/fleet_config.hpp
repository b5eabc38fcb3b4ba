#pragma once

#include "systems/workload/job_spec.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippass
{

/// Limits of the service that says which targets may run a step.
struct advice_config
{
    milliseconds time_per_call{0};   ///< For each call.
    milliseconds time_per_target{0}; ///< For each target that a call names.
    milliseconds ticket_validity{0}; ///< Of a ticket.
};

struct queue_config
{
    queue_id queue;
    std::string host;
    std::string path_prefix;
    pool_id pool;
    std::uint32_t priority = 0; ///< 0 goes first.
    std::uint32_t max_attempts = 1;
    double stretch_factor =
        1.0; ///< Of the longest chain of work, for the target.
    milliseconds deadline_allowance{0};    ///< Added to the stretched chain.
    bool allows_anonymous_callers = false; ///< Needs no key.
    std::optional<advice_config> advice;
};

struct pool_config
{
    pool_id pool;
    /// Targets refuse what does not fit; otherwise the order decides alone.
    bool targets_check_capacity = false;
    /// Instances in it are switched off and cost nothing.
    bool is_standby = false;
};

struct team_config
{
    team_id team;
    std::vector<std::string> keys;
    double weight = 1.0; ///< Share when the fleet is full.
    resources limit;     ///< Of all that runs; 0 for no bound.
};

/// The operators' configuration, whole, as published under one version.
struct fleet_config
{
    config_version version;
    std::map<queue_id, queue_config> queues;
    std::map<pool_id, pool_config> pools;
    std::map<team_id, team_config> teams;
    std::size_t max_body_bytes = 256 * 1024;

    const queue_config* find_queue(const queue_id& queue) const;
    const pool_config* find_pool(const pool_id& pool) const;
    const team_config* find_team(const team_id& team) const;

    /// @param host without a port.
    /// @return the queue of that host with the longest prefix of the path.
    const queue_config* find_queue_by_route(
        std::string_view host, std::string_view path) const;

    /// @return the team that the key belongs to now.
    const team_config* find_team_by_key(std::string_view key) const;

    /// @return the pool whose instances are switched off, if there is one.
    std::optional<pool_id> find_standby_pool() const;
};

/// Instances that are due for maintenance by a time.
struct maintenance_wave
{
    std::uint64_t number = 0;
    std::vector<instance_id> instances;
    milliseconds time_limit{0}; ///< From the wave's publication.
    std::uint32_t max_unavailable_instances = 1;
};

/// Everything that operators publish.
struct published_state
{
    std::optional<fleet_config> config;
    std::set<data_centre_id> evacuated; ///< Get no new work.
    std::map<std::uint64_t, maintenance_wave> waves;
};

} // namespace cowslippass
