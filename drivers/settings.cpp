#include "drivers/settings.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/settings_table.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <toml++/toml.h>

namespace cowslippass
{

namespace
{

/// @return the Levenshtein distance: the number of insertions, deletions and
///   replacements that turn `a` into `b`.
std::size_t get_edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> costs(b.size() + 1);
    std::iota(costs.begin(), costs.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        std::size_t diagonal = costs[0];
        costs[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j)
        {
            std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = costs[j + 1];
            costs[j + 1] = std::min({replaced, costs[j] + 1, costs[j + 1] + 1});
        }
    }
    return costs.back();
}

std::string_view find_nearest_name(std::string_view name)
{
    auto all = get_setting_descriptions();
    return std::ranges::min_element(all, {},
        [&](const setting_description& it)
        { return get_edit_distance(name, it.name); })
        ->name;
}

/// Fills `settings` from a parsed file and collects every error.
class settings_reader
{
public:
    settings_reader(std::string path, const toml::table& table)
        : path_(std::move(path)), table_(table)
    {
    }

    settings read()
    {
        report_unknown_names();
        for (const setting_description& it : get_setting_descriptions())
            read_member(it);
        for (const setting_relation& it : get_setting_relations())
            check_relation(it);
        if (!errors_.empty())
            throw platform_error("bad_settings", join_errors());
        return out_;
    }

private:
    void report_unknown_names()
    {
        for (const auto& it : table_)
        {
            std::string_view name = it.first.str();
            std::string_view nearest = find_nearest_name(name);
            if (name != nearest)
                add_error(name, "unknown name; the nearest known one is " +
                                    std::string(nearest));
        }
    }

    void read_member(const setting_description& it)
    {
        const toml::node* node = table_.get(it.name);
        if (!node && it.is_required)
            add_error(it.name, "required; must be " + std::string(it.allowed));
        if (!node)
            return;
        bool is_read = std::visit([&](auto member)
            { return read_value(it, *node, out_.*member); },
            it.member);
        if (is_read)
            return;
        invalid_names_.insert(it.name);
        add_error(it.name, "must be " + std::string(it.allowed));
    }

    bool read_value(const setting_description& it, const toml::node& node,
        std::string& value)
    {
        auto text = node.value_exact<std::string>();
        if (!text || (it.is_allowed && !it.is_allowed(*text)))
            return false;
        value = *text;
        return true;
    }

    template <class Tag>
    bool read_value(const setting_description& it, const toml::node& node,
        strong_id<Tag, std::string>& value)
    {
        std::string text;
        if (!read_value(it, node, text))
            return false;
        value = strong_id<Tag, std::string>(text);
        return true;
    }

    bool read_value(const setting_description& it, const toml::node& node,
        tcp::endpoint& value)
    try
    {
        auto text = node.value_exact<std::string>();
        if (!text)
            return false;
        value = parse_endpoint(*text);
        return value.port() >= it.lowest;
    }
    catch (const platform_error&)
    {
        return false;
    }

    bool read_value(const setting_description& it, const toml::node& node,
        std::int64_t& value)
    {
        auto number = node.value_exact<std::int64_t>();
        if (!number || *number < it.lowest || *number > it.highest)
            return false;
        value = *number;
        return true;
    }

    bool read_value(const setting_description& it, const toml::node& node,
        std::size_t& value)
    {
        std::int64_t number = 0;
        if (!read_value(it, node, number))
            return false;
        value = static_cast<std::size_t>(number);
        return true;
    }

    bool read_value(const setting_description& it, const toml::node& node,
        milliseconds& value)
    {
        std::int64_t number = 0;
        if (!read_value(it, node, number))
            return false;
        value = milliseconds(number);
        return true;
    }

    /// Skips a relation whose own setting is invalid: `out_` then holds its
    /// default, for which the relation says nothing about the file.
    void check_relation(const setting_relation& it)
    {
        if (!invalid_names_.contains(it.name) && !it.holds(out_))
            add_error(it.name, "must be " + std::string(it.allowed));
    }

    void add_error(std::string_view name, const std::string& what)
    {
        const toml::node* node = table_.get(name);
        auto line = node ? node->source().begin.line : 1;
        errors_.emplace_back(line, std::string(name) + ": " + what);
    }

    std::string join_errors()
    {
        std::ranges::stable_sort(
            errors_, {}, &std::pair<toml::source_index, std::string>::first);
        std::string out;
        for (const auto& [line, what] : errors_)
        {
            if (!out.empty())
                out += '\n';
            out += path_ + ':' + std::to_string(line) + ": " + what;
        }
        return out;
    }

    std::string path_;
    const toml::table& table_;
    settings out_;
    std::set<std::string_view> invalid_names_;
    std::vector<std::pair<toml::source_index, std::string>> errors_;
};

} // namespace

settings load_settings(const std::string& path)
try
{
    toml::table table = toml::parse_file(path);
    return settings_reader(path, table).read();
}
catch (const toml::parse_error& e)
{
    auto line = std::max<toml::source_index>(1, e.source().begin.line);
    throw platform_error("bad_settings", path + ':' + std::to_string(line) +
                                             ": " +
                                             std::string(e.description()));
}

} // namespace cowslippass
