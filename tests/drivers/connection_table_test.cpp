#include "drivers/drivers.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cowslippass
{

namespace
{

using enum connection_phase;

class connection_table_test : public testing::Test
{
protected:
    std::optional<connection_table::slot> add(int number)
    {
        return table.add([this, number] { closed.push_back(number); });
    }

    /// Adds a connection in a phase that holds this many bytes.
    connection_table::slot add(
        int number, connection_phase phase, std::size_t bytes)
    {
        auto it = *add(number);
        table.enter(it, phase);
        table.hold(it, bytes);
        return it;
    }

    connection_table table{{3, 100}};
    std::vector<int> closed;
};

} // namespace

// A crowd of silent connections that takes every place.
TEST_F(connection_table_test, closes_the_longest_idle_for_a_new_one)
{
    add(1, handling, 10);
    add(2, receiving, 10);
    add(3);
    EXPECT_TRUE(add(4));
    EXPECT_TRUE(add(5));
    EXPECT_EQ(closed, (std::vector<int>{3, 4}));
}

// A crowd of unfinished requests that takes every place.
TEST_F(connection_table_test, closes_the_slowest_when_none_is_idle)
{
    add(1, handling, 10);
    auto second = add(2, sending, 10);
    add(3, receiving, 10);
    table.enter(second, sending);
    EXPECT_TRUE(add(4));
    EXPECT_EQ(closed, std::vector<int>{3});
}

// A request that is being handled may already have taken effect.
TEST_F(connection_table_test, never_closes_a_request_in_progress)
{
    for (int i = 1; i <= 3; ++i)
        add(i, handling, 30);
    EXPECT_FALSE(add(4));
    EXPECT_TRUE(closed.empty());
}

// A crowd of unfinished bodies that fills the memory.
TEST_F(connection_table_test, closes_the_slowest_for_bytes)
{
    add(1, receiving, 60);
    add(2, receiving, 30);
    auto third = add(3, receiving, 5);
    EXPECT_TRUE(table.hold(third, 60));
    EXPECT_EQ(closed, std::vector<int>{1});
    EXPECT_EQ(table.get_bytes(), 90u);
    EXPECT_EQ(table.count_open(), 2u);
}

// Requests in progress that hold all bytes: one more is refused.
TEST_F(connection_table_test, reports_bytes_that_requests_in_progress_hold)
{
    auto first = add(1, handling, 60);
    auto second = add(2, handling, 30);
    EXPECT_FALSE(table.hold(second, 60));
    EXPECT_TRUE(closed.empty());
    table.remove(first);
    EXPECT_TRUE(table.hold(second, 60));
}

// A connection that was closed to make room still ends by itself later.
TEST_F(connection_table_test, forgets_a_closed_connection_once)
{
    auto first = *add(1);
    add(2);
    add(3);
    add(4);
    ASSERT_TRUE(first->is_closed);
    table.enter(first, receiving);
    EXPECT_TRUE(table.hold(first, 1'000));
    table.remove(first);
    EXPECT_EQ(table.get_bytes(), 0u);
    EXPECT_EQ(table.count_open(), 3u);
}

} // namespace cowslippass
