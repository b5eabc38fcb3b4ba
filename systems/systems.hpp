#pragma once

/// Public header of the decision systems: entities in tables and systems that
/// run over them, without sockets, threads or clocks of their own.

#include "core/core.hpp"
#include "systems/admission.hpp"
#include "systems/command_parser.hpp"
#include "systems/fleet_log.hpp"
#include "systems/fleet_planner.hpp"
#include "systems/fleet_record.hpp"
#include "systems/fleet_state.hpp"
#include "systems/fleet_tables.hpp"
#include "systems/freshness.hpp"
#include "systems/grant_ledger.hpp"
#include "systems/job_machine.hpp"
#include "systems/names.hpp"
#include "systems/placement_system.hpp"
#include "systems/pool_owners.hpp"
#include "systems/query_engine.hpp"
#include "systems/query_table.hpp"
#include "systems/routing.hpp"
#include "systems/session_admission.hpp"
#include "systems/start_policy.hpp"
#include "systems/target_health.hpp"
