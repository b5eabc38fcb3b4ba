#include "drivers/settings.hpp"
#include "drivers/settings_table.hpp"

#include <fstream>
#include <gmock/gmock.h>
#include <sstream>

namespace cowslippass
{

namespace
{

using testing::HasSubstr;

constexpr const char* required = "entry = \"e1\"\n"
                                 "data_centre = \"dc1\"\n"
                                 "http_listen = \"127.0.0.1:0\"\n"
                                 "peer_listen = \"[::1]:7000\"\n"
                                 "platform = \"127.0.0.1:9000\"\n";

/// Writes `text` to a file and loads it as settings.
settings load_text(const std::string& text)
{
    std::string path = testing::TempDir() + "cowslippass_settings_" +
                       std::to_string(getpid()) + ".toml";
    std::ofstream(path) << text;
    return load_settings(path);
}

/// @return the error messages of invalid settings; empty for valid ones.
std::string get_settings_errors(const std::string& text)
{
    try
    {
        load_text(text);
    }
    catch (const platform_error& e)
    {
        EXPECT_EQ(e.get_code(), "bad_settings");
        return e.what();
    }
    return "";
}

} // namespace

// Guards against values that are read into the wrong member, and against wrong
// defaults for settings that the file leaves out.
TEST(settings, values_and_defaults_are_read)
{
    settings it = load_text(std::string(required) +
                            "freshness_limit_ms = 3000\nlog_level = \"warn\"");
    EXPECT_EQ(it.entry, entry_id("e1"));
    EXPECT_EQ(it.peer_listen.port(), 7000);
    EXPECT_EQ(it.freshness_limit, milliseconds(3000));
    EXPECT_EQ(it.task_lease, milliseconds(10'000));
    EXPECT_EQ(it.log_level, "warn");
}

// Guards against validation that stops at the first error, so that an operator
// has to restart the daemon once for each error.
TEST(settings, every_error_is_reported_with_its_line)
{
    std::string errors = get_settings_errors("entry = 5\n"
                                             "data_center = \"dc1\"\n"
                                             "http_listen = \"localhost:80\"\n"
                                             "platform = \"127.0.0.1:0\"\n"
                                             "task_lease_ms = 2999\n"
                                             "max_body_bytes = 1.5\n");
    EXPECT_THAT(errors, HasSubstr(".toml:1: entry: must be 1 to 64"));
    EXPECT_THAT(errors, HasSubstr(":2: data_center: unknown name; the nearest "
                                  "known one is data_centre"));
    EXPECT_THAT(errors, HasSubstr(":1: data_centre: required"));
    EXPECT_THAT(errors, HasSubstr(":1: peer_listen: required"));
    EXPECT_THAT(errors, HasSubstr(":3: http_listen: must be IP:port"));
    EXPECT_THAT(errors, HasSubstr(":4: platform: must be IP:port"));
    EXPECT_THAT(errors, HasSubstr(":5: task_lease_ms: must be 3000"));
    EXPECT_THAT(errors, HasSubstr(":6: max_body_bytes: must be 1 to"));
    EXPECT_EQ(std::ranges::count(errors, '\n'), 7);
}

// Guards against heartbeats too rare to keep a live session, and against start
// deadlines that exceed the freshness limit.
TEST(settings, relations_between_settings_are_checked)
{
    std::string errors = get_settings_errors(std::string(required) +
                                             "heartbeat_interval_ms = 3001\n"
                                             "session_death_ms = 9000\n"
                                             "start_deadline_ms = 4001\n");
    EXPECT_THAT(errors, HasSubstr(":6: heartbeat_interval_ms: must be"));
    EXPECT_THAT(errors, HasSubstr(":8: start_deadline_ms: must be"));
    EXPECT_EQ(get_settings_errors(std::string(required) +
                                  "heartbeat_interval_ms = 3000\n"
                                  "session_death_ms = 9000\n"),
        "");
}

// Guards against settings with which a dead session's tasks outlive its grants:
// the released grants are used again, and a team exceeds its limit (I4).
TEST(settings, times_longer_than_the_grant_release_delay_assumes_are_rejected)
{
    for (const char* line : {"freshness_limit_ms = 4001",
             "start_deadline_ms = 2001", "task_lease_ms = 10001"})
        EXPECT_THAT(get_settings_errors(std::string(required) + line),
            HasSubstr(std::string(line).substr(0, 10)))
            << line;
}

// Guards against a syntax error or a missing file that is reported without its
// position or taken for empty settings.
TEST(settings, text_that_is_not_toml_is_reported_with_its_line)
{
    EXPECT_THAT(get_settings_errors("entry = \"e1\"\nentry = \"e2\"\n"),
        HasSubstr(".toml:2: "));
    EXPECT_THROW(load_settings("/no/such/file"), platform_error);
}

// Guards against a configuration page that is out of date. The page contains
// the output of format_settings_tables() word for word.
TEST(settings, the_configuration_page_lists_every_setting)
{
    std::ifstream file(SOURCE_DIR "/docs/configuration.md");
    std::stringstream page;
    page << file.rdbuf();
    EXPECT_THAT(page.str(), HasSubstr(format_settings_tables()));
    for (const setting_description& it : get_setting_descriptions())
        EXPECT_THAT(
            page.str(), HasSubstr("| `" + std::string(it.name) + "` |"));
}

} // namespace cowslippass
