#include "drivers/metrics.hpp"

#include "core/errors.hpp"

#include <gmock/gmock.h>

namespace cowslippass
{

namespace
{

using testing::HasSubstr;

const std::vector<metric_description> metrics{
    {"cowslippass_a_total", metric_kind::counter, "Counts."},
    {"cowslippass_b", metric_kind::gauge, "Line\nbreak."},
    {"cowslippass_c_seconds", metric_kind::distribution, "Seconds."}};

/// @return the value of a series in the exposition text, or -1 if it is absent.
double get_value(const std::string& text, const std::string& series)
{
    auto at = text.find('\n' + series + ' ');
    return at == std::string::npos
               ? -1
               : std::stod(text.substr(at + series.size() + 2));
}

} // namespace

// Guards against output that scrapers reject: unescaped quotes, backslashes and
// line breaks in labels and help texts, or missing HELP and TYPE lines.
TEST(metrics, series_are_written_in_the_exposition_format)
{
    metrics_registry it(metrics);
    it.add("cowslippass_a_total", {{"queue", "q\"1\\"}}, 2);
    it.add("cowslippass_a_total", {{"queue", "q\"1\\"}});
    it.set("cowslippass_b", -1.5);
    std::string text = it.format();
    EXPECT_THAT(
        text, HasSubstr("# HELP cowslippass_a_total Counts.\n"
                        "# TYPE cowslippass_a_total counter\n"
                        "cowslippass_a_total{queue=\"q\\\"1\\\\\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("# HELP cowslippass_b Line\\nbreak.\n"));
    EXPECT_EQ(get_value(text, "cowslippass_b"), -1.5);
}

// Guards against wrong quantiles for the first samples: the estimator has no
// estimate until all its markers are filled and sorted.
TEST(metrics, quantiles_of_few_samples_are_exact)
{
    metrics_registry it(metrics);
    for (double value : {9.0, 1.0, 5.0})
        it.observe("cowslippass_c_seconds", value);
    std::string text = it.format();
    EXPECT_EQ(get_value(text, "cowslippass_c_seconds{quantile=\"0.5\"}"), 5);
    EXPECT_EQ(get_value(text, "cowslippass_c_seconds{quantile=\"0.999\"}"), 9);
    EXPECT_EQ(get_value(text, "cowslippass_c_seconds_sum"), 15);
    EXPECT_EQ(get_value(text, "cowslippass_c_seconds_count"), 3);
}

// Guards against an estimator that drifts from the true quantiles as samples
// accumulate.
TEST(metrics, quantiles_of_many_samples_are_estimated_closely)
{
    metrics_registry it(metrics);
    for (unsigned i = 0; i < 10'000; ++i)
        it.observe("cowslippass_c_seconds", i * 7919 % 10'000);
    std::string text = it.format();
    auto get = [&](const char* quantile)
    {
        return get_value(text, "cowslippass_c_seconds{quantile=\"" +
                                   std::string(quantile) + "\"}");
    };
    EXPECT_NEAR(get("0.5"), 5'000, 100);
    EXPECT_NEAR(get("0.99"), 9'900, 100);
}

// Guards against metrics that appear under an undeclared name or the wrong
// kind, and against declared names without prefix, unit or lower case.
TEST(metrics, undeclared_and_unconventional_names_are_rejected)
{
    metrics_registry it(metrics);
    EXPECT_THROW(it.add("cowslippass_x_total"), platform_error);
    EXPECT_THROW(it.set("cowslippass_a_total", 1), platform_error);
    using list = std::vector<metric_description>;
    for (const char* name :
        {"cowslippass_c", "other_seconds", "cowslippass_C_seconds"})
        EXPECT_THROW(
            metrics_registry(list{{name, metric_kind::distribution, "Help."}}),
            platform_error)
            << name;
    EXPECT_NO_THROW(metrics_registry{get_entry_metrics()});
}

} // namespace cowslippass
