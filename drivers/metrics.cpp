#include "drivers/metrics.hpp"

#include "drivers/refusal_reporter.hpp"

#include "core/errors.hpp"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <variant>

namespace cowslippass
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.9, 0.99, 0.999};
// The extended P-square estimator has two markers for each quantile and three
// more. It gives no estimate until each marker holds a sample.
constexpr std::size_t estimator_marker_count = 2 * quantiles.size() + 3;
constexpr std::array unit_suffixes{
    "_seconds", "_bytes", "_ratio", "_tasks", "_slots", "_instances"};

/// Count, sum and quantiles of samples. The quantiles are exact up to
/// `estimator_marker_count` samples and estimated beyond.
class distribution
{
public:
    void observe(double value)
    {
        accumulator_(value);
        if (first_samples_.size() < estimator_marker_count)
            first_samples_.insert(
                std::ranges::upper_bound(first_samples_, value), value);
    }

    std::size_t get_count() const { return acc::count(accumulator_); }
    double get_sum() const { return acc::sum(accumulator_); }

    double get_quantile(std::size_t i) const
    {
        if (get_count() > estimator_marker_count)
            return acc::extended_p_square(accumulator_)[static_cast<long>(i)];
        double rank = std::ceil(
            quantiles.at(i) * static_cast<double>(first_samples_.size()));
        return first_samples_.at(
            static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
    }

private:
    acc::accumulator_set<double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
        accumulator_{acc::tag::extended_p_square::probabilities = quantiles};
    /// The first `estimator_marker_count` samples, sorted.
    std::vector<double> first_samples_;
};

struct counter
{
    std::uint64_t value = 0;
};

struct gauge
{
    double value = 0;
};

/// The value of one combination of labels.
using series = std::variant<counter, gauge, distribution>;

/// One declared metric with all its series.
struct family
{
    metric_description description;
    std::map<metric_labels, series> series_by_labels;
};

std::string format_number(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buf{};
    auto result = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), result.ptr};
}

