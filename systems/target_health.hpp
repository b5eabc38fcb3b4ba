#pragma once

#include "systems/placement_types.hpp"
#include "systems/retry_budget.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace cowslippass
{

/// The rule that changed a target's state.
enum class health_rule
{
    /// Quarantine: tasks fail on the target that succeed on others.
    fails_what_succeeds_elsewhere,
    /// Quarantine: the target does not answer.
    silent,
    /// Probation: the target is faulty or silent, but the availability budget
    /// allows no further quarantine.
    budget_used_up,
    /// Probation: the quarantine time is over.
    quarantine_expired,
    /// Probation: a silent target answers again.
    answers_again,
    /// Healthy: enough tasks succeeded on probation.
    probation_passed
};

/// @return the name in log lines. The names are part of the log format.
const char* to_string(health_rule rule);

/// A change of a target's state, with its reason.
struct health_change
{
    instance_id target;
    target_health_state state = target_health_state::healthy;
    health_rule rule = health_rule::probation_passed;
    double evidence = 0.0;      ///< Against the target.
    std::uint32_t failures = 0; ///< Since the target was last healthy.
};

/// A task that fails on every target.
struct bad_task
{
    task_id task;
    std::vector<instance_id> targets; ///< Where it failed.
};

/// Result of a tick.
struct health_decisions
{
    std::vector<health_change> changes;
    std::vector<bad_task> bad_tasks;
};

/// Outlier detection for the targets of a pool: decides which targets are
/// quarantined, put on probation and healthy again, and which tasks are at
/// fault themselves (bad tasks).
///
/// Each failure is evidence against its target; it weighs more, the more rarely
/// tasks fail on the other targets. Many bad tasks at once therefore do not
/// incriminate any target. The evidence grows once the same task succeeds on
/// another target, and is withdrawn once the task has failed on several healthy
/// targets.
class target_health
{
public:
    /// @return whether the availability budget of the pool allows this target
    ///   to be unavailable too. It is called before a target is quarantined,
    ///   and in each tick for a silent target that it has kept from quarantine.
    using availability_check = std::function<bool(const instance_id&)>;

    /// Adds a target unless it is known. A new target is healthy.
    void set_target(const instance_id& id);
    void remove_target(const instance_id& id);

    /// Records the outcome of an attempt.
    /// @param task id that all attempts of the task share.
    /// @param outcome only `done` and `failed` count; the others say nothing
    ///   about the target.
    void on_task_end(const task_id& task, const instance_id& target,
        task_outcome outcome, monotonic_time now);

    /// Call when no further attempt of the task will follow.
    void forget_task(const task_id& task);

    /// Call when the target did not answer before the deadline.
    void on_silent(const instance_id& target, monotonic_time now);
    /// Call when the target has answered.
    void on_answer(const instance_id& target, monotonic_time now);

    /// Makes the decisions that are due.
    health_decisions tick(
        monotonic_time now, const availability_check& may_quarantine);

    /// @return `healthy` for an unknown target.
    target_health_state get_state(const instance_id& target) const;
    /// @return the budget for retries of failed tasks of the pool.
    retry_budget& get_retry_budget() { return retry_budget_; }

private:
    struct target_row
    {
        target_health_state state = target_health_state::healthy;
        double failure_rate = 0.0;               ///< Moving average, 0 to 1.
        double evidence = 0.0;                   ///< Against the target.
        std::uint32_t failures = 0;              ///< Since it was last healthy.
        bool has_succeeded = false;              ///< Since the last quarantine.
        std::uint32_t probation_successes = 0;   ///< In a row.
        bool is_silent = false;                  ///< It does not answer.
        bool is_quarantined_for_silence = false; ///< Else for failures.
        /// Length of the last quarantine; doubles with each relapse.
        milliseconds quarantine_time{0};
        monotonic_time probation_time{}; ///< Earliest end of the quarantine.
        monotonic_time healthy_since{};
    };
    /// A failed attempt of a task.
    struct failure
    {
        instance_id target;
        double evidence = 0.0;         ///< That it added against the target.
        bool is_target_healthy = true; ///< When the attempt failed.
    };

    void on_success(const task_id& task, const instance_id& target,
        target_row& row, monotonic_time now);
    void on_failure(
        const task_id& task, const instance_id& target, target_row& row);
    static bool has_passed_probation(const target_row& row);
    void update_failure_rate(target_row& row, double sample);
    /// @return mean failure rate of the other targets.
    double get_rate_elsewhere(const target_row& row) const;
    void add_evidence(const instance_id& id, target_row& row, double evidence);
    /// Reports a task as bad once it has failed on enough targets.
    void evaluate_task(const task_id& task);
    /// @return whether the failures show that the task is bad.
    bool has_failed_on_credible_targets(
        const std::vector<failure>& failures) const;
    /// Quarantines a target or ends its probation if that is due.
    void evaluate_target(const instance_id& id, monotonic_time now,
        const availability_check& may_quarantine, health_decisions& out);
    /// Quarantines a target, or puts it on probation if the availability budget
    /// is used up.
    void quarantine_target(const instance_id& id, target_row& row,
        monotonic_time now, const availability_check& may_quarantine,
        health_decisions& out);
    void change_state(const instance_id& id, target_row& row,
        target_health_state state, health_rule rule, health_decisions& out);

    std::map<instance_id, target_row> targets_;
    std::unordered_map<task_id, std::vector<failure>> failures_;
    std::deque<task_id> failure_order_; ///< Oldest first; bounds `failures_`.
    std::set<instance_id> pending_evaluations_; ///< For the next tick.
    std::set<instance_id> quarantined_;
    std::vector<bad_task> bad_tasks_; ///< Found since the last tick.
    double failure_rate_sum_ = 0.0; ///< Sum of `failure_rate` over all targets.
    retry_budget retry_budget_;
};

} // namespace cowslippass
