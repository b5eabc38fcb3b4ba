#pragma once

#include "core/core.hpp"
#include "systems/grant_row.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cowslippass
{

struct adoption_outcome
{
    std::uint64_t id;
    bool is_adopted;
};

/// A transfer that is sent and without a known outcome.
struct open_transfer
{
    std::uint64_t id = 0;
    row_version condition;
    row_version config_head;     ///< Head row that a growth was planned on.
    std::uint32_t own_count = 0; ///< Own number that it writes.
    config_version planned_at;
    grant_row written;
    std::uint32_t adopted = 0;
    bool is_growth = false;
    bool is_outcome_unknown = false; ///< With the outcome unknown.
};

/// What one session knows of the grants of one team; a row of the table that
/// `grant_ledger` works on.
struct team_grants
{
    struct peer_demand
    {
        std::uint32_t waiting;
        monotonic_time received_at;
    };

    session_id own_session;
    std::optional<task_count> limit;
    config_version limit_version;

    bool is_row_known = false;
    grant_row row_value;
    row_version version;
    config_version read_at; ///< Version in hand when the row was read.

    std::uint32_t in_use = 0;
    std::uint32_t waiting = 0;
    std::map<session_id, peer_demand> peers;
    /// Most to hold, so that waiting peers reach an even share.
    std::optional<std::uint32_t> fair_cap;

    std::uint32_t peak_demand = 0; ///< Most needed since `idle_since`.
    std::optional<monotonic_time> idle_since;

    std::vector<open_transfer> open_transfers;
    std::optional<row_version> conflicted_version;
    row_version conflicted_config_head; ///< Head row of that growth.
    unsigned consecutive_conflicts = 0; ///< In a row.
    milliseconds backoff{0};
    bool needs_read = true;
    bool is_reading = false;
    /// The row came in since the last tick, which notes the time: replies of
    /// a distant platform may be old when they arrive.
    bool has_new_row = false;
    std::optional<monotonic_time> row_seen_at;
    std::optional<monotonic_time> last_transfer;

    std::uint32_t get_own_grants() const { return row_value.get(own_session); }
    std::uint32_t get_peer_grants() const;
    /// @return what the session surely holds: a transfer without a known
    ///   outcome counts as not grown and as shrunk.
    std::uint32_t get_held() const;
    std::uint32_t get_free() const;
    /// @return tasks that may run here, those in use included. While the sum
    ///   is above a lowered limit, the others may run all that they hold. A
    ///   share in proportion to the limit would let this session start tasks
    ///   while those of the others alone reach the limit.
    std::uint32_t get_usable() const;
    /// @return grants for running and waiting work, as far as the fair_cap
    /// allows.
    std::uint32_t get_demand() const;
    std::uint32_t get_peer_waiting() const;
    /// @return whether the row was read at the limit's version or later.
    bool is_current() const;
    bool is_in_flight() const;
    /// @return whether work waits and nothing seems to be free.
    bool is_starved() const;

    void discard_demand_before(monotonic_time oldest);
    void update_cap();

    /// Settles the open transfers after the row's version moved past their
    /// condition. Only this session writes its own number, so that the number
    /// tells which of them took effect.
    std::vector<adoption_outcome> resolve_transfers();
};

} // namespace cowslippass
