#pragma once

#include "systems/fleet_state.hpp"
#include "systems/query_table.hpp"

namespace cowslippass
{

/// Builds the query table `limits`. For each team it shows the share, the limit
/// and, over the whole fleet, how many grants entries hold, how many of these
/// are in use, and how many are not granted.
/// @param grants the merged `grants` tables of all entries that replied.
query_table make_limit_table(
    const fleet_state& state, const query_table& grants);

} // namespace cowslippass
