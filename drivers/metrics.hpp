#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslippass
{

/// Values that tell the series of one metric apart, as `{{"queue", "q1"}}`.
using metric_labels = std::map<std::string, std::string>;

enum class metric_kind
{
    counter,     ///< Only rises; the name ends in `_total`.
    gauge,       ///< Goes up and down.
    distribution ///< Count, sum and quantiles; the name ends in its unit.
};

struct metric_description
{
    std::string name;
    metric_kind kind = metric_kind::counter;
    std::string help; ///< One sentence with the unit.
};

/// Metrics of one process. All are declared when it is built, which is the one
/// registration point; use of another name or kind is a programming error.
class metrics_registry
{
public:
    /// @throws platform_error (`bad_metric`) for a name that is declared
    ///   twice, or that breaks the convention: `cowslippass_`, lower case, and
    ///   the unit or `_total` at the end.
    explicit metrics_registry(const std::vector<metric_description>& metrics);
    ~metrics_registry();

    /// Each call throws platform_error (`unknown_metric`) when `name` was not
    /// declared with the kind that the call is for.
    void add(const std::string& name, const metric_labels& labels = {},
        std::uint64_t n = 1);
    void set(const std::string& name, double value,
        const metric_labels& labels = {});
    void observe(const std::string& name, double value,
        const metric_labels& labels = {});

    /// @return the text exposition format, version 0.0.4, that scrapers read.
    std::string format() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @return the metrics that an entry daemon declares.
std::vector<metric_description> get_entry_metrics();

} // namespace cowslippass
