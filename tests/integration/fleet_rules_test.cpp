#include "tests/integration/test_fleet.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cowslippass
{

namespace
{

cluster_options make_options()
{
    cluster_options out;
    out.entries_per_data_centre = 2;
    out.pools = {"pool-1", "pool-2"};
    out.targets_per_pool = 3;
    return out;
}

/// Sends statements at the same time, through the two entries in turn.
/// @return the number of accepted ones.
std::size_t race(test_fleet& fleet, const std::vector<std::string>& statements)
{
    std::vector<std::future<http_result>> answers;
    for (std::size_t i = 0; i < statements.size(); ++i)
        answers.push_back(
            std::async(std::launch::async, [&fleet, &statements, i]
                { return fleet.try_run(statements[i], i % 2); }));
    std::size_t accepted = 0;
    for (auto& it : answers)
    {
        http_result result = it.get();
        unsigned status = result.response ? result.response->status : 0;
        EXPECT_TRUE(status == 200 || status == 409) << status;
        accepted += status == 200;
    }
    return accepted;
}

} // namespace

// Guards against drains that race each other past the budget of a pool (I1).
TEST(fleet_rules, racing_drains_keep_the_budget_of_a_pool)
{
    constexpr std::size_t max_unavailable = 2;
    test_fleet fleet(make_options());
    std::string prefix = " instance target-1-pool-1-";
    for (std::size_t round = 0; round < 5; ++round)
    {
        std::size_t accepted =
            race(fleet, {"drain" + prefix + "1", "drain" + prefix + "2",
                            "drain" + prefix + "3"});
        EXPECT_EQ(accepted, max_unavailable);
        for (std::string number : {"1", "2", "3"})
            fleet.try_run("bring" + prefix + number + " back", 0);
    }
}

// Guards against an instance that two operators put into two pools (I2).
TEST(fleet_rules, an_instance_added_twice_is_in_one_pool)
{
    test_fleet fleet(make_options());
    for (std::size_t i = 0; i < 10; ++i)
    {
        std::string name = "added-" + std::to_string(i);
        std::string statement = "add instance " + name +
                                " data-centre dc-1 rack rack-9 address "
                                "127.0.0.9:" +
                                std::to_string(i + 1) + " pool pool-";
        EXPECT_EQ(race(fleet, {statement + "1", statement + "2"}), 1u);
        http_result shown =
            fleet.try_run("show instances where instance = " + name, 0);
        ASSERT_TRUE(shown.response);
        const std::string& body = shown.response->body;
        bool is_in_first = body.find("\"pool-1\"") != std::string::npos;
        bool is_in_second = body.find("\"pool-2\"") != std::string::npos;
        EXPECT_NE(is_in_first, is_in_second) << body;
    }
}

} // namespace cowslippass
