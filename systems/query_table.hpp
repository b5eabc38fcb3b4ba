#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cowslippass
{

/// The value of one field; nothing when it does not apply to the row.
using query_cell =
    std::variant<std::monostate, bool, std::int64_t, double, std::string>;

using query_row = std::vector<query_cell>;

/// A table that queries run over, or the result of one.
struct query_table
{
    std::string name;
    std::vector<std::string> columns;
    std::vector<query_row> rows; ///< Each has one cell for each column.

    bool operator==(const query_table&) const = default;
};

/// What an entry answers to a query.
struct query_answer
{
    query_table table;
    config_version version; ///< Of the fleet state that was read.
    milliseconds age{0};    ///< How old that state may be at most.
    /// Data centres whose entries did not answer; their rows are missing.
    std::vector<data_centre_id> missing;
};

/// Makes the cell of a number. Numbers beyond the signed range, which no
/// quantity here reaches, are shown as the highest one.
query_cell make_cell(std::uint64_t n);

/// Makes the cell of a name, which is nothing if the name is empty.
template <class Tag>
query_cell make_cell(const strong_id<Tag, std::string>& id)
{
    return id.get().empty() ? query_cell() : query_cell(id.get());
}

/// Makes the cell of a number with a type of its own.
template <class Tag, class Value>
query_cell make_cell(const strong_id<Tag, Value>& n)
{
    return make_cell(static_cast<std::uint64_t>(n.get()));
}

/// @return the cell as it is shown in text tables and compared in filters;
///   an empty string for nothing.
std::string format_cell(const query_cell& cell);

/// @return a line of column names and one line for each row, aligned; numbers
///   to the right. Control characters are shown as `?`, so that a cell cannot
///   break the table or steer a terminal.
std::string format_table(const query_table& table);

/// @return `{"columns","rows","version","age_ms","missing"}`.
std::string encode_answer(const query_answer& answer);

/// @throws systems_error (`bad_answer`) for text of another form. The table's
///   name is not part of the text and stays empty.
query_answer decode_answer(const std::string& text);

} // namespace cowslippass
