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

/// One field of a line; converts from text, numbers and strong ids.
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

/// Stands for standard output in place of a file.
inline constexpr const char* log_to_output = "-";

/// Sends all lines at or above `level` to one place, each as one flat JSON
/// object with `time` (UTC), `level`, `logger`, `message` and the fields. A
/// later call replaces the former set-up.
/// @param level `debug`, `info`, `warn` or `error`.
/// @param file appended to; empty means standard error, `log_to_output`
///   standard output.
/// @throws platform_error (`bad_log_level`, `log_file`).
void configure_log(const std::string& level, const std::string& file);

/// Writes a line. The value of a field whose name tells of a secret
/// (`secret`, `authorization`, `password`, `token`, `bearer`) is left out;
/// digests of secrets too. Fields cannot replace the four fixed members.
/// @param logger name of the part that writes, as `peer_link`.
void write_log(log_level level, const std::string& logger,
    const std::string& message, const log_fields& fields = {});

/// @return whether a line of this level would be written.
bool is_log_enabled(log_level level, const std::string& logger);

/// Writes one line for each routing or placement decision.
class decision_log
{
public:
    /// @param system name of the deciding system, as `placement`.
    explicit decision_log(std::string system);

    /// @param decision what was decided, as `start` or `forward`.
    /// @param rule the rule that decided.
    /// @param fields subject, candidates and figures of the decision.
    void write(std::string_view decision, std::string_view rule,
        const log_fields& fields = {}) const;

private:
    std::string logger_;
};

} // namespace cowslippass
