#include "systems/pools/wave_record.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// The system clocks of two entries may differ by about this time.
constexpr milliseconds max_clock_difference{500};
/// Upper bound on the bytes of an instance in a row, with a name of the length
/// that the store allows, and with room for an uneven distribution.
constexpr std::size_t max_instance_bytes = 1'024;
constexpr char part_separator = '/';

template <class Number>
Number parse_number(const char* begin, const char* end)
{
    Number out = 0;
    auto [last, status] = std::from_chars(begin, end, out);
    if (status != std::errc() || last != end)
        throw systems_error("bad_wave", "the key holds no wave number");
    return out;
}

} // namespace

std::uint32_t count_wave_parts(
    std::size_t instance_count, std::size_t max_row_bytes)
{
    std::size_t most =
        std::max<std::size_t>(1, max_row_bytes / max_instance_bytes);
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (instance_count + most - 1) / most));
}

std::map<std::uint32_t, wave_progress> split_wave_progress(
    const wave_progress& progress, std::uint32_t part_count)
{
    std::map<std::uint32_t, wave_progress> out;
    auto get_part = [&](const instance_id& id) -> wave_progress&
    {
        return out[static_cast<std::uint32_t>(
            XXH3_64bits(id.get().data(), id.get().size()) % part_count)];
    };
    out[0];
    for (const auto& [id, since] : progress.begun)
        get_part(id).begun.emplace(id, since);
    for (const auto& [id, target] : progress.ordered)
        get_part(id).ordered.emplace(id, target);
    for (auto& [number, part] : out)
        part.first_seen = progress.first_seen;
    return out;
}

void merge_wave_progress(wave_progress& into, wave_progress part)
{
    into.begun.merge(part.begun);
    into.ordered.merge(part.ordered);
    // A row that was written for another number of parts may be older.
    std::erase_if(into.ordered,
        [&](const auto& it) { return into.begun.contains(it.first); });
    into.first_seen = part.first_seen;
}

std::string encode_wave_row_key(const wave_row_key& key)
{
    std::string out = std::to_string(key.wave);
    if (key.part > 0)
        out += part_separator + std::to_string(key.part);
    return out;
}

wave_row_key decode_wave_row_key(const std::string& text)
{
    const char* end = text.data() + text.size();
    const char* separator = std::find(text.data(), end, part_separator);
    wave_row_key out;
    out.wave = parse_number<std::uint64_t>(text.data(), separator);
    if (separator != end)
        out.part = parse_number<std::uint32_t>(separator + 1, end);
    return out;
}

std::string encode_wave_progress(
    const wave_progress& progress, boot_time now, platform_time wall_time)
{
    auto to_stored_time = [&](boot_time time)
    {
        auto age = std::chrono::duration_cast<milliseconds>(now - time);
        return wall_time.get() - age.count();
    };
    json out{{"begun", json::array()}, {"begun_at", json::object()},
        {"ordered", json::array()},
        {"seen", to_stored_time(progress.first_seen)}};
    for (const auto& [id, since] : progress.begun)
    {
        out["begun"].push_back(id.get());
        if (since != boot_time{})
            out["begun_at"][id.get()] = to_stored_time(since);
    }
    for (const auto& [id, target] : progress.ordered)
        out["ordered"].push_back({id.get(), target.get()});
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

wave_progress decode_wave_progress(
    const std::string& text, boot_time now, platform_time wall_time)
{
    auto from_stored_time = [&](std::int64_t time)
    {
        return now -
               milliseconds(std::max<std::int64_t>(0, wall_time.get() - time));
    };
    try
    {
        json in = json::parse(text);
        wave_progress out;
        out.first_seen = from_stored_time(in.at("seen").get<std::int64_t>());
        json times = in.value("begun_at", json::object());
        for (const json& id : in.at("begun"))
        {
            auto since = times.find(id.get<std::string>());
            out.begun[instance_id(id.get<std::string>())] =
                since == times.end()
                    ? boot_time{}
                    : from_stored_time(since->get<std::int64_t>() +
                                       max_clock_difference.count());
        }
        for (const json& it : in.value("ordered", json::array()))
            // Rows of earlier versions have no target.
            out.ordered.emplace(it.is_string() ? it.get<std::string>()
                                               : it.at(0).get<std::string>(),
                it.is_string() ? "" : it.at(1).get<std::string>());
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_wave", e.what());
    }
}

} // namespace cowslippass
