#include "systems/workload/json_writer.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cowslippass
{

void append_json_string(std::string& out, std::string_view text)
{
    bool is_plain = std::ranges::all_of(text,
        [](char it)
        {
            auto code = static_cast<unsigned char>(it);
            return code >= 0x20 && code < 0x7f && it != '"' && it != '\\';
        });
    if (!is_plain)
    {
        out += nlohmann::json(text).dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

std::size_t get_json_string_size(std::string_view text)
{
    std::string out;
    append_json_string(out, text);
    return out.size();
}

} // namespace cowslippass
