#include "systems/query_table.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t column_gap = 2;

/// Formats and encodes by the type of the cell.
struct cell_formatter
{
    std::string operator()(std::monostate) const { return {}; }
    std::string operator()(bool it) const { return it ? "true" : "false"; }
    std::string operator()(std::int64_t it) const { return std::to_string(it); }
    std::string operator()(double it) const { return json(it).dump(); }
    std::string operator()(const std::string& it) const { return it; }
};

struct cell_encoder
{
    json operator()(std::monostate) const { return {}; }
    json operator()(const auto& it) const { return it; }
};

[[noreturn]] void fail()
{
    throw systems_error("bad_answer", "the answer to a query is malformed");
}

query_cell decode_cell(const json& in)
{
    if (in.is_null())
        return {};
    if (in.is_boolean())
        return in.get<bool>();
    if (in.is_number_integer())
        return in.get<std::int64_t>();
    if (in.is_number())
        return in.get<double>();
    if (in.is_string())
        return in.get<std::string>();
    fail();
}

query_row decode_row(const json& in, std::size_t columns)
{
    if (!in.is_array() || in.size() != columns)
        fail();
    query_row out;
    out.reserve(columns);
    for (const json& it : in)
        out.push_back(decode_cell(it));
    return out;
}

/// Replaces control characters, also the second range of them, which UTF-8
/// encodes as 0xc2 and a byte from 0x80 to 0x9f.
std::string make_printable(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto c = static_cast<unsigned char>(text[i]);
        auto next = static_cast<unsigned char>(
            i + 1 < text.size() ? text[i + 1] : '\0');
        bool is_second_range = c == 0xc2 && next >= 0x80 && next < 0xa0;
        bool is_control = c < 0x20 || c == 0x7f || is_second_range;
        out += is_control ? '?' : text[i];
        i += is_second_range;
    }
    return out;
}

/// @return the characters of UTF-8 text, which are what a terminal aligns.
std::size_t count_characters(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
        [](unsigned char c) { return (c & 0xc0) != 0x80; }));
}

bool is_number(const query_cell& cell)
{
    return std::holds_alternative<std::int64_t>(cell) ||
           std::holds_alternative<double>(cell);
}

using text_row = std::vector<std::string>;

std::vector<std::size_t> get_widths(const std::vector<text_row>& lines)
{
    std::vector<std::size_t> out(lines.front().size());
    for (const text_row& line : lines)
        for (std::size_t i = 0; i < line.size(); ++i)
            out[i] = std::max(out[i], count_characters(line[i]));
    return out;
}

} // namespace

query_cell make_cell(std::uint64_t n)
{
    constexpr std::uint64_t highest = std::numeric_limits<std::int64_t>::max();
    return static_cast<std::int64_t>(std::min(n, highest));
}

std::string format_cell(const query_cell& cell)
{
    return std::visit(cell_formatter(), cell);
}

std::string format_table(const query_table& table)
{
    if (table.columns.empty())
        return {};
    std::vector<text_row> lines{table.columns};
    for (const query_row& row : table.rows)
    {
        text_row& line = lines.emplace_back();
        for (const query_cell& it : row)
            line.push_back(make_printable(format_cell(it)));
    }
    auto widths = get_widths(lines);
    std::string out;
    for (std::size_t y = 0; y < lines.size(); ++y)
    {
        std::string text;
        for (std::size_t x = 0; x < lines[y].size(); ++x)
        {
            const std::string& cell = lines[y][x];
            std::string padding(widths[x] - count_characters(cell), ' ');
            bool is_right = y > 0 && is_number(table.rows[y - 1][x]);
            text += is_right ? padding + cell : cell + padding;
            text.append(column_gap, ' ');
        }
        text.erase(text.find_last_not_of(' ') + 1);
        out += text + '\n';
    }
    return out;
}

std::string encode_answer(const query_answer& answer)
{
    json rows = json::array();
    for (const query_row& row : answer.table.rows)
    {
        json line = json::array();
        for (const query_cell& it : row)
            line.push_back(std::visit(cell_encoder(), it));
        rows.push_back(std::move(line));
    }
    json missing = json::array();
    for (const data_centre_id& it : answer.missing)
        missing.push_back(it.get());
    json out{{"columns", answer.table.columns}, {"rows", std::move(rows)},
        {"version", answer.version.get()}, {"age_ms", answer.age.count()},
        {"missing", std::move(missing)}};
    // Text of callers, such as job ids, need not be valid UTF-8.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

query_answer decode_answer(const std::string& text)
try
{
    json in = json::parse(text);
    query_answer out;
    out.table.columns = in.at("columns").get<std::vector<std::string>>();
    for (const json& it : in.at("rows"))
        out.table.rows.push_back(decode_row(it, out.table.columns.size()));
    out.version = config_version(in.at("version").get<std::uint64_t>());
    out.age = milliseconds(in.at("age_ms").get<std::int64_t>());
    for (const json& it : in.at("missing"))
        out.missing.emplace_back(it.get<std::string>());
    return out;
}
catch (const json::exception&)
{
    fail();
}

} // namespace cowslippass
