#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace cowslippass
{

using log_value = std::variant<std::string, std::int64_t, double, bool>;

/// One field of a log line; converts implicitly from strings, numbers, booleans
/// and strong ids.
class log_field
{
public:
    template <class Value>
    log_field(std::string_view name, const Value& value)
        : name_(name), value_(convert(value))
    {
    }

    const std::string& get_name() const { return name_; }
    const log_value& get_value() const { return value_; }

private:
    template <class Value>
    static log_value convert(const Value& value)
    {
        if constexpr (std::is_same_v<Value, bool>)
            return value;
        else if constexpr (std::is_integral_v<Value>)
            return static_cast<std::int64_t>(value);
        else if constexpr (std::is_floating_point_v<Value>)
            return static_cast<double>(value);
        else if constexpr (requires { value.get(); })
            return convert(value.get());
        else
            return std::string(value);
    }

    std::string name_;
    log_value value_;
};

using log_fields = std::vector<log_field>;

enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// Value of `file` that selects standard output.
inline constexpr const char* log_to_stdout = "-";

/// Writes all lines at or above `level` to one destination, each as a flat JSON
/// object with `time` (UTC), `level`, `logger`, `message` and the fields. A
/// later call replaces the configuration.
/// @param level `debug`, `info`, `warn` or `error`.
/// @param file path that lines are appended to; empty for standard error,
///   `log_to_stdout` for standard output.
/// @throws platform_error (`bad_log_level`, `log_file`).
void configure_log(const std::string& level, const std::string& file);

/// Writes a line. The value of a field is redacted if the field's name contains
/// `secret`, `authorization`, `password`, `token` or `bearer` in any case; this
/// covers digests of secrets too. Fields cannot replace the four fixed members.
/// @param logger name of the component that logs, such as `peer_link`.
void write_log(log_level level, const std::string& logger,
    const std::string& message, const log_fields& fields = {});

/// @return whether this logger would write a line of this level.
bool is_log_enabled(log_level level, const std::string& logger);

/// Logs scheduling decisions, one line each, at level `info`.
class decision_log
{
public:
    /// @param system name of the system that decides, such as `placement`.
    explicit decision_log(std::string system);

    /// @param decision what was decided, such as `start` or `forward`.
    /// @param rule the rule that led to the decision.
    /// @param fields subject, candidates and input values of the decision.
    void write(std::string_view decision, std::string_view rule,
        const log_fields& fields = {}) const;

private:
    std::string logger_;
};

} // namespace cowslippass
