#pragma once

#include <string>
#include <string_view>

namespace cowslippass
{

/// Appends the text as a JSON string. Rows are written many times a second;
/// this avoids building a JSON document for each. Invalid UTF-8 is replaced.
void append_json_string(std::string& out, std::string_view text);

/// @return the number of bytes that append_json_string() appends.
std::size_t get_json_string_size(std::string_view text);

} // namespace cowslippass
