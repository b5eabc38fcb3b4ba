#pragma once

#include "core/core.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslippass
{

/// Limits the memory of all tasks that wait in one entry, over all pools.
///
/// Each team with waiting tasks has an equal part of the limit. While memory is
/// left, a team may use more than its part. When none is left, a task that
/// would take its team beyond its part is refused; for a task within the part
/// of its team, tasks of the teams that use most memory are evicted.
class waiting_budget
{
public:
    /// Memory of a waiting task in addition to its payload.
    static constexpr std::uint64_t task_overhead_bytes = 1024;

    /// @param max_bytes limit for all waiting tasks, payloads included.
    explicit waiting_budget(byte_count max_bytes) : max_bytes_(max_bytes.get())
    {
    }

    /// Adds a task, evicting others if needed.
    /// @param payload size of the task's payload.
    /// @param is_durable whether the task is also stored elsewhere. Durable
    ///   tasks of a team are evicted first, and among equals the newest.
    /// @return the evicted tasks, which no longer count; nothing when the task
    ///   is refused. When no other task waits, a task of any size is accepted,
    ///   as it could otherwise never run.
    std::optional<std::vector<task_id>> add(const task_id& id,
        const team_id& team, byte_count payload, bool is_durable);

    /// Adds a task that was accepted before and waits again. It is never
    /// refused, so such tasks may exceed the limit.
    void readmit(const task_id& id, const team_id& team, byte_count payload,
        bool is_durable);

    /// Removes a task that no longer waits. Unknown tasks are ignored.
    void remove(const task_id& id);

    /// @return memory of all waiting tasks.
    byte_count get_bytes() const { return byte_count(total_bytes_); }

    /// @return memory of the waiting tasks of one team.
    byte_count get_bytes(const team_id& team) const;

private:
    /// Orders the tasks of a team; the last one is evicted first.
    struct eviction_key
    {
        bool is_durable = false;
        std::uint64_t sequence = 0;

        auto operator<=>(const eviction_key&) const = default;
    };
    struct task_row
    {
        team_id team;
        std::uint64_t bytes = 0;
        eviction_key key;
    };
    struct team_row
    {
        std::uint64_t bytes = 0;
        std::map<eviction_key, task_id> tasks;
    };

    /// @return the team whose waiting tasks use most memory.
    std::map<team_id, team_row>::iterator find_largest_team();

    std::uint64_t max_bytes_;
    std::uint64_t total_bytes_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::map<task_id, task_row> tasks_;
    std::map<team_id, team_row> teams_; ///< Those with waiting tasks.
};

} // namespace cowslippass
