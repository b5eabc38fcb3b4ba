#include "tests/integration/fault_load.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

cluster_options make_options()
{
    cluster_options out;
    out.entries_per_data_centre = 2;
    return out;
}

json get_body(const http_result& result)
{
    if (!result.response)
        return json::object();
    return json::parse(result.response->body, nullptr, false);
}

/// @return the newest version, by the platform's row.
std::uint64_t get_head(test_fleet& fleet)
{
    json row = fetch_json(fleet.get_cluster().get_platform_endpoint(), "GET",
        "/v1/row?key=config/head");
    return json::parse(row.at("value").get<std::string>())
        .at("version")
        .get<std::uint64_t>();
}

} // namespace

// Guards against two operators who both believe that their change won (I11).
TEST(operator_race, one_of_two_equal_changes_wins_and_one_is_refused)
{
    test_fleet fleet(make_options());
    for (std::size_t i = 0; i < 10; ++i)
    {
        std::string statement =
            "create team racer-" + std::to_string(i) + " share 1 limit 4";
        std::vector<std::future<http_result>> answers;
        for (std::size_t entry = 0; entry < 2; ++entry)
            answers.push_back(std::async(std::launch::async,
                [&, entry] { return fleet.try_run(statement, entry); }));
        std::size_t won = 0;
        for (auto& it : answers)
        {
            http_result result = it.get();
            ASSERT_TRUE(result.response);
            if (result.response->status == 200)
            {
                ++won;
                continue;
            }
            EXPECT_EQ(result.response->status, 409u);
            json body = get_body(result);
            EXPECT_NE(body.value("code", ""), "") << body.dump();
            EXPECT_NE(
                body.value("message", "").find("racer-"), std::string::npos)
                << body.dump();
        }
        EXPECT_EQ(won, 1u);
    }
}

// Guards against a change that applies twice when its reply was lost and the
// operator repeats it (I11).
TEST(operator_race, a_repeated_command_id_applies_once)
{
    test_fleet fleet(make_options());
    auto platform = fleet.get_cluster().get_platform_endpoint();
    for (std::string how : {"close", "silent"})
    {
        std::string id = "command-" + how;
        set_control(platform, {{"lost_reply", how}, {"lose_replies", 1}});
        fleet.try_run("create team " + how + " share 1 limit 4", 0, id);
        set_control(platform, {{"lose_replies", 0}});
        json first;
        EXPECT_TRUE(wait_until(
            [&]
            {
                http_result result = fleet.try_run(
                    "create team " + how + " share 1 limit 4", 1, id);
                first = get_body(result);
                return result.response && result.response->status == 200;
            },
            milliseconds(20'000)))
            << first.dump();
        // The rule against a second team of this name would refuse it.
        json second = get_body(
            fleet.try_run("create team " + how + " share 1 limit 4", 0, id));
        EXPECT_EQ(second.value("committed", 0u), first.value("committed", 1u))
            << second.dump();
    }
}

// Guards against an entry that shows or uses an older configuration after a
// restart, also when it restarts during an outage of the platform (I11).
TEST(operator_race, a_restarted_entry_never_shows_an_older_version)
{
    test_fleet fleet(make_options());
    auto& entry = fleet.get_cluster().get_entries()[1];
    for (std::size_t round = 0; round < 3; ++round)
    {
        std::string limit = std::to_string(20 + round);
        fleet.run("set team red limit " + limit, 0, true);
        std::uint64_t committed = get_head(fleet);
        entry.process->kill(SIGKILL);
        entry.process->wait(milliseconds(10'000));
        bool is_outage = round == 2;
        auto platform = fleet.get_cluster().get_platform_endpoint();
        set_control(platform, {{"down", is_outage}});
        fleet.get_cluster().start_entry(entry);
        if (is_outage)
        {
            std::this_thread::sleep_for(milliseconds(3'000));
            http_result result = fleet.try_run("show teams", 1);
            EXPECT_TRUE(!result.response || result.response->status != 200);
            EXPECT_FALSE(fleet.post(caller_request{}, 1).is_ok());
            set_control(platform, {{"down", false}});
        }
        std::size_t shown = 0;
        EXPECT_TRUE(wait_until(
            [&]
            {
                http_result result = fleet.try_run("show teams", 1);
                if (!result.response || result.response->status != 200)
                    return false;
                ++shown;
                json body = get_body(result);
                EXPECT_GE(body.value("version", std::uint64_t(0)), committed)
                    << body.dump();
                EXPECT_NE(result.response->body.find(limit), std::string::npos)
                    << body.dump();
                return shown >= 5;
            },
            milliseconds(30'000)));
    }
}

} // namespace cowslippass
