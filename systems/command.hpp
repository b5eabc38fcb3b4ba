#pragma once

#include "systems/fleet_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslippass
{

// Statements of the query and command language, as the parser gives them.
// Whether the names in them exist is not checked here.

struct create_team_command
{
    team_id team;
    std::uint32_t share = 1;
    task_count limit{0};

    bool operator==(const create_team_command&) const = default;
};

/// Changes the settings that are given and keeps the others.
struct set_team_command
{
    team_id team;
    std::optional<std::uint32_t> share;
    std::optional<task_count> limit;

    bool operator==(const set_team_command&) const = default;
};

struct create_pool_command
{
    pool_id pool;
    std::uint32_t max_unavailable = 1;
    bool is_spare = false;

    bool operator==(const create_pool_command&) const = default;
};

struct set_pool_command
{
    pool_id pool;
    std::uint32_t max_unavailable = 1;

    bool operator==(const set_pool_command&) const = default;
};

struct create_queue_command
{
    queue_id queue;
    pool_id pool;
    queue_kind kind = queue_kind::urgent;
    bool is_idempotent = true;
    bool is_open = false;
    std::optional<team_id> team;

    bool operator==(const create_queue_command&) const = default;
};

struct create_data_centre_command
{
    data_centre_id data_centre;

    bool operator==(const create_data_centre_command&) const = default;
};

/// Takes a data centre out of service or brings it back.
struct serve_data_centre_command
{
    data_centre_id data_centre;
    bool is_in_service = true;

    bool operator==(const serve_data_centre_command&) const = default;
};

struct add_instance_command
{
    instance_id instance;
    data_centre_id data_centre;
    rack_id rack;
    std::string address;
    pool_id pool;
    slot_count slots{8};
    byte_count memory{0};

    bool operator==(const add_instance_command&) const = default;
};

struct remove_instance_command
{
    instance_id instance;

    bool operator==(const remove_instance_command&) const = default;
};

enum class instance_change
{
    take_out,
    bring_back,
    drain,
    maintain
};

struct change_instance_command
{
    instance_id instance;
    instance_change change = instance_change::take_out;

    bool operator==(const change_instance_command&) const = default;
};

struct move_instance_command
{
    instance_id instance;
    pool_id pool;

    bool operator==(const move_instance_command&) const = default;
};

/// The parser leaves the digest empty. Whoever runs the command generates the
/// secret, shows it once, and sets the digest before planning.
struct grant_key_command
{
    key_id key;
    team_id team;
    std::string secret_sha256;

    bool operator==(const grant_key_command&) const = default;
};

struct withdraw_key_command
{
    key_id key;

    bool operator==(const withdraw_key_command&) const = default;
};

/// The digest is set as in `grant_key_command`.
struct grant_operator_command
{
    key_id id;
    std::string secret_sha256;

    bool operator==(const grant_operator_command&) const = default;
};

struct withdraw_operator_command
{
    key_id id;

    bool operator==(const withdraw_operator_command&) const = default;
};

/// A change of the fleet state; committed through the fleet log.
using change_command = std::variant<create_team_command, set_team_command,
    create_pool_command, set_pool_command, create_queue_command,
    create_data_centre_command, serve_data_centre_command, add_instance_command,
    remove_instance_command, change_instance_command, move_instance_command,
    grant_key_command, withdraw_key_command, grant_operator_command,
    withdraw_operator_command>;

/// Cancels one job, or all jobs of a team. Not part of the fleet state: the
/// job rows are changed.
struct cancel_command
{
    std::variant<job_id, team_id> what;

    bool operator==(const cancel_command&) const = default;
};

struct query_filter
{
    std::string field;
    std::string value; ///< As the field's value is shown in a table.

    bool operator==(const query_filter&) const = default;
};

struct query_command
{
    std::string table;
    std::vector<query_filter> where; ///< All must hold.
    std::string order_by;            ///< Empty if not given.
    bool is_descending = false;
    std::optional<std::uint32_t> limit;
    std::string count_by; ///< Empty if not given.

    bool operator==(const query_command&) const = default;
};

/// Lets the entry that is asked accept changes without an older entry's
/// acknowledgement; for a fleet whose entries have all died.
struct admit_command
{
    bool operator==(const admit_command&) const = default;
};

using command =
    std::variant<change_command, cancel_command, query_command, admit_command>;

} // namespace cowslippass
