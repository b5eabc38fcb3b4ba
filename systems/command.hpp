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
};

/// Changes the settings that are given and keeps the others.
struct set_team_command
{
    team_id team;
    std::optional<std::uint32_t> share;
    std::optional<task_count> limit;
};

struct create_pool_command
{
    pool_id pool;
    std::uint32_t max_unavailable = 1;
    bool is_spare = false;
};

struct set_pool_command
{
    pool_id pool;
    std::uint32_t max_unavailable = 1;
};

struct create_queue_command
{
    queue_id queue;
    pool_id pool;
    queue_kind kind = queue_kind::urgent;
    bool is_idempotent = true;
    bool is_open = false;
    std::optional<team_id> team;
};

struct create_data_centre_command
{
    data_centre_id data_centre;
};

/// Takes a data centre out of service or brings it back.
struct serve_data_centre_command
{
    data_centre_id data_centre;
    bool is_in_service = true;
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
};

struct remove_instance_command
{
    instance_id instance;
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
};

struct move_instance_command
{
    instance_id instance;
    pool_id pool;
};

/// The parser leaves the digest empty. Whoever runs the command generates the
/// secret, shows it once, and sets the digest before planning.
struct grant_key_command
{
    key_id key;
    team_id team;
    std::string secret_sha256;
};

struct withdraw_key_command
{
    key_id key;
};

/// The digest is set as in `grant_key_command`.
struct grant_operator_command
{
    key_id id;
    std::string secret_sha256;
};

struct withdraw_operator_command
{
    key_id id;
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
};

struct query_filter
{
    std::string field;
    std::string value; ///< As the field's value is shown in a table.
};

struct query_command
{
    std::string table;
    std::vector<query_filter> where; ///< All must hold.
    std::string order_by;            ///< Empty if not given.
    bool is_descending = false;
    std::optional<std::uint32_t> limit;
    std::string count_by; ///< Empty if not given.
};

using command = std::variant<change_command, cancel_command, query_command>;

} // namespace cowslippass
