#include "systems/fleet_record.hpp"

#include "tests/systems/fleet_generators.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

// Guards against a field that is left out of the log or changed by it, which
// would give entries that read the log another state than the writer planned.
RC_GTEST_PROP(fleet_record, records_survive_the_log, ())
{
    auto records = *rc::gen::container<std::vector<fleet_record>>(
        generators::any_record());
    RC_ASSERT(decode_records(encode_records(records)) == records);
}

// Guards against damaged rows that are installed in part or with defaults.
TEST(fleet_record, malformed_records_are_refused)
{
    const std::string good =
        R"([{"type":"team","id":"a","share":1,"limit":2}])";
    EXPECT_EQ(decode_records(good).size(), 1u);
    for (const char* text : {"", "{}", "[", "[1]", "[{}]", R"([{"type":7}])",
             R"([{"type":"no_such","id":"a"}])",
             R"([{"type":"team","id":"a","share":1}])",
             R"([{"type":"team","id":"a","share":1,"limit":2,"more":3}])",
             R"([{"type":"team","id":"","share":1,"limit":2}])",
             R"([{"type":"team","id":"a/b","share":1,"limit":2}])",
             R"([{"type":"team","id":7,"share":1,"limit":2}])",
             R"([{"type":"team","id":"a","share":0,"limit":2}])",
             R"([{"type":"team","id":"a","share":1,"limit":-2}])",
             R"([{"type":"team","id":"a","share":1,"limit":2.0}])",
             R"([{"type":"team","id":"a","share":1,"limit":4294967296}])",
             R"([{"type":"data_centre","id":"a","is_in_service":1}])",
             R"([{"type":"key","id":"a","team":"t","secret_sha256":"ab"}])",
             R"([{"type":"instance_moved","id":"a","pool":null}])",
             R"([{"type":"instance_state","id":"a","state":"up",
                 "maintained_pass":null,"is_for_maintenance":false}])",
             R"([{"type":"instance","id":"i","data_centre":"d","rack":"r",
                 "address":"host:80","slots":8,"memory":0,"pool":"p"}])"})
        EXPECT_EQ(get_error_code([&] { decode_records(text); }), "bad_record")
            << text;
}

// Guards against a writer that appends what no entry can read afterwards.
TEST(fleet_record, a_bad_record_is_not_encoded)
{
    team_record bad_name{team_id("a b"), 1, task_count(1)};
    EXPECT_THROW(encode_records({bad_name}), systems_error);
    team_record bad_share{team_id("a"), 0, task_count(1)};
    EXPECT_THROW(encode_records({bad_share}), systems_error);
}

} // namespace cowslippass
