#pragma once

#include "systems/command.hpp"

#include <string_view>

namespace cowslippass
{

/// The text is not a statement of the language (`syntax`).
class command_syntax_error : public systems_error
{
public:
    /// @param column of the first character that does not fit, from 1.
    /// @param expected what would have fitted there.
    command_syntax_error(std::size_t column, const std::string& expected);

    std::size_t get_column() const { return column_; }
    const std::string& get_expected() const { return expected_; }

private:
    std::size_t column_;
    std::string expected_;
};

/// Parses one statement; docs/OPERATIONS.md has the grammar.
/// @throws command_syntax_error
command parse_command(std::string_view text);

/// @param text of a query.
/// @return the column of the table's name, from 1.
std::size_t get_table_column(std::string_view text);

} // namespace cowslippass
