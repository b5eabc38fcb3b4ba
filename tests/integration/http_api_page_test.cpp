#include "tests/integration/test_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cowslippass
{

namespace
{

/// @return the blocks marked ```sh of the page.
std::vector<std::string> read_examples(const std::string& path)
{
    std::ifstream in(path);
    std::vector<std::string> out;
    std::string line;
    bool is_inside = false;
    while (std::getline(in, line))
    {
        if (line == "```sh")
        {
            is_inside = true;
            out.emplace_back();
        }
        else if (line == "```")
            is_inside = false;
        else if (is_inside)
            out.back() += line + "\n";
    }
    return out;
}

} // namespace

// Guards against a page that shows callers commands which do not work.
TEST(http_api_page, every_example_succeeds)
{
    cluster_options options;
    options.targets_per_pool = 2;
    test_fleet fleet(options);
    auto examples = read_examples(SOURCE_DIR "/docs/http-api.md");
    ASSERT_GE(examples.size(), 4u);
    std::string entry = format_endpoint(
        fleet.get_cluster().get_entries().front().get_http_endpoint());
    for (const auto& it : examples)
    {
        std::string script = "set -e; ENTRY='" + entry + "' KEY='" +
                             fleet.get_key("red") + "'\n" + it;
        // --fail turns an error status into an exit status.
        auto at = script.find("curl -sS");
        ASSERT_NE(at, std::string::npos) << it;
        script.replace(at, 8, "curl -sS --fail --max-time 20");
        temp_directory directory;
        std::string path = (directory.get_path() / "example.sh").string();
        std::ofstream(path) << script;
        std::string command = "sh " + path + " > /dev/null";
        EXPECT_EQ(std::system(command.c_str()), 0) << it;
    }
}

} // namespace cowslippass
