#include "systems/scheduling/target_table.hpp"

#include <algorithm>

namespace cowslippass
{

bool target_entry::is_eligible(boot_time now) const
{
    return is_listed && is_known && failures == 0 && !report.is_draining &&
           !is_cordoned && !is_evacuated && now >= set_aside_until;
}

bool target_entry::has_label(const std::string& label) const
{
    return std::ranges::find(report.labels, label) != report.labels.end();
}

} // namespace cowslippass
