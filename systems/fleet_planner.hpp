#pragma once

#include "systems/command.hpp"
#include "systems/fleet_state.hpp"

#include <vector>

namespace cowslippass
{

/// A rule of the fleet forbids the change. The codes are `unknown_name`,
/// `duplicate_name`, `bad_value`, `no_change`, `wrong_state`,
/// `budget_exceeded`, `last_operator` and `session_ended`.
class planning_error : public systems_error
{
public:
    using systems_error::systems_error;
};

// All functions are pure: they check the change against the state at one
// version and give the records of the next. They must be called again when
// another change was committed first. They throw planning_error.

/// Plans an operator's change. Drains, stops and maintenance stay within the
/// pool's availability budget (I1); taking out a whole data centre is always
/// allowed, as operators do it when the data centre has already failed.
std::vector<fleet_record> plan(
    const fleet_state& state, const change_command& change);

/// Plans the start of an entry daemon. The data centre need not be known yet:
/// the first entry starts before there are operators who could create it.
std::vector<fleet_record> plan_session_start(
    const fleet_state& state, const session_started_record& started);

std::vector<fleet_record> plan_session_end(
    const fleet_state& state, session_id session);

/// @throws planning_error (`session_ended`) when the session is not live, so
///   that a paused process cannot go on under a session that was given up.
void require_live_session(const fleet_state& state, session_id session);

/// Notes that an instance was found dead. Needs no budget, as it is a fact.
std::vector<fleet_record> plan_instance_failure(
    const fleet_state& state, const instance_id& instance);

/// Starts the reboot of an instance that has drained for maintenance.
std::vector<fleet_record> plan_reboot(
    const fleet_state& state, const instance_id& instance);

/// Puts an instance back in service that answers again after a reboot, which
/// ends its maintenance pass, or after a failure.
/// @param pass the present one, see `get_maintenance_pass`; not taken when the
///   instance was maintained in a later one, as clocks of holders differ.
std::vector<fleet_record> plan_instance_return(
    const fleet_state& state, const instance_id& instance, std::uint32_t pass);

} // namespace cowslippass
