#include "systems/command_parser.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace cowslippass
{

namespace
{

std::vector<std::string> read_examples()
{
    std::ifstream in(SOURCE_DIR "/docs/OPERATIONS.md");
    std::vector<std::string> out;
    bool is_inside = false;
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("```"))
        {
            is_inside = line.starts_with("```command");
            if (is_inside)
                out.emplace_back();
        }
        else if (is_inside)
            out.back() += line + '\n';
    }
    return out;
}

} // namespace

// Guards against a page that shows what the parser refuses, and against a new
// statement without an example.
TEST(operations_page, every_example_parses_and_every_statement_has_one)
{
    std::set<std::size_t> kinds;
    std::set<std::size_t> changes;
    std::set<std::string> verbs;
    for (const std::string& it : read_examples())
    {
        SCOPED_TRACE(it);
        command parsed;
        ASSERT_NO_THROW(parsed = parse_command(it));
        kinds.insert(parsed.index());
        if (const auto* change = std::get_if<change_command>(&parsed))
            changes.insert(change->index());
        verbs.insert(it.substr(0, it.find(' ')));
    }
    EXPECT_EQ(kinds.size(), std::variant_size_v<command>);
    EXPECT_EQ(changes.size(), std::variant_size_v<change_command>);
    EXPECT_EQ(verbs.size(), 14u);
}

} // namespace cowslippass
