#include "drivers/log.hpp"

#include "core/errors.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::ordered_json;

/// Fields of the line that this thread is writing. Appenders format a line
/// within the call that logs it, so the layout can read them here.
thread_local const log_fields* current_fields = nullptr;

/// Sets `current_fields` for the duration of one log call.
class current_fields_scope
{
public:
    explicit current_fields_scope(const log_fields& fields)
    {
        current_fields = &fields;
    }
    ~current_fields_scope() { current_fields = nullptr; }
    current_fields_scope(const current_fields_scope&) = delete;
    current_fields_scope& operator=(const current_fields_scope&) = delete;
};

/// Parts of field names whose values are redacted.
constexpr std::array secret_words{
    "secret", "authorization", "password", "token", "bearer"};

bool is_secret(const std::string& name)
{
    std::string lower = name;
    std::ranges::transform(
        lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return std::ranges::any_of(secret_words, [&](const char* word)
        { return lower.find(word) != std::string::npos; });
}

json encode_value(const log_value& value)
{
    return std::visit([](const auto& it) { return json(it); }, value);
}

/// @param microseconds since 1970-01-01 UTC.
/// @return RFC 3339 timestamp with milliseconds.
std::string format_time(std::int64_t microseconds)
{
    std::time_t seconds = microseconds / 1'000'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::size_t n =
        std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction =
        std::to_string(1'000 + microseconds / 1'000 % 1'000).substr(1);
    return std::string(date.data(), n) + '.' + fraction + 'Z';
}

std::string lower_level(const log4cxx::LevelPtr& level)
{
    std::string text;
    level->toString(text);
    std::ranges::transform(
        text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// Formats a line as one flat JSON object, which is what readers of the log
/// expect. The `JSONLayout` of log4cxx would take the fields from the thread's
/// context map and nest them in `context_map`.
class flat_json_layout : public log4cxx::Layout
{
public:
    void format(log4cxx::LogString& output,
        const log4cxx::spi::LoggingEventPtr& event,
        log4cxx::helpers::Pool&) const override
    {
        std::string logger;
        log4cxx::helpers::Transcoder::encode(event->getLoggerName(), logger);
        std::string message;
        log4cxx::helpers::Transcoder::encode(
            event->getRenderedMessage(), message);
        json line{{"time", format_time(event->getTimeStamp())},
            {"level", lower_level(event->getLevel())}, {"logger", logger},
            {"message", message}};
        for (const log_field& it : current_fields ? *current_fields : none)
            add_field(line, it);
        output.append(
            line.dump(-1, ' ', false, json::error_handler_t::replace));
        output.append("\n");
    }

    void activateOptions(log4cxx::helpers::Pool&) override {}
    void setOption(
        const log4cxx::LogString&, const log4cxx::LogString&) override
    {
    }
    bool ignoresThrowable() const override { return false; }

private:
    static void add_field(json& line, const log_field& field)
    {
        if (line.contains(field.get_name()))
            return;
        line[field.get_name()] = is_secret(field.get_name())
                                     ? json("(secret)")
                                     : encode_value(field.get_value());
    }

    static inline const log_fields none{};
};

log4cxx::LevelPtr get_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log_level parse_level(const std::string& text)
{
    constexpr std::array names{"debug", "info", "warn", "error"};
    auto it = std::ranges::find(names, text);
    if (it == names.end())
        throw platform_error("bad_log_level",
            "log level '" + text + "' is not debug, info, warn or error");
    return static_cast<log_level>(it - names.begin());
}

log4cxx::AppenderPtr make_appender(const std::string& file)
{
    auto layout = std::make_shared<flat_json_layout>();
    if (file.empty())
        return std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    if (file == log_to_stdout)
        return std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut());
    // Checked here because the appender reports a file that cannot be opened
    // only to its own error handler.
    if (!std::ofstream(file, std::ios::app))
        throw platform_error(
            "log_file", "log file '" + file + "' cannot be opened");
    return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

} // namespace

void configure_log(const std::string& level, const std::string& file)
{
    auto threshold = get_level(parse_level(level));
    auto appender = make_appender(file);
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(threshold);
}

void write_log(log_level level, const std::string& logger,
    const std::string& message, const log_fields& fields)
{
    auto out = log4cxx::Logger::getLogger(logger);
    auto native_level = get_level(level);
    if (!out->isEnabledFor(native_level))
        return;
    current_fields_scope scope(fields);
    out->forcedLog(native_level, message);
}

bool is_log_enabled(log_level level, const std::string& logger)
{
    return log4cxx::Logger::getLogger(logger)->isEnabledFor(get_level(level));
}

decision_log::decision_log(std::string system)
    : logger_("decision." + std::move(system))
{
}

void decision_log::write(std::string_view decision, std::string_view rule,
    const log_fields& fields) const
{
    log_fields all{{"rule", rule}};
    all.insert(all.end(), fields.begin(), fields.end());
    write_log(log_level::info, logger_, std::string(decision), all);
}

} // namespace cowslippass
