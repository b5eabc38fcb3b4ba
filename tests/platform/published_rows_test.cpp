#include "platform/published_rows.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

stored_row make_row(const std::string& key, const std::string& value)
{
    return {published_table::operators, key, value, row_version(1), false};
}

constexpr const char* config_text =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/",
    "kind":"non_idempotent","timeoutMs":3000,"targetDurationMs":600,
    "priority":1,"service":"s1","maxAttempts":4,"stretch":1.6,
    "allowAnonymous":false},{"name":"r2","host":"a.example","prefix":"/x/y/",
    "priority":0,"service":"s1","maxAttempts":2,"stretch":2,
    "allowAnonymous":true,"advice":{"decisionMs":1,"periodMs":2,"validMs":3}}],
    "services":[{"name":"s1","admissionCheck":true,"standby":false},
    {"name":"off","standby":true}],"limits":{"maxBodyBytes":1000},
    "tenants":[{"name":"t1","apiKeys":["k1","k2"],"weight":61,
    "maxCount":{"cpu":5,"memMb":6,"gpus":7}}]})";

} // namespace

// Guards against a published field that is decoded into the wrong member.
TEST(published_rows, decodes_a_configuration)
{
    published_state state;
    ASSERT_TRUE(apply_published_row(make_row("config", config_text), state));
    const fleet_config& it = *state.config;
    EXPECT_EQ(it.version, config_version(7));
    const queue_config* queue = it.find_queue_by_route("a.example", "/x/1");
    ASSERT_TRUE(queue);
    EXPECT_EQ(queue->queue, queue_id("r1"));
    EXPECT_EQ(queue->max_attempts, 4U);
    EXPECT_EQ(queue->priority, 1U);
    EXPECT_EQ(queue->deadline_allowance, milliseconds(600));
    EXPECT_FALSE(queue->advice);
    queue = it.find_queue_by_route("a.example", "/x/y/1");
    ASSERT_TRUE(queue);
    EXPECT_TRUE(queue->allows_anonymous_callers);
    EXPECT_EQ(queue->advice->time_per_target, milliseconds(2));
    EXPECT_FALSE(it.find_queue_by_route("b.example", "/x/1"));
    EXPECT_FALSE(it.find_queue_by_route("a.example", "/z"));
    EXPECT_EQ(it.find_standby_pool(), pool_id("off"));
    ASSERT_TRUE(it.find_team_by_key("k2"));
    EXPECT_EQ(it.find_team_by_key("k2")->limit, (resources{5, 6, 7}));
    EXPECT_FALSE(it.find_team_by_key("k3"));
    EXPECT_EQ(it.max_body_bytes, 1'000U);
}

// Guards against a configuration that reverts to an older version when rows
// arrive out of order.
TEST(published_rows, never_applies_an_older_configuration)
{
    published_state state;
    ASSERT_TRUE(apply_published_row(make_row("config", config_text), state));
    std::string older = config_text;
    older.replace(older.find(":7"), 2, ":6");
    EXPECT_FALSE(apply_published_row(make_row("config", older), state));
    EXPECT_EQ(state.config->version, config_version(7));
}

// Guards against an evacuation that does not start with its row or outlives it,
// and against wrong units or fields of a maintenance wave.
TEST(published_rows, applies_evacuations_and_waves)
{
    published_state state;
    EXPECT_TRUE(apply_published_row(make_row("evacuate/z1", "{}"), state));
    EXPECT_TRUE(state.evacuated.contains(data_centre_id("z1")));
    stored_row gone = make_row("evacuate/z1", "");
    gone.is_deleted = true;
    EXPECT_TRUE(apply_published_row(gone, state));
    EXPECT_TRUE(state.evacuated.empty());
    EXPECT_TRUE(apply_published_row(
        make_row("wave/3",
            R"({"wave":3,"machines":["m1"],"deadlineS":20,"maxCount":2})"),
        state));
    EXPECT_EQ(state.waves.at(3).time_limit, milliseconds(20'000));
    EXPECT_EQ(state.waves.at(3).max_unavailable_instances, 2U);
    EXPECT_EQ(get_wave_status_key(3), "wave/3");
    EXPECT_EQ(encode_wave_status(true), R"({"state":"completed"})");
}

// Guards against a malformed row that ends an entry with an unexpected
// exception or that is applied in part.
TEST(published_rows, rejects_malformed_rows)
{
    published_state state;
    for (const char* text : {"", "[]", "{\"version\":1}", "x"})
        EXPECT_THROW(apply_published_row(make_row("config", text), state),
            platform_error);
    EXPECT_FALSE(state.config);
    EXPECT_THROW(
        apply_published_row(make_row("wave/x", "{}"), state), platform_error);
    EXPECT_FALSE(apply_published_row(make_row("other", "{}"), state));
}

// Guards against using a target whose row has a missing field, a field of
// another type or an unknown state. An unknown writer may leave such a row.
TEST(published_rows, rejects_incomplete_target_reports)
{
    stored_row row{published_table::targets, "i-1",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",
        "slots":8,"state":"ready","coldLeftMs":5,"born":9,
        "capacity":{"cpu":1,"memMb":2,"gpus":3},"labels":["a","r1"],
        "seq":4})",
        row_version(1), false};
    auto it = decode_target_report(row);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->target, target_id("i-1"));
    EXPECT_EQ(it->capacity, (resources{1, 2, 3}));
    EXPECT_EQ(it->warm_up_remaining, milliseconds(5));
    EXPECT_EQ(it->incarnation_start, platform_time(9));
    EXPECT_FALSE(it->is_draining);
    auto with = [&](const std::string& from, const std::string& to)
    {
        stored_row out = row;
        out.value.replace(out.value.find(from), from.size(), to);
        return decode_target_report(out);
    };
    EXPECT_TRUE(with("\"ready\"", "\"draining\"")->is_draining);
    EXPECT_FALSE(with("\"ready\"", "\"odd\""));
    EXPECT_FALSE(with("\"seq\":4", "\"seq\":\"4\""));
    EXPECT_FALSE(with("\"labels\":[\"a\",\"r1\"]", "\"labels\":7"));
    EXPECT_FALSE(with("\"zone\":\"z\",", ""));
    EXPECT_FALSE(with("{\"service\"", "\xff{"));
}

