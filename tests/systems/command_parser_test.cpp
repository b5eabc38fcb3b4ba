#include "systems/command_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

template <class Statement>
Statement parse_change(std::string_view text)
{
    return std::get<Statement>(std::get<change_command>(parse_command(text)));
}

struct bad_text
{
    const char* text;
    std::size_t column;
    const char* expected;
};

} // namespace

// Guards against words that end in the wrong member, and against wrong
// defaults of words that are left out.
TEST(command_parser, words_reach_their_members)
{
    auto team = parse_change<create_team_command>(
        "create team Prints-2 share 2 limit 40");
    EXPECT_EQ(team.team, team_id("Prints-2"));
    EXPECT_EQ(team.share, 2u);
    EXPECT_EQ(team.limit, task_count(40));
    auto set = parse_change<set_team_command>(" set\tteam a limit 0\n");
    EXPECT_EQ(set.limit, task_count(0));
    EXPECT_FALSE(set.share);
    auto pool = parse_change<create_pool_command>("create pool p spare");
    EXPECT_EQ(pool.max_unavailable, 1u);
    EXPECT_TRUE(pool.is_spare);
    auto queue = parse_change<create_queue_command>(
        "create queue q pool p slow non-idempotent open team t");
    EXPECT_EQ(queue.kind, queue_kind::slow);
    EXPECT_FALSE(queue.is_idempotent);
    EXPECT_TRUE(queue.is_open);
    EXPECT_EQ(queue.team, team_id("t"));
    queue = parse_change<create_queue_command>("create queue q pool p urgent");
    EXPECT_EQ(queue.kind, queue_kind::urgent);
    EXPECT_TRUE(queue.is_idempotent);
    EXPECT_FALSE(queue.is_open || queue.team);
    auto added = parse_change<add_instance_command>(
        "add instance i data-centre d rack r address 127.0.0.1:80 pool p "
        "slots 4 memory 32000000000");
    EXPECT_EQ(added.instance, instance_id("i"));
    EXPECT_EQ(added.data_centre, data_centre_id("d"));
    EXPECT_EQ(added.rack, rack_id("r"));
    EXPECT_EQ(added.address, "127.0.0.1:80");
    EXPECT_EQ(added.slots, slot_count(4));
    EXPECT_EQ(added.memory, byte_count(32'000'000'000));
}

// Guards against statements that are taken for their opposite.
TEST(command_parser, in_and_out_of_service_are_told_apart)
{
    using serve = serve_data_centre_command;
    EXPECT_FALSE(parse_change<serve>("take data-centre d out").is_in_service);
    EXPECT_TRUE(parse_change<serve>("bring data-centre d back").is_in_service);
    using change = change_instance_command;
    EXPECT_EQ(parse_change<change>("take instance i out").change,
        instance_change::take_out);
    EXPECT_EQ(parse_change<change>("bring instance i back").change,
        instance_change::bring_back);
    EXPECT_EQ(parse_change<change>("drain instance i").change,
        instance_change::drain);
    EXPECT_EQ(parse_change<change>("maintain instance i").change,
        instance_change::maintain);
    auto one = std::get<cancel_command>(parse_command("cancel job j"));
    EXPECT_EQ(std::get<job_id>(one.what), job_id("j"));
    auto all = std::get<cancel_command>(parse_command("cancel jobs of team t"));
    EXPECT_EQ(std::get<team_id>(all.what), team_id("t"));
}

TEST(command_parser, queries_keep_all_their_parts)
{
    auto query = std::get<query_command>(
        parse_command("show jobs where team = t and reason=\"fits no target\" "
                      "order by started desc limit 5 count by pool"));
    EXPECT_EQ(query.table, "jobs");
    ASSERT_EQ(query.where.size(), 2u);
    EXPECT_EQ(query.where[0].value, "t");
    EXPECT_EQ(query.where[1].field, "reason");
    EXPECT_EQ(query.where[1].value, "fits no target");
    EXPECT_EQ(query.order_by, "started");
    EXPECT_TRUE(query.is_descending);
    EXPECT_EQ(query.limit, 5u);
    EXPECT_EQ(query.count_by, "pool");
}

// Guards against errors that point to the wrong word or hide an alternative.
TEST(command_parser, errors_give_column_and_expectation)
{
    const std::vector<bad_text> cases{
        {"create team a limit 20x", 21, "a number"},
        {"create team a limit 4294967296", 21, "a number"},
        {"create team a", 14, "'share' or 'limit'"},
        {"create team a/b limit 3", 13, "a team name"},
        {"create rack", 8, "'team', 'pool', 'queue' or 'data-centre'"},
        {"create pool p spares", 15,
            "'max-unavailable', 'spare' or the end of the statement"},
        {"take instance i back", 17, "'out'"},
        {"Drain instance i", 1, nullptr},
        {"add instance i data-centre d rack r address host:80 pool p", 45,
            "an address IP:port"},
        {"show jobs where team t", 22, "'='"},
        {"show jobs where team = ", 24, "a value"},
        {"show jobs where reason = \"open", 26, "a value"},
        {"", 1, nullptr},
    };
    for (const bad_text& it : cases)
    {
        try
        {
            parse_command(it.text);
            ADD_FAILURE() << "accepted: " << it.text;
        }
        catch (const command_syntax_error& e)
        {
            EXPECT_EQ(e.get_column(), it.column) << it.text;
            EXPECT_EQ(e.get_code(), "syntax");
            if (it.expected)
            {
                EXPECT_EQ(e.get_expected(), it.expected) << it.text;
            }
        }
    }
}

// Guards against text that makes the parser read past its end or throw
// anything but its own error.
RC_GTEST_PROP(command_parser, any_words_are_parsed_or_refused, ())
{
    auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("create", "team", "show", "where", "and",
            "=", "\"", "a", "limit", "1", "order", "by", "instance", "out",
            "take", "queue", "pool", "\xff"));
    std::string text;
    for (const std::string& it : words)
        text += it + ' ';
    try
    {
        parse_command(text);
    }
    catch (const command_syntax_error& e)
    {
        RC_ASSERT(e.get_column() >= 1 && e.get_column() <= text.size() + 1);
    }
}

} // namespace cowslippass
