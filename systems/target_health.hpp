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
    fails_what_succeeds_elsewhere, ///< set aside
    silent,                        ///< set aside
    budget_used_up,     ///< probation: faulty, but the budget forbids more
    quarantine_expired, ///< probation: the time aside is over
    answers_again,      ///< probation: a silent target answers
    probation_passed    ///< healthy
};

const char* to_string(health_rule rule);

struct health_change
{
    instance_id target;
    target_health_state state = target_health_state::healthy;
    health_rule rule = health_rule::probation_passed;
    double evidence = 0.0;
    std::uint32_t failures = 0; ///< Since the target was last healthy.
};

/// A task that fails wherever it runs.
struct bad_task
{
    task_id task;
    std::vector<instance_id> targets; ///< Where it failed.
};

struct health_decisions
{
    std::vector<health_change> changes;
    std::vector<bad_task> bad_tasks;
};

/// Decides which targets of a pool are set aside, put on probation and
/// trusted again, and which tasks are at fault themselves.
///
/// A failure is evidence against its target in proportion to how rarely the
/// other targets fail, so that a wave of bad tasks accuses nobody. It weighs
/// more once the same task succeeds elsewhere, and is taken back once the
/// task fails on several healthy targets.
class target_health
{
public:
    /// @return whether the pool's availability budget lets this target be
    ///   unavailable too. Asked before a target is set aside, and in each
    ///   tick for a silent target that was turned down.
    using availability_check = std::function<bool(const instance_id&)>;

    /// A new target is healthy.
    void set_target(const instance_id& id);
    void remove_target(const instance_id& id);

    /// @param task the same for all attempts of a piece of work.
    /// @param outcome `done` and `failed` count; others say nothing about
    ///   the target.
    void on_task_end(const task_id& task, const instance_id& target,
        task_outcome outcome, monotonic_time now);

    /// No attempt of the task will follow.
    void forget_task(const task_id& task);

    /// The target did not answer within its deadline.
    void on_silent(const instance_id& target, monotonic_time now);
    void on_answer(const instance_id& target, monotonic_time now);

    health_decisions tick(
        monotonic_time now, const availability_check& may_quarantine);

    /// @return `healthy` for an unknown target.
    target_health_state get_state(const instance_id& target) const;
    retry_budget& get_retry_budget() { return retry_budget_; }

private:
    struct target_row
    {
        target_health_state state = target_health_state::healthy;
        double failure_rate = 0.0; ///< Moving average over its tasks.
        double evidence = 0.0;
        std::uint32_t failures = 0;
        bool has_succeeded = false;            ///< Since it was last set aside.
        std::uint32_t probation_successes = 0; ///< Successes on probation.
        bool is_silent = false;
        bool is_quarantined_for_silence = false; ///< Why it was set aside.
        /// Time aside; doubles with each relapse.
        milliseconds quarantine_time{0};
        monotonic_time probation_time{};
        monotonic_time healthy_since{};
    };
    struct failure
    {
        instance_id target;
        double evidence = 0.0;
        bool is_target_healthy = true;
    };

    void on_success(const task_id& task, const instance_id& target,
        target_row& row, monotonic_time now);
    void on_failure(
        const task_id& task, const instance_id& target, target_row& row);
    static bool has_passed_probation(const target_row& row);
    void update_failure_rate(target_row& row, double sample);
    double get_rate_elsewhere(const target_row& row) const;
    void add_evidence(const instance_id& id, target_row& row, double evidence);
    void evaluate_task(const task_id& task);
    bool has_failed_on_credible_targets(
        const std::vector<failure>& failures) const;
    void evaluate_target(const instance_id& id, monotonic_time now,
        const availability_check& may_quarantine, health_decisions& out);
    void quarantine_target(const instance_id& id, target_row& row,
        monotonic_time now, const availability_check& may_quarantine,
        health_decisions& out);
    void change_state(const instance_id& id, target_row& row,
        target_health_state state, health_rule rule, health_decisions& out);

    std::map<instance_id, target_row> targets_;
    std::unordered_map<task_id, std::vector<failure>> failures_;
    std::deque<task_id> failure_order_; ///< Bounds `failures_`.
    std::set<instance_id>
        pending_evaluations_; ///< To be looked at in the next tick.
    std::set<instance_id> quarantined_;
    std::vector<bad_task> bad_tasks_;
    double failure_rate_sum_ = 0.0; ///< Of `failure_rate` over all targets.
    retry_budget retry_budget_;
};

} // namespace cowslippass
