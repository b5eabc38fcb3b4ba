#include "main/entryd/entry_settings.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace cowslippass
{

namespace
{

class entry_settings_test : public testing::Test
{
protected:
    entry_settings load(const std::string& text)
    {
        std::ofstream(path) << text;
        return load_entry_settings(path);
    }

    std::string get_error(const std::string& text)
    {
        try
        {
            load(text);
        }
        catch (const platform_error& e)
        {
            return e.what();
        }
        return {};
    }

    void TearDown() override { std::filesystem::remove(path); }

    std::string path =
        testing::TempDir() + "entry_settings_" +
        testing::UnitTest::GetInstance()->current_test_info()->name() + ".toml";
    std::string required_settings = "entry = \"e\"\ndata_centre = \"z\"\n"
                                    "front_listen = \"127.0.0.1:1\"\n"
                                    "readiness_listen = \"127.0.0.1:2\"\n"
                                    "peer_listen = \"127.0.0.1:3\"\n"
                                    "metrics_listen = \"127.0.0.1:4\"\n"
                                    "store = \"127.0.0.1:5\"\n";
};

} // namespace

// Guards against settings that are read into the wrong member or in the wrong
// unit.
TEST_F(entry_settings_test, reads_a_whole_file)
{
    auto it = load(
        required_settings + "stop_grace_s = 1.5\nkey_withdrawal_ms = 5000\n");
    EXPECT_EQ(it.entry, entry_id("e"));
    EXPECT_EQ(it.store.port(), 5);
    EXPECT_EQ(it.stop_grace, milliseconds(1'500));
    EXPECT_EQ(it.key_withdrawal, milliseconds(5'000));
    EXPECT_EQ(it.machines.port(), 0);
}

// Guards against a check that stops at the first error, so that an operator
// finds each further error only at the next start.
TEST_F(entry_settings_test, reports_every_fault_with_its_line)
{
    std::string errors =
        get_error("entry = \"\"\nstore = \"x\"\nodd = 1\nstop_grace_s = 0\n");
    EXPECT_NE(errors.find(":1: 'entry' must be a text"), std::string::npos);
    EXPECT_NE(errors.find(":2: 'store' must be IP:port"), std::string::npos);
    EXPECT_NE(errors.find(":3: 'odd' is not a setting"), std::string::npos);
    EXPECT_NE(errors.find(":4: 'stop_grace_s' must be"), std::string::npos);
    EXPECT_NE(errors.find("'peer_listen' is required"), std::string::npos);
}

// Guards against a syntax error without its line, and against a missing file
// that is taken for an empty one.
TEST_F(entry_settings_test, reports_the_line_of_a_syntax_error)
{
    EXPECT_NE(get_error("entry = \n").find(":1: "), std::string::npos);
    EXPECT_THROW(load_entry_settings("/does/not/exist"), platform_error);
}

// Guards against a deployment whose form of orders or store is not served: jobs
// would be accepted and never run.
TEST_F(entry_settings_test, refuses_forms_that_are_not_served)
{
    EXPECT_EQ(load(required_settings + "orders = \"rpc\"\n").orders, "rpc");
    std::string text = get_error(required_settings + "orders = \"heartbeat\"\n"
                                                     "store_form = \"x\"\n");
    EXPECT_NE(text.find("'orders' must be rpc"), std::string::npos);
    EXPECT_NE(text.find("'store_form' must be table"), std::string::npos);
}

// Guards against rows that exceed the limit of the deployment's store, or that
// are too small for the progress of a single task.
TEST_F(entry_settings_test, reads_the_store_limit_on_rows)
{
    EXPECT_EQ(load(required_settings).store_row_bytes, 65'536U);
    EXPECT_EQ(
        load(required_settings + "store_row_bytes = 8192\n").store_row_bytes,
        8'192U);
    for (const char* value : {"4095", "-1", "65536.5", "\"65536\""})
        EXPECT_NE(get_error(required_settings + "store_row_bytes = " + value)
                      .find("'store_row_bytes' must be a whole number"),
            std::string::npos)
            << value;
}

// Guards against bounds on callers that are read into the wrong member, and
// against ones with which nobody is served.
TEST_F(entry_settings_test, reads_the_bounds_on_callers)
{
    auto it = load(required_settings + "memory_mb = 260\n"
                                       "max_descriptors = 4100\n"
                                       "max_body_bytes = 8192\n"
                                       "message_time_ms = 2500\n");
    EXPECT_EQ(it.memory_mb, 260u);
    EXPECT_EQ(it.max_descriptors, 4'100u);
    EXPECT_EQ(it.max_body_bytes, 8'192u);
    EXPECT_EQ(it.message_time, milliseconds(2'500));
    EXPECT_NE(get_error(required_settings + "memory_mb = 15\n"), "");
    EXPECT_NE(get_error(required_settings + "max_descriptors = 63\n"), "");
    EXPECT_NE(get_error(required_settings + "max_body_bytes = 4095\n"), "");
    EXPECT_NE(get_error(required_settings +
                        "memory_mb = 64\nmax_body_bytes = 4194305\n"),
        "");
}

} // namespace cowslippass
