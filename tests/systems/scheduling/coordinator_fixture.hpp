#pragma once

#include "systems/scheduling/coordinator.hpp"

namespace cowslippass
{

inline boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

inline const pool_id pool_a("a");
inline const pool_id pool_off("off");
inline const queue_id queue_a("q");
inline const team_id team_a("t");

inline published_state make_published_state()
{
    fleet_config config;
    config.version = config_version(1);
    queue_config queue;
    queue.queue = queue_a;
    queue.pool = pool_a;
    queue.max_attempts = 3;
    config.queues[queue_a] = queue;
    config.pools[pool_a] = {pool_a, false, false};
    config.pools[pool_off] = {pool_off, false, true};
    team_config team;
    team.team = team_a;
    config.teams[team_a] = team;
    published_state out;
    out.config = config;
    return out;
}

inline target_report make_report(
    const std::string& id, std::int64_t cores = 16, const char* rack = "r1")
{
    target_report out;
    out.target = target_id(id);
    out.pool = pool_a;
    out.data_centre = data_centre_id("z");
    out.capacity = {cores * 1'000, 32'768, 0};
    out.labels = {"kind", rack};
    return out;
}

inline step_spec make_step(std::uint32_t tasks, std::int64_t processor = 1'000)
{
    step_spec out;
    out.task_count = tasks;
    out.need = {processor, 1'000, 0};
    out.estimate = milliseconds(1'000);
    return out;
}

inline job_record make_record(std::vector<step_spec> steps)
{
    job_record out;
    out.queue = queue_a;
    out.team = team_a;
    out.spec.steps = std::move(steps);
    return out;
}

/// A coordinator with one queue, one pool and targets that have answered a
/// poll.
struct coordinator_fixture
{
    explicit coordinator_fixture(coordinator_options options = {}) : it(options)
    {
        it.set_published_state(make_published_state());
    }

    /// Adds a listed target that has answered a poll with an empty status.
    void add_target(const target_report& report)
    {
        it.handle_target_change({report.target, report}, at(0));
        it.handle_status(report.target, {}, at(0), at(0));
    }

    /// Plans at a time in milliseconds; the targets accept all starts.
    std::vector<start_decision> plan(std::int64_t ms = 0)
    {
        auto out = it.plan(at(ms), platform_time(ms));
        for (const start_decision& start : out)
        {
            it.make_start_request(start);
            it.handle_start_reply(start, request_outcome::accepted, at(ms));
        }
        return out;
    }

    /// @return a status that lists all runs that the coordinator has assigned
    ///   to the target.
    target_status make_status(const target_id& target, int percent = 100)
    {
        target_status out;
        for (const auto& [task, run] : it.get_runs())
            if (run.target == target)
                out.running.push_back({task, run.number, "", percent, 0});
        return out;
    }

    coordinator it;
};

} // namespace cowslippass