/// @param escapes_quotes whether '"' is escaped too, as label values require.
std::string escape(const std::string& text, bool escapes_quotes)
{
    std::string out;
    for (char c : text)
    {
        if (c == '\\' || (c == '"' && escapes_quotes))
            out += '\\';
        out += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return out;
}

std::string format_labels(const metric_labels& labels)
{
    std::string out;
    for (const auto& [name, value] : labels)
        out += (out.empty() ? "{" : ",") + name + "=\"" + escape(value, true) +
               '"';
    return out.empty() ? out : out + '}';
}

/// Appends the sample lines of one series to `out`.
struct series_formatter
{
    const std::string& name;
    const metric_labels& labels;
    std::string& out;

    void operator()(const counter& it) const
    {
        write("", labels, std::to_string(it.value));
    }

    void operator()(const gauge& it) const
    {
        write("", labels, format_number(it.value));
    }

    void operator()(const distribution& it) const
    {
        for (std::size_t i = 0; i < quantiles.size(); ++i)
        {
            metric_labels with = labels;
            with["quantile"] = format_number(quantiles.at(i));
            write("", with, format_number(it.get_quantile(i)));
        }
        write("_sum", labels, format_number(it.get_sum()));
        write("_count", labels, std::to_string(it.get_count()));
    }

    void write(const char* suffix, const metric_labels& with,
        const std::string& value) const
    {
        out += name + suffix + format_labels(with) + ' ' + value + '\n';
    }
};

const char* get_type(metric_kind kind)
{
    switch (kind)
    {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::distribution:
        return "summary";
    }
    return "untyped";
}

bool follows_naming_convention(const metric_description& it)
{
    auto is_lower = [](char c)
    { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'; };
    auto has_suffix = [&](const char* suffix)
    { return it.name.ends_with(suffix); };
    bool is_total = has_suffix("_total");
    if (!it.name.starts_with("cowslippass_") || it.help.empty() ||
        !std::ranges::all_of(it.name, is_lower) ||
        is_total != (it.kind == metric_kind::counter))
        return false;
    return it.kind != metric_kind::distribution ||
           std::ranges::any_of(unit_suffixes, has_suffix);
}

series make_series(metric_kind kind)
{
    switch (kind)
    {
    case metric_kind::counter:
        return counter{};
    case metric_kind::gauge:
        return gauge{};
    case metric_kind::distribution:
        return distribution{};
    }
    return gauge{};
}

} // namespace

struct metrics_registry::state
{
    std::map<std::string, family> families;

    template <class Series>
    Series& get(const std::string& name, const metric_labels& labels)
    {
        auto it = families.find(name);
        if (it == families.end())
            throw platform_error("unknown_metric", name + " is not declared");
        auto& all = it->second.series_by_labels;
        auto found = all.find(labels);
        if (found == all.end())
            found =
                all.emplace(labels, make_series(it->second.description.kind))
                    .first;
        auto* value = std::get_if<Series>(&found->second);
        if (!value)
            throw platform_error(
                "unknown_metric", name + " is declared with another kind");
        return *value;
    }
};

metrics_registry::metrics_registry(
    const std::vector<metric_description>& metrics)
    : state_(std::make_unique<state>())
{
    for (const metric_description& it : metrics)
    {
        if (!follows_naming_convention(it))
            throw platform_error("bad_metric",
                it.name + " breaks the naming convention or has no help text");
        if (!state_->families.emplace(it.name, family{it, {}}).second)
            throw platform_error("bad_metric", it.name + " is declared twice");
    }
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(
    const std::string& name, const metric_labels& labels, std::uint64_t n)
{
    state_->get<counter>(name, labels).value += n;
}

void metrics_registry::set(
    const std::string& name, double value, const metric_labels& labels)
{
    state_->get<gauge>(name, labels).value = value;
}

void metrics_registry::observe(
    const std::string& name, double value, const metric_labels& labels)
{
    state_->get<distribution>(name, labels).observe(value);
}

std::string metrics_registry::format() const
{
    std::string out;
    for (const auto& [name, it] : state_->families)
    {
        out +=
            "# HELP " + name + ' ' + escape(it.description.help, false) + '\n';
        out += "# TYPE " + name + ' ' + get_type(it.description.kind) + '\n';
        for (const auto& [labels, value] : it.series_by_labels)
            std::visit(series_formatter{name, labels, out}, value);
    }
    return out;
}

std::vector<metric_description> get_entry_metrics()
{
    using enum metric_kind;
    return {
        {"cowslippass_requests_total", counter,
            "Requests of callers, by queue and outcome."},
        {"cowslippass_forwards_total", counter,
            "Requests forwarded to the pool owner, by outcome."},
        {"cowslippass_decisions_total", counter,
            "Routing and placement decisions, by decision and rule."},
        {"cowslippass_urgent_start_seconds", distribution,
            "Seconds from accepting an urgent request to its start."},
        {"cowslippass_urgent_answer_seconds", distribution,
            "Seconds from accepting an urgent request to its result."},
        {"cowslippass_slow_wait_seconds", distribution,
            "Seconds that a slow job waited before its start."},
        {"cowslippass_platform_call_seconds", distribution,
            "Seconds of calls to the platform, by operation."},
        {"cowslippass_platform_failures_total", counter,
            "Calls that the platform did not answer, by operation."},
        {"cowslippass_config_version", gauge,
            "Version of the fleet log in hand."},
        {"cowslippass_freshness_age_seconds", gauge,
            "Seconds since the version in hand was known to be the newest."},
        {"cowslippass_running_tasks", gauge, "Running tasks, by team."},
        {"cowslippass_waiting_tasks", gauge, "Waiting tasks, by queue."},
        {"cowslippass_waiting_bytes", gauge,
            "Bytes of the work that waits in this entry."},
        {"cowslippass_waiting_refusals_total", counter,
            "Work refused or sent back as too much waits here, by team."},
        {"cowslippass_granted_tasks", gauge,
            "Tasks granted to this session, by team."},
        {"cowslippass_free_slots", gauge, "Free slots of owned pools."},
        {"cowslippass_peer_connections", gauge,
            "Open connections to and from other entries."},
        {"cowslippass_dropped_replies_total", counter,
            "Replies dropped as late or unknown."},
        {"cowslippass_starts_refused_total", counter,
            "Starts that a target or this entry refused, by reason."},
        {"cowslippass_retries_total", counter,
            "Repeatable work that was queued again, by pool."},
        {"cowslippass_maintenance_decisions_total", counter,
            "Decisions of the maintenance planner, by rule."},
        get_refusal_metric(),
    };
}

} // namespace cowslippass
