#include "systems/fleet_log.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace cowslippass
{

namespace
{

config_version decode_version(const std::string& text)
{
    try
    {
        auto body = nlohmann::json::parse(text);
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
    return "config/command/" + command.get();
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

transaction make_fleet_append(const fleet_head& head,
    const std::vector<fleet_record>& records, const command_id& command)
{
    config_version next(head.version.get() + 1);
    std::string command_key = get_fleet_command_key(command);
    transaction out;
    out.conditions = {
        {fleet_head_key, head.head_row}, {command_key, row_version(0)}};
    out.writes = {{fleet_head_key, encode_version(next)},
        {get_fleet_log_key(next), encode_records(records)},
        {command_key, encode_version(next)}};
    return out;
}

} // namespace cowslippass
