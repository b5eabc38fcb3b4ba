#pragma once

#include "core/core.hpp"
#include "systems/grant_row.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cowslippass
{

/// Outcome of a transfer that `grant_ledger::plan_adoption` planned.
struct adoption_outcome
{
    std::uint64_t id; ///< Of the `grant_transfer`.
    bool is_adopted;
};

/// A transfer that has been sent and has no known outcome yet.
struct open_transfer
{
    std::uint64_t id = 0;
    row_version condition;       ///< Version that the row must still have.
    row_version config_head;     ///< Version of `config/head`, for a growth.
    std::uint32_t own_count = 0; ///< Grants that it writes for this session.
    config_version planned_at;   ///< Newest known version when planned.
    grant_row written;           ///< The row that it writes.
    std::uint32_t adopted = 0;   ///< Running tasks that it adopts.
    bool is_growth = false;
    bool is_outcome_unknown = false; ///< No usable reply came.
};

/// What one session knows about the grants of one team. `grant_ledger` keeps
/// one for each team.
struct team_grants
{
    /// Waiting work that a peer reported.
    struct peer_demand
    {
        std::uint32_t waiting;
        monotonic_time received_at;
    };

    session_id own_session;
    std::optional<task_count> limit; ///< Fleet-wide limit of the team.
    config_version limit_version;

    bool is_row_known = false;
    grant_row row_value;
    row_version version;
    config_version read_at; ///< Version applied when the row was read.

    std::uint32_t in_use = 0;  ///< Grants of started tasks.
    std::uint32_t waiting = 0; ///< Tasks that wait here for a grant.
    std::map<session_id, peer_demand> peers;
    /// Most grants to hold, so that peers with waiting work can reach an even
    /// share of the limit.
    std::optional<std::uint32_t> fair_cap;

    std::uint32_t peak_demand = 0; ///< Highest demand since `idle_since`.
    /// Start of the time in which fewer grants were needed than held.
    std::optional<monotonic_time> idle_since;

    std::vector<open_transfer> open_transfers;
    /// Row version that the last conflicting growth was planned on.
    std::optional<row_version> conflicted_version;
    row_version conflicted_config_head; ///< Of `config/head`, then.
    unsigned consecutive_conflicts = 0;
    milliseconds backoff{0}; ///< Extra delay before the next transfer.
    bool needs_read = true;
    bool is_reading = false;
    /// The row was received since the last `plan_transfers`. The next one sets
    /// `row_seen_at`, so that the age of the row counts from its arrival: the
    /// reply of a distant platform may already be old then.
    bool has_new_row = false;
    std::optional<monotonic_time> row_seen_at;
    std::optional<monotonic_time> last_transfer;

    std::uint32_t get_own_grants() const { return row_value.get(own_session); }
    std::uint32_t get_peer_grants() const;
    /// @return grants that the session certainly holds. A transfer without a
    ///   known outcome counts as failed if it is a growth and as committed if
    ///   it returns grants.
    std::uint32_t get_held() const;
    /// @return grants of the limit that no session holds.
    std::uint32_t get_free() const;
    /// @return tasks that may run here, including those that run. While the
    ///   grants add up to more than a lowered limit, the peers may still use
    ///   all that they hold. A share in proportion to the limit would let this
    ///   session start tasks although the tasks of its peers alone reach the
    ///   limit.
    std::uint32_t get_usable() const;
    /// @return grants needed for running and waiting work, up to `fair_cap`.
    std::uint32_t get_demand() const;
    /// @return waiting tasks of all peers.
    std::uint32_t get_peer_waiting() const;
    /// @return whether the row was read at the version of the limit or later.
    bool is_current() const;
    /// @return whether a transfer still waits for its reply.
    bool is_in_flight() const;
    /// @return whether tasks wait and the row shows no free grants.
    bool is_starved() const;

    /// Discards reports of peers that are older than `oldest`.
    void discard_demand_before(monotonic_time oldest);
    /// Recomputes `fair_cap` from the reports of the peers.
    void update_cap();

    /// Determines the outcome of the open transfers once the row has a newer
    /// version than they were conditioned on. Only this session changes its
    /// own grant count, so the count shows which of them were committed.
    /// @return the outcomes of the adoptions.
    std::vector<adoption_outcome> resolve_transfers();
};

} // namespace cowslippass
