#pragma once

#include "core/core.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslippass
{

/// Bounds the bytes of all work that waits in one entry, over all pools.
///
/// Each team with waiting work has an equal part of the bound. While there is
/// room, a team may use more than its part. When there is none, a team that
/// would exceed its part is refused, and one that stays within it gets room
/// from the teams that hold most.
class waiting_budget
{
public:
    /// Memory of a waiting task besides its payload.
    static constexpr std::uint64_t task_overhead_bytes = 1024;

    explicit waiting_budget(byte_count bound) : max_bytes_(bound.get()) {}

    /// @param payload size of the task's payload.
    /// @param is_durable whether the task is kept elsewhere too; such tasks
    ///   of a team give way first, then the newest.
    /// @return tasks that have to give way; nothing when the task is refused.
    ///   They do not count any more. Without other waiting work a task of any
    ///   size is accepted, as it could never run otherwise.
    std::optional<std::vector<task_id>> add(const task_id& id,
        const team_id& team, byte_count payload, bool is_durable);

    /// Counts a task that had been accepted before and waits again. It is
    /// never refused, so that the bound may be exceeded by such tasks.
    void readmit(const task_id& id, const team_id& team, byte_count payload,
        bool is_durable);

    /// The task waits no longer. Unknown tasks are ignored.
    void remove(const task_id& id);

    byte_count get_bytes() const { return byte_count(total_bytes_); }

    byte_count get_bytes(const team_id& team) const;

private:
    /// Orders by who gives way last.
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

    std::map<team_id, team_row>::iterator find_largest();

    std::uint64_t max_bytes_;
    std::uint64_t total_bytes_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::map<task_id, task_row> tasks_;
    std::map<team_id, team_row> teams_; ///< Those with waiting tasks.
};

} // namespace cowslippass
