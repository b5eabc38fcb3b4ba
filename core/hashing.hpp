#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cowslippass
{

/// @return the 64-bit XXH3 hash of `data`, which is the same in every process.
std::uint64_t hash_64(std::string_view data);

/// @return the SHA-256 digest of `data` as 64 lower-case hex digits.
std::string sha256_hex(std::string_view data);

/// Compares two texts in a time that does not depend on the position of the
/// first difference, so that digests of secrets cannot be guessed by timing.
/// Texts of different lengths are told apart at once.
bool is_equal_constant_time(std::string_view left, std::string_view right);

/// @param bytes number of random bytes.
/// @return that many bytes of the system's random generator, as two lower-case
///   hex digits each.
/// @throws core_error (`no_randomness`) when the generator fails.
std::string make_random_hex(std::size_t bytes);

} // namespace cowslippass
