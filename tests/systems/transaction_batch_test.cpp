#include "systems/transaction_batch.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

transaction make_write(const std::string& key)
{
    return {{{key, row_version(0)}}, {{key, "{}"}}};
}

} // namespace

// Guards against a claim that is reported as taken because another claim of
// the same batch was.
TEST(transaction_batch, only_members_with_failed_keys_conflict)
{
    transaction_batch it(10);
    EXPECT_TRUE(it.try_add(1, make_write("a")));
    EXPECT_TRUE(it.try_add(2, make_write("b")));
    EXPECT_EQ(it.get_merged().writes.size(), 2);
    auto all = it.split(transaction_outcome::conflict, {"b"});
    ASSERT_EQ(all.known.size(), 1);
    EXPECT_EQ(all.known[0].id, 2);
    EXPECT_EQ(all.retry, std::vector<std::uint64_t>{1});
}

// Guards against members that never hear of an outcome.
TEST(transaction_batch, other_outcomes_hold_for_all_members)
{
    transaction_batch it(10);
    it.try_add(1, make_write("a"));
    it.try_add(2, make_write("b"));
    for (auto outcome :
        {transaction_outcome::committed, transaction_outcome::conflict,
            transaction_outcome::unavailable, transaction_outcome::unknown})
    {
        auto all = it.split(outcome, {});
        EXPECT_TRUE(all.retry.empty());
        ASSERT_EQ(all.known.size(), 2);
        EXPECT_EQ(all.known[1].outcome, outcome);
    }
}

// Guards against two writes of one row in a transaction, and against batches
// that grow without bound.
TEST(transaction_batch, refuses_shared_rows_and_too_many_writes)
{
    transaction_batch it(2);
    EXPECT_TRUE(it.is_empty());
    EXPECT_TRUE(it.try_add(1, make_write("a")));
    EXPECT_FALSE(it.try_add(2, make_write("a")));
    EXPECT_TRUE(it.try_add(3, make_write("b")));
    EXPECT_FALSE(it.try_add(4, make_write("c")));
}

} // namespace cowslippass
