#include "tests/integration/test_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace cowslippass
{

namespace
{

struct page_example
{
    std::string text;
    std::string kind;   ///< Of its code block, as `sh` or `command refused`.
    std::string before; ///< The last line of text above it.
};

std::vector<page_example> read_examples()
{
    std::ifstream in(SOURCE_DIR "/docs/OPERATIONS.md");
    std::vector<page_example> out;
    std::string before;
    bool is_inside = false;
    for (std::string line; std::getline(in, line);)
    {
        line.erase(0, line.find_first_not_of(' '));
        if (line.starts_with("```") && !is_inside)
            out.push_back({"", line.substr(3), before});
        else if (is_inside && line != "```")
            out.back().text += line + '\n';
        else if (!line.empty())
            before = line;
        is_inside = line.starts_with("```") ? !is_inside : is_inside;
    }
    return out;
}

/// Runs the page's examples in a shell whose folder has `entry.log`.
class page_shell
{
public:
    page_shell()
    {
        cluster_options options;
        options.first_data_centre = "north";
        options.bootstrap_secret = "page-secret";
        fleet_ = std::make_unique<cluster>(options);
        path_ = directory_.get_path().string();
    }

    cluster_entry& get_entry() { return fleet_->get_entries().front(); }

    /// @return the exit status.
    int run(const page_example& example)
    {
        std::string text = example.text;
        // The page shows an address that no test may use.
        std::string target =
            format_endpoint(fleet_->get_targets().front().get_endpoint());
        text = std::regex_replace(
            text, std::regex("10\\.0\\.4\\.17:8080"), target);
        std::ofstream(path_ + "/entry.log")
            << get_entry().process->get_errors(10'000'000);
        std::ofstream(path_ + "/settings.toml")
            << "entry = \"e\"\ndata_centre = \"north\"\n"
               "http_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n"
               "platform = \"127.0.0.1:1\"\n";
        std::ofstream script(path_ + "/example.sh");
        script << "set -e\ncd " << path_ << "\nPATH=" PROGRAM_DIR ":$PATH\n"
               << "SETTINGS=settings.toml BOOTSTRAP=page-secret ENTRY="
               << format_endpoint(get_entry().get_http_endpoint())
               << "\nexport COWSLIPPASS_KEY=" << key_ << '\n';
        if (example.kind.starts_with("command"))
            script << "cowslippass --entry=\"$ENTRY\" '" << text << "'\n";
        else
            script << text;
        script.close();
        std::string line =
            "sh " + path_ + "/example.sh > " + path_ + "/output 2>&1";
        int status = std::system(line.c_str());
        std::stringstream buf;
        buf << std::ifstream(path_ + "/output").rdbuf();
        output = buf.str();
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    /// Takes the secret of the answer as the operator's.
    void take_key()
    {
        std::smatch found;
        std::regex secret("secret +([0-9a-f]+)");
        if (std::regex_search(output, found, secret))
            key_ = found[1];
    }

    std::string output; ///< Of the last example.

private:
    std::unique_ptr<cluster> fleet_;
    temp_directory directory_;
    std::string path_;
    std::string key_ = "none";
};

} // namespace

// Guards against a page whose examples a fleet answers otherwise than the page
// says, alone or after those before them.
TEST(operations_page, every_example_ends_as_the_page_says)
{
    page_shell shell;
    auto examples = read_examples();
    ASSERT_GE(examples.size(), 40u);
    for (const auto& it : examples)
    {
        SCOPED_TRACE(it.text);
        if (it.text.find("preview-1") != std::string::npos)
            fetch(shell.get_entry().get_http_endpoint(),
                {"POST", "/v1/queues/samples/requests", {},
                    {{"Request-Id", "preview-1"}, {"Deadline-Ms", "300"}}, ""});
        int status = shell.run(it);
        EXPECT_EQ(status, it.kind == "command refused" ? 1 : 0) << shell.output;
        if (status == 0 && it.text.find("$BOOTSTRAP") != std::string::npos)
            shell.take_key();
        if (it.kind != "command refused")
            continue;
        std::smatch code;
        std::regex refused("refused \\((\\w+)\\)");
        ASSERT_TRUE(std::regex_search(shell.output, code, refused));
        EXPECT_NE(it.before.find('`' + code[1].str() + '`'), std::string::npos)
            << shell.output;
    }
}

} // namespace cowslippass
