#include "core/core.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

// Guards against a change of the digest or its hex form, which would make all
// stored digests of keys useless.
TEST(hashing, sha256_has_the_published_value_for_abc)
{
    EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223"
                                 "b00361a396177a9cb410ff61f20015ad");
}

// Guards against a comparison that accepts a prefix of a secret, or one that
// differs in a single character.
TEST(hashing, constant_time_comparison_rejects_prefixes)
{
    EXPECT_TRUE(is_equal_constant_time("secret", "secret"));
    EXPECT_FALSE(is_equal_constant_time("secret", "secre"));
    EXPECT_FALSE(is_equal_constant_time("secret", "secreT"));
}

// Guards against a random generator that returns the same secret twice.
TEST(hashing, random_hex_differs_between_calls)
{
    EXPECT_EQ(make_random_hex(16).size(), 32u);
    EXPECT_NE(make_random_hex(16), make_random_hex(16));
}

} // namespace cowslippass
