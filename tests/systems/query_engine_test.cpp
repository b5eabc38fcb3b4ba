#include "systems/query_engine.hpp"

#include "systems/command_parser.hpp"
#include "systems/fleet_tables.hpp"
#include "tests/systems/fleet_generators.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

query_table run(const query_engine& engine, const std::string& text)
{
    return engine.run(std::get<query_command>(parse_command(text)));
}

std::string get_error(const query_engine& engine, const std::string& text)
{
    try
    {
        run(engine, text);
    }
    catch (const query_error& e)
    {
        return e.get_code() + ": " + e.what();
    }
    return {};
}

query_table make_jobs()
{
    using namespace std::string_literals;
    return {"jobs", {"job", "pool", "attempts"},
        {{"j1"s, "p1"s, std::int64_t(9)}, {"j2"s, "p2"s, std::int64_t(10)},
            {"j3"s, "p1"s, {}}}};
}

} // namespace

TEST(query_engine, filters_orders_and_limits)
{
    fleet_state state;
    query_engine engine(state);
    engine.add_table(make_jobs());
    auto table = run(engine, "show jobs where pool = p1 order by job desc");
    ASSERT_EQ(table.rows.size(), 2u);
    EXPECT_EQ(format_cell(table.rows[0][0]), "j3");
    // Guards against numbers that are ordered as text.
    table = run(engine, "show jobs order by attempts desc limit 1");
    ASSERT_EQ(table.rows.size(), 1u);
    EXPECT_EQ(format_cell(table.rows[0][0]), "j2");
    table = run(engine, "show jobs where attempts = \"\"");
    ASSERT_EQ(table.rows.size(), 1u);
    EXPECT_EQ(format_cell(table.rows[0][0]), "j3");
    table = run(engine, "show jobs order by count desc count by pool");
    EXPECT_EQ(format_table(table), "pool  count\np1        2\np2        1\n");
}

TEST(query_engine, errors_list_what_exists)
{
    fleet_state state;
    query_engine engine(state);
    engine.add_table(make_jobs());
    const std::string fields = "the fields are job, pool, attempts";
    for (const char* text : {"show jobs where size = 1",
             "show jobs order by size", "show jobs count by size"})
        EXPECT_EQ(get_error(engine, text),
            "unknown_field: there is no field 'size' here; " + fields);
    EXPECT_NE(get_error(engine, "show job").find("data-centres, instances"),
        std::string::npos);
}

// Guards against cells that end in a wrong column when entries of different
// releases answer.
TEST(query_engine, parts_are_merged_by_column_name)
{
    fleet_state state;
    query_engine engine(state);
    engine.add_table(make_jobs());
    engine.add_table({"jobs", {"pool", "owner", "job"},
        {{std::string("p3"), std::string("e1"), std::string("j4")}}});
    auto table = run(engine, "show jobs where pool = p3");
    EXPECT_EQ(table.columns,
        (std::vector<std::string>{"job", "pool", "attempts", "owner"}));
    ASSERT_EQ(table.rows.size(), 1u);
    EXPECT_EQ(format_cell(table.rows[0][0]), "j4");
    EXPECT_EQ(format_cell(table.rows[0][2]), "");
    EXPECT_EQ(format_cell(table.rows[0][3]), "e1");
    EXPECT_EQ(run(engine, "show jobs where owner = \"\"").rows.size(), 3u);
}

// Guards against fleet tables with rows that do not match their columns, and
// against digests that are shown.
RC_GTEST_PROP(query_engine, fleet_tables_fit_their_columns, ())
{
    auto records = *rc::gen::container<std::vector<fleet_record>>(
        generators::any_record());
    fleet_state state;
    state.apply(config_version(1), records);
    query_engine engine(state);
    for (const auto& [name, maker] : get_fleet_tables())
    {
        RC_ASSERT(query_engine::is_fleet_table(name));
        query_table table = run(engine, "show " + name);
        RC_ASSERT(table.name == name);
        for (const query_row& row : table.rows)
        {
            RC_ASSERT(row.size() == table.columns.size());
            for (const query_cell& it : row)
                RC_ASSERT(!is_digest(format_cell(it)));
        }
    }
}

TEST(query_table, answers_survive_json)
{
    query_answer answer{make_jobs(), config_version(7), milliseconds(12),
        {data_centre_id("d2")}};
    answer.table.rows[0][2] = 0.5;
    answer.table.rows[1][2] = true;
    auto copy = decode_answer(encode_answer(answer));
    EXPECT_EQ(copy.table.rows, answer.table.rows);
    EXPECT_EQ(copy.version, config_version(7));
    EXPECT_EQ(copy.age, milliseconds(12));
    EXPECT_EQ(copy.missing, answer.missing);
    for (const char* text : {"", "[]", "{}", "{\"columns\":1}",
             R"({"columns":["a"],"rows":[[]],"version":1,"age_ms":0,
                 "missing":[]})"})
        EXPECT_THROW(decode_answer(text), systems_error) << text;
}

// Guards against cells that steer the operator's terminal.
TEST(query_table, text_tables_are_aligned_and_printable)
{
    query_table table{"t", {"name", "n"},
        {{std::string("a\x1b[2J\n\xc2\x9b"), std::int64_t(5)},
            {std::string("\xc3\xa9"), std::int64_t(1234)}}};
    EXPECT_EQ(format_table(table), "name     n\n"
                                   "a?[2J??     5\n"
                                   "\xc3\xa9        1234\n");
}

} // namespace cowslippass
