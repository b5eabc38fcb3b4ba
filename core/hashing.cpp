#include "core/hashing.hpp"

#include "core/errors.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <vector>

namespace cowslippass
{

namespace
{

std::string to_hex(const unsigned char* data, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * size);
    for (std::size_t i = 0; i < size; ++i)
    {
        out.push_back(digits[data[i] >> 4]);
        out.push_back(digits[data[i] & 15]);
    }
    return out;
}

} // namespace

std::uint64_t hash_64(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
        digest.data());
    return to_hex(digest.data(), digest.size());
}

bool is_equal_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string make_random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buf(bytes);
    if (RAND_bytes(buf.data(), static_cast<int>(bytes)) != 1)
        throw core_error(
            "no_randomness", "the system's random generator failed");
    return to_hex(buf.data(), buf.size());
}

} // namespace cowslippass
