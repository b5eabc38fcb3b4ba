#include "systems/command_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

/// @return `COLUMN: EXPECTED` of the syntax error, or an empty string.
std::string get_syntax_error(const std::string& text)
try
{
    parse_command(text);
    return {};
}
catch (const command_syntax_error& e)
{
    return std::to_string(e.get_column()) + ": " + e.get_expected();
}

} // namespace

// Guards against words that end in the wrong member, against wrong defaults,
// and against statements that are taken for their opposite.
TEST(command_parser, words_reach_their_members)
{
    team_id t("t");
    pool_id p("p");
    instance_id i("i");
    data_centre_id d("d");
    const std::vector<std::pair<const char*, command>> cases{
        {"create team Prints-2 share 2 limit 40",
            create_team_command{team_id("Prints-2"), 2, task_count(40)}},
        {"create team t limit 0", create_team_command{t, 1, task_count(0)}},
        {" set\tteam t limit 5\n", set_team_command{t, {}, task_count(5)}},
        {"set team t share 3", set_team_command{t, 3, {}}},
        {"set team t share 3 limit 5", set_team_command{t, 3, task_count(5)}},
        {"create pool p", create_pool_command{p, 1, false}},
        {"create pool p max-unavailable 2 spare",
            create_pool_command{p, 2, true}},
        {"set pool p max-unavailable 2", set_pool_command{p, 2}},
        {"create queue q pool p urgent",
            create_queue_command{
                queue_id("q"), p, queue_kind::urgent, true, false, {}}},
        {"create queue q pool p slow non-idempotent open team t",
            create_queue_command{
                queue_id("q"), p, queue_kind::slow, false, true, t}},
        {"create data-centre d", create_data_centre_command{d}},
        {"take data-centre d out", serve_data_centre_command{d, false}},
        {"bring data-centre d back", serve_data_centre_command{d, true}},
        {"add instance i data-centre d rack r address [::1]:80 pool p",
            add_instance_command{i, d, rack_id("r"), "[::1]:80", p,
                slot_count(8), byte_count(0)}},
        {"add instance i data-centre d rack r address 127.0.0.1:80 pool p "
         "slots 4 memory 32000000000",
            add_instance_command{i, d, rack_id("r"), "127.0.0.1:80", p,
                slot_count(4), byte_count(32'000'000'000)}},
        {"remove instance i", remove_instance_command{i}},
        {"take instance i out",
            change_instance_command{i, instance_change::take_out}},
        {"bring instance i back",
            change_instance_command{i, instance_change::bring_back}},
        {"drain instance i",
            change_instance_command{i, instance_change::drain}},
        {"maintain instance i",
            change_instance_command{i, instance_change::maintain}},
        {"move instance i to pool p", move_instance_command{i, p}},
        {"grant key k to team t", grant_key_command{key_id("k"), t, ""}},
        {"withdraw key k", withdraw_key_command{key_id("k")}},
        {"grant operator o", grant_operator_command{key_id("o"), ""}},
        {"withdraw operator o", withdraw_operator_command{key_id("o")}},
        {"cancel job j", cancel_command{job_id("j")}},
        {"cancel jobs of team t", cancel_command{t}},
        {"admit this entry", admit_command{}},
        {"show jobs", query_command{"jobs", {}, "", false, {}, ""}},
        {"show jobs where team = t and reason=\"fits no target\" "
         "order by started desc limit 5 count by pool",
            query_command{"jobs", {{"team", "t"}, {"reason", "fits no target"}},
                "started", true, 5, "pool"}},
    };
    for (const auto& [text, expected] : cases)
        EXPECT_TRUE(parse_command(text) == expected) << text;
}

// Guards against errors that point to the wrong word or hide an alternative.
TEST(command_parser, errors_give_column_and_expectation)
{
    const std::vector<std::pair<const char*, const char*>> cases{
        {"create team a limit 20x", "21: a number"},
        {"create team a limit 4294967296", "21: a number"},
        {"create team a", "14: 'share' or 'limit'"},
        {"create team a/b limit 3", "13: a team name"},
        {"create rack", "8: 'team', 'pool', 'queue' or 'data-centre'"},
        {"create pool p spares",
            "15: 'max-unavailable', 'spare' or the end of the statement"},
        {"take instance i back", "17: 'out'"},
        {"add instance i data-centre d rack r address host:80 pool p",
            "45: an address IP:port"},
        {"admit entry", "7: 'this'"},
        {"admit this entry i", "18: the end of the statement"},
        {"show jobs where team t", "22: '='"},
        {"show jobs where team = ", "24: a value"},
        {"show jobs where reason = \"open", "26: a value"},
    };
    for (const auto& [text, expected] : cases)
        EXPECT_EQ(get_syntax_error(text), expected) << text;
    for (const char* text : {"", "Drain instance i"})
        EXPECT_TRUE(get_syntax_error(text).starts_with("1: 'create'"));
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
    std::string message = get_syntax_error(text);
    if (!message.empty())
        RC_ASSERT(std::stoul(message) <= text.size() + 1);
}

} // namespace cowslippass
