#include "systems/query_engine.hpp"

#include "systems/fleet_tables.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr const char* count_column = "count";

std::string join(const auto& names)
{
    std::string out;
    for (const std::string& it : names)
        out += (out.empty() ? "" : ", ") + it;
    return out;
}

/// @return the position of the column.
std::size_t find_column(const query_table& table, const std::string& field)
{
    auto it = std::find(table.columns.begin(), table.columns.end(), field);
    if (it == table.columns.end())
        throw query_error("unknown_field", "there is no field '" + field +
                                               "' here; the fields are " +
                                               join(table.columns));
    return static_cast<std::size_t>(it - table.columns.begin());
}

void filter_rows(query_table& table, const query_filter& filter)
{
    std::size_t column = find_column(table, filter.field);
    std::erase_if(table.rows, [&](const query_row& row)
        { return format_cell(row[column]) != filter.value; });
}

/// @return a table of the field's values and the number of rows with each.
query_table count_rows(const query_table& table, const std::string& field)
{
    std::size_t column = find_column(table, field);
    std::map<query_cell, std::uint64_t> counts;
    for (const query_row& row : table.rows)
        ++counts[row[column]];
    query_table out{table.name, {field, count_column}, {}};
    for (const auto& [cell, n] : counts)
        out.rows.push_back({cell, make_cell(n)});
    return out;
}

/// @return the cell's number, or nothing.
std::optional<double> get_number(const query_cell& cell)
{
    if (auto* n = std::get_if<std::int64_t>(&cell))
        return static_cast<double>(*n);
    if (auto* n = std::get_if<double>(&cell))
        return *n;
    return {};
}

/// Orders whole and other numbers of one column among each other, and all
/// else by type and value; nothing comes first.
bool is_less(const query_cell& a, const query_cell& b)
{
    auto x = get_number(a);
    auto y = get_number(b);
    if (x && y && a.index() != b.index())
        return *x < *y;
    return a < b;
}

void order_rows(query_table& table, const std::string& field, bool is_desc)
{
    std::size_t column = find_column(table, field);
    std::stable_sort(table.rows.begin(), table.rows.end(),
        [&](const query_row& a, const query_row& b)
        {
            return is_desc ? is_less(b[column], a[column])
                           : is_less(a[column], b[column]);
        });
}

/// Adds the rows of `part`, with its columns in the order of `table`.
void merge_rows(query_table& table, query_table&& part)
{
    std::vector<std::size_t> positions;
    for (const std::string& it : part.columns)
    {
        auto found = std::find(table.columns.begin(), table.columns.end(), it);
        positions.push_back(
            static_cast<std::size_t>(found - table.columns.begin()));
        if (found != table.columns.end())
            continue;
        table.columns.push_back(it);
        for (query_row& row : table.rows)
            row.emplace_back();
    }
    for (query_row& row : part.rows)
    {
        query_row& added = table.rows.emplace_back(table.columns.size());
        for (std::size_t i = 0; i < positions.size(); ++i)
            added[positions[i]] = std::move(row[i]);
    }
}

} // namespace

void query_engine::add_table(query_table table)
{
    auto found = tables_.find(table.name);
    if (found != tables_.end())
    {
        merge_rows(found->second, std::move(table));
        return;
    }
    std::string name = table.name;
    tables_.emplace(std::move(name), std::move(table));
}

bool query_engine::is_fleet_table(const std::string& name)
{
    return get_fleet_tables().contains(name);
}

void query_engine::require_table(const std::string& name, std::size_t column,
    std::set<std::string> collected)
{
    for (const auto& it : get_fleet_tables())
        collected.insert(it.first);
    if (collected.contains(name))
        return;
    throw query_error("unknown_table",
        "at column " + std::to_string(column) + ": there is no table '" + name +
            "'; the tables are " + join(collected));
}

query_table query_engine::get_table(const std::string& name) const
{
    auto added = tables_.find(name);
    if (added != tables_.end())
        return added->second;
    auto maker = get_fleet_tables().find(name);
    if (maker != get_fleet_tables().end())
        return maker->second(*state_);
    std::vector<std::string> names;
    for (const auto& it : get_fleet_tables())
        names.push_back(it.first);
    for (const auto& it : tables_)
        names.push_back(it.first);
    throw query_error("unknown_table",
        "there is no table '" + name + "' here; the tables are " + join(names));
}

query_table query_engine::run(const query_command& query) const
{
    query_table out = get_table(query.table);
    for (const query_filter& it : query.where)
        filter_rows(out, it);
    if (!query.count_by.empty())
        out = count_rows(out, query.count_by);
    if (!query.order_by.empty())
        order_rows(out, query.order_by, query.is_descending);
    if (query.limit && out.rows.size() > *query.limit)
        out.rows.resize(*query.limit);
    return out;
}

} // namespace cowslippass
