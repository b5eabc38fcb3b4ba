#include "systems/workload/job_rows.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr char part_separator = '/';
constexpr const char* part_count_name = "parts";

} // namespace

std::string encode_job_row_key(const job_row_key& key)
{
    if (!key.part)
        return key.job.get();
    return key.job.get() + part_separator + std::to_string(*key.part);
}

std::optional<job_row_key> decode_job_row_key(std::string_view text)
{
    std::size_t at = text.find(part_separator);
    job_row_key out{job_id(std::string(text.substr(0, at))), std::nullopt};
    if (at == std::string_view::npos)
        return out;
    std::uint32_t part = 0;
    const char* end = text.data() + text.size();
    auto [last, status] = std::from_chars(text.data() + at + 1, end, part);
    if (status != std::errc() || last != end)
        return std::nullopt;
    out.part = part;
    return out;
}

job_row_values split_job_record(std::string text, std::size_t max_row_bytes)
{
    job_row_values out;
    if (text.size() <= max_row_bytes)
    {
        out.main = std::move(text);
        return out;
    }
    for (std::size_t at = 0; at < text.size(); at += max_row_bytes)
        out.parts[static_cast<std::uint32_t>(out.parts.size())] =
            text.substr(at, max_row_bytes);
    out.main = json{{part_count_name, out.parts.size()}}.dump();
    return out;
}

std::string join_job_record(const job_row_values& rows)
{
    // A record is a JSON array; a main row that refers to parts is an object.
    if (!rows.main.starts_with('{'))
        return rows.main;
    try
    {
        auto count =
            json::parse(rows.main).at(part_count_name).get<std::uint32_t>();
        std::string out;
        for (std::uint32_t i = 0; i < count; ++i)
        {
            auto it = rows.parts.find(i);
            if (it == rows.parts.end())
                throw systems_error(
                    "bad_job", "part " + std::to_string(i) + " of " +
                                   std::to_string(count) + " is missing");
            out += it->second;
        }
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job", e.what());
    }
}

std::uint32_t choose_tasks_per_segment(
    const job_spec& spec, std::size_t max_row_bytes)
{
    std::uint64_t tasks = 0;
    for (const step_spec& it : spec.steps)
        tasks += it.task_count;
    tasks *= spec.get_occurrence_count();
    std::size_t most =
        std::max<std::size_t>(1, max_row_bytes / max_task_progress_bytes);
    return tasks <= most ? 0 : static_cast<std::uint32_t>(most);
}

} // namespace cowslippass
