#include "main/entryd/entry_settings.hpp"

#include "drivers/endpoint.hpp"

#include <array>
#include <span>
#include <toml++/toml.h>
#include <variant>

namespace cowslippass
{

namespace
{

/// Pointer to a member of the settings.
using member =
    std::variant<entry_id entry_settings::*, data_centre_id entry_settings::*,
        tcp::endpoint entry_settings::*, std::string entry_settings::*,
        milliseconds entry_settings::*, double entry_settings::*,
        std::size_t entry_settings::*, bool entry_settings::*>;

/// One setting: its key in the file and the rule for its value.
struct setting_description
{
    std::string_view name; ///< Names of durations end in `_ms` or `_s`.
    member value;
    bool is_required;
    std::string_view allowed_values; ///< Completes "must be ...".
    /// For a text: the words that it may be.
    std::span<const std::string_view> words = {};
    /// For a whole number: the least and the greatest value.
    std::int64_t min_value = 0;
    std::int64_t max_value = 0;
};

constexpr std::array<std::string_view, 4> log_levels{
    "debug", "info", "warn", "error"};
/// The only forms of the platform that this daemon serves.
constexpr std::array<std::string_view, 1> orders_forms{"rpc"};
constexpr std::array<std::string_view, 1> store_forms{"table"};

constexpr std::string_view text_rule = "a text that is not empty";
constexpr std::string_view address_rule = "IP:port";
constexpr std::string_view number_rule = "a number above 0 and up to 10000";
constexpr std::string_view time_rule = "a number above 0 and up to 3600000";
/// The smallest rows hold the progress of a few tasks.
constexpr std::int64_t min_row_bytes = 4'096;
constexpr std::int64_t max_row_bytes = 1'000'000'000;
constexpr std::string_view row_size_rule =
    "a whole number from 4096 to 1000000000";
/// Requests and responses hold an eighth of the memory at most; the largest
/// body fits into that beside others.
constexpr std::size_t body_memory_divisor = 16;
constexpr std::size_t mebibyte = 1024 * 1024;
constexpr std::string_view memory_rule = "a whole number from 16 to 1048576";
constexpr std::string_view descriptors_rule =
    "a whole number from 64 to 1048576";
constexpr std::string_view body_size_rule =
    "a whole number from 4096 to 16777216";
constexpr std::string_view switch_rule = "true or false";

const auto& get_descriptions()
{
    using s = entry_settings;
    static const std::array all{
        setting_description{"entry", &s::entry, true, text_rule},
        setting_description{"data_centre", &s::data_centre, true, text_rule},
        setting_description{
            "front_listen", &s::front_listen, true, address_rule},
        setting_description{
            "readiness_listen", &s::readiness_listen, true, address_rule},
        setting_description{"peer_listen", &s::peer_listen, true, address_rule},
        setting_description{
            "metrics_listen", &s::metrics_listen, true, address_rule},
        setting_description{"store", &s::store, true, address_rule},
        setting_description{"machines", &s::machines, false, address_rule},
        setting_description{"log_level", &s::log_level, false,
            "debug, info, warn or error", log_levels},
        setting_description{"orders", &s::orders, false,
            "rpc; other ways to give orders to targets are not served",
            orders_forms},
        setting_description{"store_form", &s::store_form, false,
            "table; other forms of the store are not served", store_forms},
        setting_description{"store_row_bytes", &s::store_row_bytes, false,
            row_size_rule, {}, min_row_bytes, max_row_bytes},
        setting_description{
            "memory_mb", &s::memory_mb, false, memory_rule, {}, 16, 1'048'576},
        setting_description{"max_descriptors", &s::max_descriptors, false,
            descriptors_rule, {}, 64, 1'048'576},
        setting_description{"max_body_bytes", &s::max_body_bytes, false,
            body_size_rule, {}, 4'096, 16'777'216},
        setting_description{
            "message_time_ms", &s::message_time, false, time_rule},
        setting_description{
            "processor_share", &s::processor_share, false, number_rule},
        setting_description{"instance_orders_per_s", &s::instance_orders_per_s,
            false, number_rule},
        setting_description{
            "key_withdrawal_ms", &s::key_withdrawal, false, time_rule},
        setting_description{
            "lease_limit_ms", &s::lease_limit, false, time_rule},
        setting_description{"stop_grace_s", &s::stop_grace, false, time_rule},
        setting_description{"status_time_s", &s::status_time, false, time_rule},
        setting_description{"move_time_s", &s::move_time, false, time_rule},
        setting_description{
            "maintenance_time_s", &s::maintenance_time, false, time_rule},
        setting_description{
            "notice_time_ms", &s::notice_time, false, time_rule},
        setting_description{"gang_wait_ms", &s::gang_wait, false, time_rule},
        setting_description{
            "learn_run_times", &s::learn_run_times, false, switch_rule},
        setting_description{
            "shed_overload", &s::shed_overload, false, switch_rule},
        setting_description{
            "refuse_overload", &s::refuse_overload, false, switch_rule},
        setting_description{
            "pack_by_shape", &s::pack_by_shape, false, switch_rule},
        setting_description{
            "judge_targets", &s::judge_targets, false, switch_rule},
        setting_description{
            "refuse_in_outage", &s::refuse_in_outage, false, switch_rule},
    };
    return all;
}

/// Reads the settings from a parsed TOML file and collects all errors.
class settings_reader
{
public:
    settings_reader(std::string path, const toml::table& table)
        : path_(std::move(path)), table_(table)
    {
    }

    /// @throws platform_error (`bad_settings`) with one line for each error.
    entry_settings read()
    {
        for (const auto& entry : table_)
        {
            std::string_view name = entry.first.str();
            if (std::ranges::none_of(get_descriptions(),
                    [&](const setting_description& it)
                    { return it.name == name; }))
                add_error(name, entry.second, "is not a setting");
        }
        for (const setting_description& it : get_descriptions())
            read_member(it);
        if (out_.memory_mb != 0 && out_.max_body_bytes * body_memory_divisor >
                                       out_.memory_mb * mebibyte)
            add_error("max_body_bytes", table_,
                "must be at most a sixteenth of memory_mb");
        if (!errors_.empty())
            throw platform_error("bad_settings", errors_);
        return out_;
    }

private:
    /// Reads one setting, or reports that it is missing or not valid.
    void read_member(const setting_description& it)
    {
        const toml::node* node = table_.get(it.name);
        if (!node)
        {
            if (it.is_required)
                add_error(it.name, table_,
                    "is required; it must be " +
                        std::string(it.allowed_values));
            return;
        }
        bool is_read = std::visit(
            [&](auto at) { return read_value(it, *node, out_.*at); }, it.value);
        if (!is_read)
            add_error(
                it.name, *node, "must be " + std::string(it.allowed_values));
    }

    // Each overload of read_value() returns whether the value is valid.

    template <class Tag>
    bool read_value(const setting_description&, const toml::node& node,
        strong_id<Tag, std::string>& value)
    {
        auto text = node.value_exact<std::string>();
        if (!text || text->empty())
            return false;
        value = strong_id<Tag, std::string>(*text);
        return true;
    }

    bool read_value(const setting_description& it, const toml::node& node,
        std::string& value)
    {
        auto text = node.value_exact<std::string>();
        if (!text || std::ranges::find(it.words, *text) == it.words.end())
            return false;
        value = *text;
        return true;
    }

    bool read_value(const setting_description&, const toml::node& node,
        tcp::endpoint& value)
    {
        auto text = node.value_exact<std::string>();
        if (!text)
            return false;
        try
        {
            value = parse_endpoint(*text);
            return true;
        }
        catch (const platform_error&)
        {
            // The caller reports the error with its line.
            return false;
        }
    }

    bool read_value(const setting_description& it, const toml::node& node,
        milliseconds& value)
    {
        // The deployment states some times in seconds, with fractions.
        double unit = it.name.ends_with("_ms") ? 1.0 : 1'000.0;
        auto number = node.value<double>();
        if (!number || *number <= 0 || *number > 3'600'000)
            return false;
        value = milliseconds(static_cast<std::int64_t>(*number * unit));
        return true;
    }

    bool read_value(
        const setting_description&, const toml::node& node, double& value)
    {
        auto number = node.value<double>();
        if (!number || *number <= 0 || *number > 10'000)
            return false;
        value = *number;
        return true;
    }

    bool read_value(const setting_description& it, const toml::node& node,
        std::size_t& value)
    {
        auto number = node.value_exact<std::int64_t>();
        if (!number || *number < it.min_value || *number > it.max_value)
            return false;
        value = static_cast<std::size_t>(*number);
        return true;
    }

    bool read_value(
        const setting_description&, const toml::node& node, bool& value)
    {
        auto read = node.value_exact<bool>();
        if (read)
            value = *read;
        return read.has_value();
    }

    void add_error(std::string_view name, const toml::node& node,
        const std::string& message)
    {
        if (!errors_.empty())
            errors_ += '\n';
        errors_ += path_ + ':' + std::to_string(node.source().begin.line) +
                   ": '" + std::string(name) + "' " + message;
    }

    std::string path_;
    const toml::table& table_;
    entry_settings out_;
    std::string errors_;
};

} // namespace

entry_settings load_entry_settings(const std::string& path)
{
    toml::table table;
    try
    {
        table = toml::parse_file(path);
    }
    catch (const toml::parse_error& e)
    {
        throw platform_error(
            "bad_settings", path + ':' + std::to_string(e.source().begin.line) +
                                ": " + std::string(e.description()));
    }
    return settings_reader(path, table).read();
}

} // namespace cowslippass
