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

/// Limits of the service that decides which targets may run a step.
struct advice_config
{
    milliseconds time_per_call{0};   ///< Base time for each call.
    milliseconds time_per_target{0}; ///< For each named target.
    milliseconds ticket_validity{0}; ///< How long a ticket is valid.
};

/// A queue: the route on which its jobs arrive, and how they are run.
struct queue_config
{
    queue_id queue;
    std::string host;           ///< Of the route, without a port.
    std::string path_prefix;    ///< Of the paths that lead here.
    pool_id pool;               ///< Runs the queue's jobs.
    std::uint32_t priority = 0; ///< 0 is the highest; larger numbers follow.
    /// Number of failed runs of one task after which its job fails.
    std::uint32_t max_attempts = 1;
    /// The time allowed for a job is the estimated time on its critical path
    /// times this factor, plus `deadline_allowance`.
    double stretch_factor = 1.0;
    milliseconds deadline_allowance{0};
    bool allows_anonymous_callers = false; ///< Callers need no key.
    std::optional<advice_config> advice;
};

/// A pool: the targets that run the jobs of its queues.
struct pool_config
{
    pool_id pool;
    /// The targets refuse tasks that do not fit; otherwise they start whatever
    /// they are ordered to start.
    bool targets_check_capacity = false;
    /// The instances in it are switched off and cost nothing.
    bool is_standby = false;
};

/// A workspace or team, whose callers submit jobs with its keys.
struct team_config
{
    team_id team;
    std::vector<std::string> keys;
    double weight = 1.0; ///< Relative share when the fleet is full.
    resources limit;     ///< Of all its running tasks; 0 for no bound.
};

/// The operators' whole configuration, as published under one version.
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
    /// @return the queue of that host with the longest matching path prefix;
    ///   null when there is none.
    const queue_config* find_queue_by_route(
        std::string_view host, std::string_view path) const;

    /// @return the team that the key belongs to in this version; null for an
    ///   unknown key.
    const team_config* find_team_by_key(std::string_view key) const;

    /// @return the pool whose instances are switched off, if there is one.
    std::optional<pool_id> find_standby_pool() const;
};

/// A group of instances that are due for maintenance by a deadline.
struct maintenance_wave
{
    std::uint64_t number = 0;
    std::vector<instance_id> instances;
    milliseconds time_limit{0}; ///< From the wave's publication.
    /// How many of them may be out of service at the same time.
    std::uint32_t max_unavailable_instances = 1;
};

/// Everything that operators publish.
struct published_state
{
    std::optional<fleet_config> config;
    std::set<data_centre_id> evacuated; ///< They get no new work.
    std::map<std::uint64_t, maintenance_wave> waves;
};

} // namespace cowslippass
