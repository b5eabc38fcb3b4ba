#include "systems/limit_table.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Sums a numeric column over the rows of each team.
std::map<query_cell, std::int64_t> sum_by_team(
    const query_table& table, const std::string& column)
{
    std::map<query_cell, std::int64_t> out;
    auto find = [&](const std::string& name)
    {
        auto it = std::ranges::find(table.columns, name);
        return static_cast<std::size_t>(it - table.columns.begin());
    };
    std::size_t team = find("team");
    std::size_t value = find(column);
    for (const query_row& row : table.rows)
        if (const auto* n = std::get_if<std::int64_t>(&row.at(value)))
            out[row.at(team)] += *n;
    return out;
}

} // namespace

query_table make_limit_table(
    const fleet_state& state, const query_table& grants)
{
    auto held = sum_by_team(grants, "held");
    auto in_use = sum_by_team(grants, "in_use");
    query_table out{"limits",
        {"team", "share", "limit", "granted", "in_use", "not_granted"}, {}};
    for (const auto& [id, it] : state.get_teams())
    {
        query_cell team = make_cell(id);
        std::int64_t limit = it.limit.get();
        // After a limit has been lowered, more than the limit stays granted
        // until enough tasks have ended.
        std::int64_t free = std::max<std::int64_t>(limit - held[team], 0);
        out.rows.push_back(
            {team, make_cell(it.share), limit, held[team], in_use[team], free});
    }
    return out;
}

} // namespace cowslippass