namespace
{

constexpr const char* target_text =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",
    "slots":8,"state":"ready","coldLeftMs":5,"born":9,
    "capacity":{"cpu":1,"memMb":2,"gpus":3},"labels":["a","r1"],"seq":4})";

std::optional<target_report> decode_target(const std::string& text)
{
    return decode_target_report(
        {published_table::targets, "i-1", text, row_version(1), false});
}

std::optional<target_report> decode_target_with(
    const std::string& from, const std::string& to)
{
    std::string text = target_text;
    return decode_target(text.replace(text.find(from), from.size(), to));
}

} // namespace

// Guards against an entry of another writer with a number that is too large,
// which would be taken for a huge capacity or a time far in the future, in
// another way on each kind of processor.
TEST(published_rows, rejects_target_reports_with_numbers_out_of_range)
{
    for (const char* number : {"1e30", "9223372036854775807",
             "18446744073709551615", "-1", "1e400", "true", "\"5\"", "[]"})
    {
        std::string text = number;
        EXPECT_FALSE(decode_target_with("\"cpu\":1", "\"cpu\":" + text));
        EXPECT_FALSE(decode_target_with("\"memMb\":2", "\"memMb\":" + text));
        EXPECT_FALSE(decode_target_with("\"gpus\":3", "\"gpus\":" + text));
        EXPECT_FALSE(decode_target_with("\"born\":9", "\"born\":" + text));
        EXPECT_FALSE(decode_target_with("\"seq\":4", "\"seq\":" + text));
        EXPECT_FALSE(
            decode_target_with("\"coldLeftMs\":5", "\"coldLeftMs\":" + text));
    }
    EXPECT_FALSE(decode_target_with("{\"cpu\":1", "7,\"x\":{\"cpu\":1"));
    EXPECT_EQ(decode_target_with("\"coldLeftMs\":5", "\"coldLeftMs\":2.5")
                  ->warm_up_remaining,
        milliseconds(2));
}

// Guards against an entry of another writer whose address has no valid port.
TEST(published_rows, rejects_target_reports_with_a_bad_address)
{
    for (const char* address : {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1",
             "10.0.0.1:4294967376", "10.0.0.1", "host:80", ""})
        EXPECT_FALSE(decode_target_with("10.0.0.1:80", address)) << address;
}

// Guards against an entry of another writer that is nested so deeply that the
// parser or a destructor exhausts the stack.
TEST(published_rows, rejects_deeply_nested_rows)
{
    std::string deep(1'000'000, '[');
    EXPECT_FALSE(decode_target(deep));
    EXPECT_FALSE(decode_target(deep + std::string(deep.size(), ']')));
    std::string objects;
    for (int i = 0; i < 200'000; ++i)
        objects += "{\"a\":";
    EXPECT_FALSE(decode_target(objects));
    published_state state;
    EXPECT_THROW(
        apply_published_row(make_row("config", deep), state), platform_error);
    EXPECT_FALSE(decode_target_with("\"labels\":[", "\"labels\":[" + deep));
}

// Guards against any exception, or a value that cannot be, from an entry in
// which some bytes were replaced.
RC_GTEST_PROP(published_rows, accepts_only_plausible_target_reports, ())
{
    std::string text = target_text;
    int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] =
            *rc::gen::element('0', '9', 'e', '-', '.', '"', '{', '[', ':', ',',
                '\\', '\xff', '\0', ' ');
    auto it = decode_target(text);
    if (!it)
        return;
    RC_ASSERT(it->capacity.processor >= 0);
    RC_ASSERT(it->capacity.processor <= 1'000'000'000'000);
    RC_ASSERT(it->warm_up_remaining >= milliseconds(0));
    RC_ASSERT(it->incarnation_start.get() >= 0);
}

} // namespace cowslippass
