#include "systems/pools/wave_record.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

constexpr std::size_t max_row_bytes = 65'536;
const boot_time now{milliseconds(100'000)};
const platform_time wall_time(5'000'000);

/// @return a wave of instances with long names, of which each third has an
///   order without an answer.
wave_progress make_wave(int instances)
{
    wave_progress out;
    out.first_seen = now - milliseconds(3'000);
    for (int i = 0; i < instances; ++i)
    {
        instance_id id(std::string(150, 'i') + std::to_string(i));
        if (i % 3 == 0)
            out.ordered.emplace(id, std::string(150, 't') + std::to_string(i));
        else
            out.begun[id] =
                i % 3 == 1 ? boot_time{} : now - milliseconds(1'000);
    }
    return out;
}

} // namespace

// Guards against the row of a large wave that exceeds the store's limit, and
// against instances that are lost between its rows.
TEST(wave_record, distributes_a_large_wave_over_rows)
{
    for (int instances : {0, 10, 500, 4'300})
    {
        wave_progress wave = make_wave(instances);
        wave_progress copy;
        std::uint32_t count = count_wave_parts(
            static_cast<std::size_t>(instances), max_row_bytes);
        auto parts = split_wave_progress(wave, count);
        EXPECT_TRUE(parts.contains(0));
        for (const auto& [number, part] : parts)
        {
            std::string row = encode_wave_progress(part, now, wall_time);
            EXPECT_LE(row.size(), max_row_bytes);
            merge_wave_progress(
                copy, decode_wave_progress(row, now, wall_time));
        }
        EXPECT_EQ(copy.ordered, wave.ordered);
        EXPECT_EQ(copy.begun.size(), wave.begun.size());
        EXPECT_EQ(copy.first_seen, wave.first_seen);
    }
    EXPECT_EQ(count_wave_parts(10, max_row_bytes), 1U);
}

// Guards against an order that is sent again for an instance whose maintenance
// has begun, because an older row still lists it.
TEST(wave_record, prefers_begun_maintenance_to_an_open_order)
{
    const instance_id id("i");
    wave_progress ordered;
    ordered.ordered.emplace(id, "t");
    wave_progress begun;
    begun.begun[id] = now;
    for (bool is_reversed : {false, true})
    {
        wave_progress out;
        merge_wave_progress(out, is_reversed ? begun : ordered);
        merge_wave_progress(out, is_reversed ? ordered : begun);
        EXPECT_TRUE(out.ordered.empty());
        EXPECT_TRUE(out.begun.contains(id));
    }
}

// Guards against an update of the system during a wave: rows that name no
// targets.
TEST(wave_record, reads_orders_without_targets)
{
    auto wave = decode_wave_progress(
        R"({"begun":[],"ordered":["a","b"],"seen":0})", now, wall_time);
    EXPECT_EQ(wave.ordered.size(), 2U);
    EXPECT_EQ(wave.ordered.at(instance_id("a")), target_id());
}

// Guards against a row of another kind that is read as the row of a wave.
TEST(wave_record, rejects_malformed_rows)
{
    for (wave_row_key key : {wave_row_key{7, 0}, wave_row_key{7, 3}})
        EXPECT_EQ(decode_wave_row_key(encode_wave_row_key(key)), key);
    for (const char* text : {"", "x", "7/", "7/x", "-1", "7 "})
        EXPECT_THROW(decode_wave_row_key(text), systems_error) << text;
    for (const char* text : {"", "{}", "[1]", R"({"seen":"x","begun":[]})"})
        EXPECT_THROW(decode_wave_progress(text, now, wall_time), systems_error)
            << text;
}

} // namespace cowslippass
