#include "systems/command_parser.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace cowslippass
{

namespace
{

/// The page of this source tree, found from this file's own place in it.
std::string get_page_path()
{
    std::string path = __FILE__;
    return path.substr(0, path.rfind("tests/systems/")) + "docs/operations.md";
}

std::vector<std::string> read_examples()
{
    std::ifstream in(get_page_path());
    std::vector<std::string> out;
    bool is_inside = false;
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("```"))
        {
            is_inside = line == "```command";
            if (is_inside)
                out.emplace_back();
        }
        else if (is_inside)
            out.back() += line + '\n';
    }
    return out;
}

/// @return which alternative of the language the statement is.
std::size_t get_kind(const command& it)
{
    if (const auto* change = std::get_if<change_command>(&it))
        return change->index();
    return std::variant_size_v<change_command> + it.index();
}

} // namespace

// Guards against a page that shows what the parser refuses, and against a new
// statement without an example.
TEST(operations_page, every_example_parses_and_every_statement_has_one)
{
    std::set<std::size_t> kinds;
    std::set<instance_change> changes;
    for (const std::string& it : read_examples())
    {
        try
        {
            command parsed = parse_command(it);
            kinds.insert(get_kind(parsed));
            if (const auto* change = std::get_if<change_command>(&parsed))
                if (const auto* one =
                        std::get_if<change_instance_command>(change))
                    changes.insert(one->change);
        }
        catch (const command_syntax_error& e)
        {
            ADD_FAILURE() << it << e.what();
        }
    }
    // Changes, and one kind each of cancellations and queries.
    EXPECT_EQ(kinds.size(), std::variant_size_v<change_command> + 2);
    EXPECT_EQ(changes.size(), 4u);
}

} // namespace cowslippass
