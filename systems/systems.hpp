#pragma once

/// Public header of the decision systems: entities in tables and systems that
/// run over them, without sockets, threads or clocks of their own.

#include "core/core.hpp"
#include "systems/admission.hpp"
#include "systems/fleet_log.hpp"
#include "systems/fleet_record.hpp"
#include "systems/fleet_state.hpp"
#include "systems/names.hpp"
#include "systems/pool_owners.hpp"
#include "systems/routing.hpp"
