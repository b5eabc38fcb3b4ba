#pragma once

#include "systems/pools/pool_planner.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cowslippass
{

// The ledger's rows of a maintenance wave. A wave of many instances has several
// rows, each for a part of the instances, as a row is limited in size.

/// @param max_row_bytes the store's limit on a row.
/// @return the number of parts for a wave of so many instances. It has to stay
///   the same while the wave lasts.
std::uint32_t count_wave_parts(
    std::size_t instance_count, std::size_t max_row_bytes);

/// Distributes the instances over parts by a hash of their names.
/// @return the progress by part, without empty parts other than part 0.
std::map<std::uint32_t, wave_progress> split_wave_progress(
    const wave_progress& progress, std::uint32_t part_count);

/// Adds the instances of one part.
void merge_wave_progress(wave_progress& into, wave_progress part);

/// Key of a row of the wave.
struct wave_row_key
{
    std::uint64_t wave = 0;
    std::uint32_t part = 0;

    auto operator<=>(const wave_row_key&) const = default;
};

std::string encode_wave_row_key(const wave_row_key& key);

/// @throws systems_error (`bad_wave`) if the text is not the key of a row.
wave_row_key decode_wave_row_key(const std::string& text);

/// @param now current time of the clock that `progress` refers to.
/// @param wall_time the same time on the system clock, which other entries can
///   read.
/// @return JSON text for a row.
std::string encode_wave_progress(
    const wave_progress& progress, boot_time now, platform_time wall_time);

/// @throws systems_error (`bad_wave`) if the text is malformed.
wave_progress decode_wave_progress(
    const std::string& text, boot_time now, platform_time wall_time);

} // namespace cowslippass
