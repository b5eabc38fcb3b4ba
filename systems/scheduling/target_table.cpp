#include "systems/scheduling/target_table.hpp"

#include <algorithm>

namespace cowslippass
{

bool target_entry::is_eligible(boot_time now) const
{
    return is_listed && has_reported && consecutive_failures == 0 &&
           !report.is_draining && !is_cordoned && !is_evacuated &&
           now >= back_off_until;
}

bool target_entry::has_label(const std::string& label) const
{
    return std::ranges::find(report.labels, label) != report.labels.end();
}

} // namespace cowslippass
