#include "drivers/log.hpp"

#include "core/core.hpp"

#include <fstream>
#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using nlohmann::json;

/// Sends the log to a file and reads its lines back.
class log_lines : public testing::Test
{
protected:
    void SetUp() override
    {
        std::remove(path.c_str());
        configure_log("info", path);
    }
    void TearDown() override { configure_log("error", ""); }

    std::vector<json> read() const
    {
        std::ifstream file(path);
        std::vector<json> out;
        for (std::string line; std::getline(file, line);)
            out.push_back(json::parse(line));
        return out;
    }

    std::string path = testing::TempDir() + "cowslippass_log_" +
                       std::to_string(getpid()) + ".jsonl";
};

} // namespace

// Guards against nested, missing or converted fields, which readers of the
// decision log cannot parse.
TEST_F(log_lines, a_decision_is_logged_as_one_flat_json_object)
{
    decision_log("placement")
        .write("start", "free_slot",
            {{"team", team_id("t1")}, {"slots", 3}, {"ratio", 0.5},
                {"is_urgent", true}});
    auto lines = read();
    ASSERT_EQ(lines.size(), 1u);
    json it = lines[0];
    EXPECT_THAT(it["time"].get<std::string>(),
        testing::MatchesRegex("....-..-..T..:..:..[.]...Z"));
    it.erase("time");
    EXPECT_EQ(
        it, json({{"level", "info"}, {"logger", "decision.placement"},
                {"message", "start"}, {"rule", "free_slot"}, {"team", "t1"},
                {"slots", 3}, {"ratio", 0.5}, {"is_urgent", true}}));
}

// Guards against callers' input that forges log lines or members, or that makes
// a line invalid JSON: line breaks, control characters, broken UTF-8.
TEST_F(log_lines, control_characters_and_bad_utf8_stay_on_one_line)
{
    write_log(log_level::warn, "http", "a\n\"b\"\x01",
        {{"path", "\xff/\n"}, {"message", "forged"}});
    auto lines = read();
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_EQ(lines[0]["message"], "a\n\"b\"\x01");
}

// Guards against secrets in log files, and against lines below the configured
// level.
TEST_F(log_lines, secrets_and_lower_levels_are_left_out)
{
    write_log(log_level::debug, "http", "hidden");
    write_log(log_level::info, "http", "seen",
        {{"Authorization", "Bearer abc"}, {"key_secret", "abc"}});
    auto lines = read();
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_EQ(lines[0].dump().find("abc"), std::string::npos);
    EXPECT_FALSE(is_log_enabled(log_level::debug, "http"));
}

// Guards against a process that starts without a log because of a misspelt
// level or a file that cannot be opened.
TEST(log, unknown_levels_and_unusable_files_are_refused)
{
    EXPECT_THROW(configure_log("loud", ""), platform_error);
    EXPECT_THROW(configure_log("info", "/no/such/folder/x"), platform_error);
}

} // namespace cowslippass
