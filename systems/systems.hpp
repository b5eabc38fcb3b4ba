#pragma once

/// Public header of the decision systems: entities in tables and systems that
/// run over them, without sockets, threads or clocks of their own.

#include "core/core.hpp"
#include "systems/command.hpp"
#include "systems/command_parser.hpp"
#include "systems/fleet_planner.hpp"
#include "systems/fleet_record.hpp"
#include "systems/fleet_state.hpp"
#include "systems/fleet_tables.hpp"
#include "systems/names.hpp"
#include "systems/pool_owners.hpp"
#include "systems/query_engine.hpp"
#include "systems/query_table.hpp"
