#pragma once

#include "systems/fleet_state.hpp"
#include "systems/query_table.hpp"

namespace cowslippass
{

/// Makes the table `limits`: for each team its share and limit, and over the
/// whole fleet what is granted to entries, used by them and not granted.
/// @param grants the table `grants` of all entries that answered.
query_table make_limit_table(
    const fleet_state& state, const query_table& grants);

} // namespace cowslippass
