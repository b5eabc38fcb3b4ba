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

/// Whether a target gets work, as decided by `target_health`.
enum class target_health_state
{
    healthy,
    probation,  ///< Gets one idempotent task at a time as a test.
    quarantined ///< Gets no work.
};

/// What the pool owner knows about a target.
struct placement_target
{
    instance_id id;
    data_centre_id data_centre;
    rack_id rack;
    slot_count slots{8};
    /// Connections that this entry may open to the target. One carries the
    /// status synchronization; the others limit the start requests in flight.
    std::uint32_t connections = 7;
    instance_state state = instance_state::in_service;
    std::uint64_t epoch = 1; ///< Raised when the instance changes pool.
    /// Free slots according to a status report of the target, which reveals
    /// tasks that this owner did not start. Unset keeps the last known value.
    std::optional<slot_count> free_slots;
    byte_count memory{0}; ///< 0 means that memory is not checked.
    target_health_state health = target_health_state::healthy;
};

/// A task to place, and what the pool owner knows about it.
struct placement_task
{
    task_id id;
    team_id team;
    queue_kind kind = queue_kind::urgent;
    bool is_idempotent = true;
    byte_count memory{0};     ///< Declared; 0 means not declared.
    milliseconds run_time{0}; ///< Declared; 0 means not declared.
    /// Arrival of the first attempt, so that a task that is queued again keeps
    /// its place in the queue.
    monotonic_time arrival;
    /// A task that has not started by then is refused.
    monotonic_time deadline = monotonic_time::max();
    /// Targets where earlier attempts failed. They are used again only when
    /// the pool has no other usable target.
    std::vector<instance_id> avoided_targets;
};

/// Why a target did not start a task. In each case the task has not run.
enum class start_refusal
{
    deadline_passed, ///< HTTP status 412.
    no_free_slot,    ///< HTTP status 429.
    leaving,         ///< HTTP status 503: the target takes no more work.
    unreachable      ///< The connection failed before the request was sent.
};

/// How a task left its target.
enum class task_outcome
{
    done,
    failed,
    stopped,
    lapsed, ///< Its lease expired.
    unknown
};

/// What the caller has to do with a task.
enum class placement_action
{
    start,
    throttle,   ///< First step of a preemption.
    resume,     ///< Ends a preemption; the task runs on.
    checkpoint, ///< Second step of a preemption.
    stop,       ///< Last step of a preemption, or a cancellation.
    refuse      ///< The task has not run and leaves the queue.
};

/// The rule that decided an action.
enum class placement_rule
{
    urgent_first,       ///< start: urgent tasks precede slow tasks.
    long_wait,          ///< start: urgent task that waited beyond the limit.
    spare_capacity,     ///< start: slow task; the headroom stays free.
    share_debt,         ///< start: slow task of a team far below its share.
    reservation,        ///< start: large task on its reserved target.
    first_come,         ///< start: baseline order by arrival.
    urgent_waits,       ///< throttle, checkpoint: an urgent task needs a slot.
    checkpoint_done,    ///< stop: the checkpoint is stored.
    checkpoint_overdue, ///< stop: the checkpoint took too long.
    urgent_served,      ///< resume: no urgent task needs the slot any more.
    cancelled,          ///< stop, refuse: the caller cancelled the task.
    deadline_passed,    ///< refuse: not started before its deadline.
    fits_no_target,  ///< refuse: it declares more memory than any target has.
    team_queue_full, ///< refuse: the team has too many waiting tasks.
    duplicate_task   ///< refuse: a task with this id exists.
};

/// @return the name in log lines. The names are part of the log format.
const char* to_string(placement_action action);
const char* to_string(placement_rule rule);
const char* to_string(start_refusal reason);
const char* to_string(task_outcome outcome);
const char* to_string(target_health_state state);

/// An action that the caller has to carry out, with its reason.
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
    /// Number of targets (start, refuse) or running tasks (throttle) examined.
    std::uint32_t candidates = 0;
    /// Free slots of the pool when the decision was made.
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0; ///< Waiting tasks of the same kind, then.
    milliseconds waited{0};    ///< Since the arrival of the task.

    /// @return the fields of a log line, as `name=value` pairs.
    std::string describe() const;
};

/// Result of a tick.
struct placement_decisions
{
    std::vector<placement_decision> items;
    /// The team of each grant that was taken and is no longer needed. The
    /// caller has to return these grants.
    std::vector<team_id> returned_grants;
    /// Teams with waiting tasks that got no grant from `take_grant`.
    std::vector<team_id> teams_without_grant;
};

} // namespace cowslippass
