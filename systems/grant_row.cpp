#include "systems/grant_row.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

std::uint32_t grant_row::get(session_id session) const
{
    auto it = holders.find(session);
    return it == holders.end() ? 0 : it->second;
}

void grant_row::set(session_id session, std::uint32_t count)
{
    if (count == 0)
        holders.erase(session);
    else
        holders[session] = count;
}

std::uint32_t grant_row::get_total() const
{
    std::uint32_t sum = 0;
    for (const auto& [session, count] : holders)
        sum += count;
    return sum;
}

std::string grant_row::encode() const
{
    auto list = nlohmann::json::object();
    for (const auto& [session, count] : holders)
        list[std::to_string(session.get())] = count;
    return nlohmann::json{{"holders", list}}.dump();
}

grant_row grant_row::decode(const std::string& text)
{
    grant_row result;
    if (text.empty())
        return result;
    try
    {
        auto value = nlohmann::json::parse(text);
        for (const auto& [name, count] : value.at("holders").items())
            result.set(
                session_id(std::stoull(name)), count.get<std::uint32_t>());
    }
    catch (const std::exception& e)
    {
        throw systems_error(
            "bad_grant_row", std::string("malformed grants row: ") + e.what());
    }
    return result;
}

std::string grant_row::get_key(const team_id& team)
{
    return "grants/" + team.get();
}

} // namespace cowslippass
