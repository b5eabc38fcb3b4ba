#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslippass
{

/// Labels that identify one series of a metric, such as `{{"queue", "q1"}}`.
using metric_labels = std::map<std::string, std::string>;

enum class metric_kind
{
    counter,     ///< Monotonic; the name ends in `_total`.
    gauge,       ///< Current value, which may rise and fall.
    distribution ///< Count, sum and quantiles; the name ends in the unit.
};

struct metric_description
{
    std::string name;
    metric_kind kind = metric_kind::counter;
    std::string help; ///< One sentence that names the unit.
};

/// The metrics of one process. All of them are declared in the constructor; use
/// of an undeclared name or of the wrong kind is a programming error.
class metrics_registry
{
public:
    /// @throws platform_error (`bad_metric`) for a name that is declared
    ///   twice or breaks the naming convention: the prefix `cowslippass_`,
    ///   lower case, and for counters the suffix `_total`, for distributions a
    ///   unit; and for an empty help text.
    explicit metrics_registry(const std::vector<metric_description>& metrics);
    ~metrics_registry();

    /// Increments a counter by `n`.
    /// @throws platform_error (`unknown_metric`) unless `name` was declared
    ///   with this kind; the same holds for `set` and `observe`.
    void add(const std::string& name, const metric_labels& labels = {},
        std::uint64_t n = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value,
        const metric_labels& labels = {});
    /// Adds a sample to a distribution.
    void observe(const std::string& name, double value,
        const metric_labels& labels = {});

    /// @return all series in the Prometheus text exposition format, version
    ///   0.0.4.
    std::string format() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @return the metrics that an entry daemon declares.
std::vector<metric_description> get_entry_metrics();

} // namespace cowslippass
