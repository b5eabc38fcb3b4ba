#pragma once

#include "systems/fleet_record.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

/// Row keys and transactions of the fleet log.
inline constexpr const char* fleet_head_key = "config/head";
inline constexpr const char* fleet_log_prefix = "config/log/";
inline constexpr const char* fleet_command_prefix = "config/command/";
inline constexpr const char* fleet_snapshot_key = "config/snapshot";

/// The newest version, and the row version that an append is conditioned on.
struct fleet_head
{
    config_version version;
    row_version head_row;
};

/// @return the key of one version's records; keys order as versions do.
std::string get_fleet_log_key(config_version version);

/// @return the key that tells which version a command committed as.
std::string get_fleet_command_key(const command_id& command);

/// @throws systems_error (`bad_record`) when the row is malformed.
fleet_head decode_fleet_head(const row& head);

/// @return the version that a command's row names.
/// @throws systems_error (`bad_record`) when the row is malformed.
config_version decode_fleet_command(const row& command);

/// @return when the command committed; 0 when its row does not tell.
/// @throws systems_error (`bad_record`) when the row is malformed.
platform_time decode_fleet_command_time(const row& command);

/// Appends `records` as the version after `head`. It commits only while the
/// head is unchanged and the command has not been committed before.
transaction make_fleet_append(const fleet_head& head,
    const std::vector<fleet_record>& records, const command_id& command,
    platform_time now);

} // namespace cowslippass
