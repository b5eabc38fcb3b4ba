#pragma once

#include "core/core.hpp"
#include "systems/fleet_record.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

enum class target_health_state
{
    healthy,
    probation,  ///< Gets one idempotent task at a time until it proves healthy.
    quarantined ///< Gets no work.
};

/// A target as the pool owner sees it.
struct placement_target
{
    instance_id id;
    data_centre_id data_centre;
    rack_id rack;
    slot_count slots{8};
    /// Connections that this entry may use towards the target. One carries
    /// the sync; the others bound the starts in flight.
    std::uint32_t connections = 7;
    instance_state state = instance_state::in_service;
    std::uint64_t epoch = 1;
    /// Set in the call that follows a report of the target, where it shows
    /// tasks that this owner did not start. Nothing keeps what is known.
    std::optional<slot_count> free_slots;
    byte_count memory{0}; ///< 0 means that it is not checked.
    target_health_state health = target_health_state::healthy;
};

/// A piece of work as the pool owner sees it.
struct placement_task
{
    task_id id;
    team_id team;
    queue_kind kind = queue_kind::urgent;
    bool is_idempotent = true;
    byte_count memory{0};     ///< Declared; 0 means not declared.
    milliseconds run_time{0}; ///< Declared; 0 means not declared.
    /// Of the first attempt, so that a task that is queued again keeps its
    /// place.
    monotonic_time arrival;
    /// The task is refused when it has not started by then.
    monotonic_time deadline = monotonic_time::max();
    /// Targets where earlier attempts failed. They are used again only when
    /// the pool has no other.
    std::vector<instance_id> avoided_targets;
};

/// Why a target did not start a task. Each means "not run".
enum class start_refusal
{
    deadline_passed, ///< 412
    no_free_slot,    ///< 429
    leaving,         ///< 503
    unreachable      ///< The connection failed before the request was sent.
};

enum class task_outcome
{
    done,
    failed,
    stopped,
    lapsed,
    unknown
};

enum class placement_action
{
    start,
    throttle,
    resume,
    checkpoint,
    stop,
    refuse
};

/// The rule that decided an action.
enum class placement_rule
{
    urgent_first,       ///< start: urgent work precedes slow work.
    long_wait,          ///< start: urgent work near its start bound.
    spare_capacity,     ///< start: slow work, more than the headroom is free.
    share_debt,         ///< start: slow work of a team far below its share.
    reservation,        ///< start: large task on its reserved target.
    first_come,         ///< start: baseline order by arrival.
    urgent_waits,       ///< throttle, checkpoint: a slot is needed.
    checkpoint_done,    ///< stop: the checkpoint is stored.
    checkpoint_overdue, ///< stop: the checkpoint took too long.
    urgent_served,      ///< resume: the slot is no longer needed.
    cancelled,          ///< stop: the caller cancelled the task.
    deadline_passed,    ///< refuse: not started in time.
    fits_no_target,     ///< refuse: the declared size exceeds every target.
    team_queue_full,    ///< refuse: the team's queue is at its bound.
    duplicate_task      ///< refuse: the id is already in the table.
};

/// @return the name of the enumerator, for log lines.
const char* to_string(placement_action action);
const char* to_string(placement_rule rule);
const char* to_string(start_refusal reason);
const char* to_string(task_outcome outcome);
const char* to_string(target_health_state state);

/// One effect that the caller has to carry out, with its reason.
struct placement_decision
{
    placement_action action = placement_action::refuse;
    placement_rule rule = placement_rule::deadline_passed;
    task_id task;
    team_id team;
    queue_kind kind = queue_kind::urgent;
    /// Where the task starts or runs; empty for a refusal.
    instance_id target;
    std::uint64_t target_epoch = 0;
    rack_id rack;
    /// Targets (start, refuse) or running tasks (throttle) looked at.
    std::uint32_t candidates = 0;
    /// Free slots of the pool and waiting tasks of the kind at the time.
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0;
    milliseconds waited{0};

    /// @return one line of `name=value` fields.
    std::string describe() const;
};

struct placement_decisions
{
    std::vector<placement_decision> items;
    /// One entry for each grant that was taken and is not needed any more;
    /// the caller gives it back.
    std::vector<team_id> returned_grants;
    /// Teams with waiting work that `take_grant` turned down.
    std::vector<team_id> teams_without_grant;
};

} // namespace cowslippass
