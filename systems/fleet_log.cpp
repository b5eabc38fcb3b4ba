#include "systems/fleet_log.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace cowslippass
{

namespace
{

nlohmann::json parse(const std::string& text)
try
{
    return nlohmann::json::parse(text);
}
catch (const nlohmann::json::exception& e)
{
    throw systems_error("bad_record", e.what());
}

config_version decode_version(const std::string& text)
{
    auto body = parse(text);
    try
    {
        return config_version(body.at("version").get<std::uint64_t>());
    }
    catch (const nlohmann::json::exception& e)
    {
        throw systems_error("bad_record", e.what());
    }
}

std::string encode_version(config_version version)
{
    return nlohmann::json{{"version", version.get()}}.dump();
}

std::string encode_command(config_version version, platform_time at)
{
    return nlohmann::json{{"version", version.get()}, {"at", at.get()}}.dump();
}

} // namespace

std::string get_fleet_log_key(config_version version)
{
    char digits[24];
    std::snprintf(digits, sizeof(digits), "%020llu",
        static_cast<unsigned long long>(version.get()));
    return std::string(fleet_log_prefix) + digits;
}

std::string get_fleet_command_key(const command_id& command)
{
    return fleet_command_prefix + command.get();
}

fleet_head decode_fleet_head(const row& head)
{
    if (head.version.get() == 0)
        return {config_version(0), row_version(0)};
    return {decode_version(head.value), head.version};
}

config_version decode_fleet_command(const row& command)
{
    return decode_version(command.value);
}

platform_time decode_fleet_command_time(const row& command)
{
    auto body = parse(command.value);
    bool has_time = body.is_object() && body.contains("at") &&
                    body["at"].is_number_integer();
    return platform_time(has_time ? body["at"].get<std::int64_t>() : 0);
}

transaction make_fleet_append(const fleet_head& head,
    const std::vector<fleet_record>& records, const command_id& command,
    platform_time now)
{
    config_version next(head.version.get() + 1);
    std::string command_key = get_fleet_command_key(command);
    transaction out;
    out.conditions = {
        {fleet_head_key, head.head_row}, {command_key, row_version(0)}};
    out.writes = {{fleet_head_key, encode_version(next)},
        {get_fleet_log_key(next), encode_records(records)},
        {command_key, encode_command(next, now)}};
    return out;
}

} // namespace cowslippass
