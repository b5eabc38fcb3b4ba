#pragma once

#include "drivers/settings.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace cowslippass
{

using setting_member = std::variant<entry_id settings::*,
    data_centre_id settings::*, tcp::endpoint settings::*,
    std::string settings::*, std::size_t settings::*, milliseconds settings::*>;

/// One setting of the file. The parser, the validation and the tables in
/// docs/configuration.md are all derived from the list of descriptions.
struct setting_description
{
    std::string_view name; ///< Key in the file; durations end in `_ms`.
    setting_member member;
    bool is_required = false;
    std::string_view unit;    ///< Empty for text.
    std::string_view allowed; ///< Completes "must be ...".
    std::string_view meaning;
    std::int64_t lowest = 0; ///< For numbers and ports of addresses.
    std::int64_t highest = 0;
    /// Validates a text; null when every text is allowed.
    bool (*is_allowed)(std::string_view text) = nullptr;
};

/// A constraint over several settings.
struct setting_relation
{
    std::string_view name;    ///< The setting that the error is reported for.
    std::string_view allowed; ///< Completes "must be ...".
    bool (*holds)(const settings& all);
};

std::span<const setting_description> get_setting_descriptions();
std::span<const setting_relation> get_setting_relations();

/// @return the default value as TOML text; `required` when there is none.
std::string format_default(const setting_description& description);

/// @return the Markdown tables of settings and relations that
///   docs/configuration.md contains.
std::string format_settings_tables();

} // namespace cowslippass
