#include "drivers/refusal_reporter.hpp"

#include "drivers/log.hpp"

#include <chrono>

namespace cowslippass
{

namespace
{

/// A crowd of such callers must not fill the log.
constexpr milliseconds line_interval{1'000};

} // namespace

void refusal_reporter::report(std::string_view cause)
{
    metrics_.add(refused_connections_metric, {{"cause", std::string(cause)}});
    ++unreported_;
    auto now = std::chrono::steady_clock::now();
    if (now < next_line_)
        return;
    next_line_ = now + line_interval;
    write_log(log_level::warn, "http_server", "refused or closed connections",
        {{"last_cause", std::string(cause)}, {"count", unreported_}});
    unreported_ = 0;
}

metric_description get_refusal_metric()
{
    return {refused_connections_metric, metric_kind::counter,
        "Connections of callers refused or closed for what they send, by "
        "cause."};
}

} // namespace cowslippass
