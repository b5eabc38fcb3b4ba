#pragma once

#include "bench/capacity/meter.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace cowslippass
{

/// One window; `count` is what the series varies.
struct measured_window
{
    std::string name;
    double count = 0;
    window_rates rates;
    /// Events in the window: requests answered or changes committed.
    double events = 0;
};

struct findings
{
    std::vector<measured_window> entries;   ///< Count: entries.
    measured_window data_centres;           ///< The peers are partly remote.
    std::vector<measured_window> targets;   ///< Count: targets.
    std::vector<measured_window> instances; ///< Count: instances in the state.
    measured_window listed;        ///< All of them in the platform's list.
    measured_window large_changes; ///< Changes of the largest state.
    measured_window still_list;    ///< The same list, seen by several entries.
    measured_window changing_list; ///< Events: changes of that list.
    std::vector<measured_window> requests; ///< First: without load.
    std::size_t owner = 0;         ///< Entry that owns the requests' pool.
    measured_window small_changes; ///< Compared with requests without load.
};

/// Writes the windows, the slopes and the figures at the design size as
/// Markdown.
void print_report(std::ostream& out, const findings& all);

} // namespace cowslippass
