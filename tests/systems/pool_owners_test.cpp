#include "systems/pool_owners.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

// Guards against a pool that changes its owner although the owner stays, which
// would hand over its queue needlessly.
RC_GTEST_PROP(pool_owners, only_pools_of_a_leaving_entry_move, ())
{
    auto count = *rc::gen::inRange<std::uint64_t>(2, 10);
    std::vector<session_id> all;
    for (std::uint64_t i = 1; i <= count; ++i)
        all.emplace_back(i);
    pool_id pool(*rc::gen::string<std::string>());
    session_id leaving(*rc::gen::inRange<std::uint64_t>(1, count + 1));
    auto before = choose_pool_owner(pool, all);
    std::erase(all, leaving);
    auto after = choose_pool_owner(pool, all);
    RC_ASSERT(after.has_value());
    RC_ASSERT(before == leaving || before == after);
}

// Guards against an owner that is made up when no entry is live.
TEST(pool_owners, has_no_owner_without_entries)
{
    EXPECT_FALSE(choose_pool_owner(pool_id("previews"), {}));
}

} // namespace cowslippass
