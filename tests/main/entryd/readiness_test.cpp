#include "tests/main/entryd/test_entry.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

/// Two entries, of which the first is the coordinator.
class readiness_test : public entry_test
{
protected:
    asio::awaitable<void> start_entries()
    {
        first = std::make_unique<test_entry>(io, platform, "127.0.0.1:0");
        while (!first->api.is_ready())
            co_await sleep(milliseconds(10));
        second = std::make_unique<test_entry>(io, platform, "127.0.0.1:0");
        while (!second->api.is_ready())
            co_await sleep(milliseconds(10));
        EXPECT_TRUE(first->role.is_coordinator());
    }

    std::unique_ptr<test_entry> first;
    std::unique_ptr<test_entry> second;
};

} // namespace

// Guards against entries that turn unready together while the fleet has no
// coordinator, which sends callers nowhere better.
TEST_F(readiness_test, stays_ready_while_nobody_is_coordinator)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await start_entries();
            // Nobody can write the head row or take over.
            platform.set_store_unavailable(true);
            first->is_frozen = true;
            co_await sleep(milliseconds(3'000));
            EXPECT_FALSE(second->role.is_coordinator_known());
            EXPECT_TRUE(second->api.is_ready());
        });
}

// Guards against callers that are sent to an entry that alone does not reach
// the coordinator.
TEST_F(readiness_test, turns_unready_without_a_way_to_a_working_coordinator)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await start_entries();
            first->is_frozen = true;
            co_await sleep(milliseconds(4'000));
            EXPECT_TRUE(first->role.is_coordinator());
            EXPECT_FALSE(second->api.is_ready());
        });
}

} // namespace cowslippass
