#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslippass
{

// Records of the fleet log. Each describes one fact that replaces what the
// fleet state held before; `fleet_state::apply` installs them. A record never
// depends on the clock, so that every entry reaches the same state.

/// Creates a team or replaces its settings.
struct team_record
{
    team_id id;
    std::uint32_t share = 1; ///< Weight under contention; 0 is not allowed.
    task_count limit{0};     ///< Most tasks running at once, fleet-wide.

    bool operator==(const team_record&) const = default;
};

/// Grants a key to a team. The secret itself is never stored.
struct key_record
{
    key_id id;
    team_id team;
    std::string secret_sha256; ///< 64 lower-case hex digits.

    bool operator==(const key_record&) const = default;
};

struct key_withdrawn_record
{
    key_id id;

    bool operator==(const key_withdrawn_record&) const = default;
};

/// Grants operator rights to whoever presents the secret.
struct operator_record
{
    key_id id;
    std::string secret_sha256;

    bool operator==(const operator_record&) const = default;
};

struct operator_withdrawn_record
{
    key_id id;

    bool operator==(const operator_withdrawn_record&) const = default;
};

/// Creates a pool or replaces its settings.
struct pool_record
{
    pool_id id;
    /// Most instances that may be unavailable at once: failed, suspect,
    /// draining, rebooting and out of service together.
    std::uint32_t max_unavailable = 1;
    bool is_spare = false; ///< Lends instances to other pools.

    bool operator==(const pool_record&) const = default;
};

enum class queue_kind
{
    urgent, ///< The caller waits for the answer.
    slow    ///< The caller gets a job id and asks for the result later.
};

/// Creates a queue or replaces its settings.
struct queue_record
{
    queue_id id;
    pool_id pool;
    queue_kind kind = queue_kind::urgent;
    bool is_idempotent = true;
    /// Work without a key is accepted, and counted for `team`.
    bool is_open = false;
    /// For an open queue, the team that its work counts for. For another
    /// queue, the only team that may use it, or nothing if every team may.
    std::optional<team_id> team;

    bool operator==(const queue_record&) const = default;
};

/// Creates a data centre or takes it out of service or back.
struct data_centre_record
{
    data_centre_id id;
    bool is_in_service = true;

    bool operator==(const data_centre_record&) const = default;
};

enum class instance_state
{
    in_service,
    draining,  ///< Gets no new work; running tasks end.
    rebooting, ///< Under maintenance.
    failed,    ///< Found dead or suspect.
    out        ///< Taken out of service by operators.
};

/// Creates an instance or replaces its description; keeps pool, state and
/// epoch of an instance that exists.
struct instance_record
{
    instance_id id;
    data_centre_id data_centre;
    rack_id rack;
    std::string address; ///< `IP:port` of its HTTP interface.
    slot_count slots{8};
    byte_count memory{0}; ///< 0 means not declared.
    pool_id pool;         ///< Only used when the instance is new.

    bool operator==(const instance_record&) const = default;
};

struct instance_state_record
{
    instance_id id;
    instance_state state = instance_state::in_service;
    /// Set when a maintenance pass ended; counts the passes.
    std::optional<std::uint32_t> maintained_pass;
    /// The instance drains in order to be rebooted, not until operators bring
    /// it back.
    bool is_for_maintenance = false;

    bool operator==(const instance_state_record&) const = default;
};

/// Moves a drained instance to another pool, puts it back in service there and
/// raises its epoch.
struct instance_moved_record
{
    instance_id id;
    pool_id pool;

    bool operator==(const instance_moved_record&) const = default;
};

struct instance_removed_record
{
    instance_id id;

    bool operator==(const instance_removed_record&) const = default;
};

/// An entry daemon started. Its number is assigned by the state: one more
/// than the highest so far.
struct session_started_record
{
    entry_id entry;
    data_centre_id data_centre;
    std::string peer_address;
    std::string http_address;
    std::string nonce; ///< Random; tells an entry which session is its own.

    bool operator==(const session_started_record&) const = default;
};

struct session_ended_record
{
    session_id session;

    bool operator==(const session_ended_record&) const = default;
};

using fleet_record = std::variant<team_record, key_record, key_withdrawn_record,
    operator_record, operator_withdrawn_record, pool_record, queue_record,
    data_centre_record, instance_record, instance_state_record,
    instance_moved_record, instance_removed_record, session_started_record,
    session_ended_record>;

/// @return the name used in JSON, queries and messages.
std::string get_name(queue_kind kind);
std::string get_name(instance_state state);

/// Checks every field by itself: the form of names, addresses and digests, and
/// the range of numbers. Whether the names exist is for the planner to check.
/// @throws systems_error (`bad_record`) that names the field.
void check_record(const fleet_record& record);

/// @return the records as a JSON array of objects, each with a `type`.
/// @throws systems_error (`bad_record`) when a record fails `check_record`, so
///   that nothing is written that other entries would refuse to read.
std::string encode_records(const std::vector<fleet_record>& records);

/// Unknown types and fields are refused: an entry that does not understand a
/// change must not act as if it were in force.
/// @throws systems_error (`bad_record`) for text that is not such an array, and
///   for a record that fails `check_record`.
std::vector<fleet_record> decode_records(const std::string& text);

} // namespace cowslippass
