#pragma once

#include "systems/fleet_state.hpp"
#include "systems/query_table.hpp"

#include <map>

namespace cowslippass
{

using fleet_table_maker = query_table (*)(const fleet_state&);

/// @return the makers of the tables that show the fleet state, by table name.
///   Secrets and their digests are in none of them.
const std::map<std::string, fleet_table_maker>& get_fleet_tables();

} // namespace cowslippass
