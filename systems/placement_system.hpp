#pragma once

#include "systems/placement_policy.hpp"
#include "systems/placement_targets.hpp"
#include "systems/team_shares.hpp"

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace cowslippass
{

/// Decides which task starts where and when, for one owner of one pool in one
/// data centre. The cost of a tick grows with its decisions and the number of
/// teams, not with the number of waiting tasks.
///
/// A grant is taken before a task starts and belongs to the task until
/// `on_task_end`, where the caller gives it back. Grants that the system took
/// and does not use come back in `placement_decisions::returned_grants`.
class placement_system
{
public:
    /// Takes one grant of a team's fleet-wide limit; false when there is none.
    using grant_strategy = std::function<bool(const team_id&)>;

    enum class cancel_outcome
    {
        not_found,
        not_run, ///< The task was waiting and has been removed.
        stopping ///< The next tick returns a stop.
    };

    explicit placement_system(placement_policy policy = {});
    placement_system(const placement_system&) = delete;
    placement_system& operator=(const placement_system&) = delete;

    /// Adds a target or replaces its description, also after each report of
    /// the target. A description with an older epoch is ignored.
    void set_target(const placement_target& target);

    /// No more work is placed on the target. Tasks on it stay in the table
    /// until `on_task_end`.
    void remove_target(const instance_id& id);

    /// Sets a team's weight under contention. A team that was never set has
    /// weight 1.
    /// @throws systems_error (`bad_share`) when `share` is 0.
    void set_team(const team_id& team, std::uint32_t share);

    /// Queues a task.
    /// @return the refusal when the task cannot be queued; it has not run.
    std::optional<placement_decision> add_task(const placement_task& task);

    cancel_outcome cancel_task(const task_id& id);

    /// The target confirmed the start.
    void on_started(const task_id& id, monotonic_time now);

    /// The target proved that the task did not start. The task waits again
    /// in its old place and keeps its grant.
    void on_start_refused(
        const task_id& id, start_refusal reason, monotonic_time now);

    /// The victim's checkpoint is stored.
    void on_checkpointed(const task_id& id, monotonic_time now);

    /// The task left its target, or will never be heard of again. The task is
    /// removed from the table; one that is to run again is added again with
    /// its first arrival time.
    void on_task_end(
        const task_id& id, task_outcome outcome, monotonic_time now);

    /// A task that an earlier owner started runs on `target`.
    /// @return false when the target or the task id is not usable: the target
    ///   is unknown or the task is already on a target.
    bool adopt_running(const placement_task& task, const instance_id& target,
        monotonic_time now);

    /// Call after changes, and at least every 100 ms while work waits.
    placement_decisions tick(
        monotonic_time now, const grant_strategy& take_grant);

    /// For summaries, queries and metrics.
    std::uint32_t count_waiting(queue_kind kind) const;
    std::uint32_t count_waiting(const team_id& team) const;
    std::uint32_t count_running(const team_id& team) const;
    std::uint32_t count_free_slots() const { return targets_.get_free_slots(); }
    std::size_t count_tasks() const { return tasks_.size(); }
    /// @return whether work waits for slots since the last tick.
    bool is_contended() const { return is_contended_; }

private:
    enum class task_state
    {
        waiting,
        starting,
        running,
        throttled,
        checkpointing,
        stopping
    };
    enum class task_class
    {
        urgent,
        slow, ///< Idempotent, so that it can be stopped and run again.
        non_preemptible ///< Slow and not idempotent; keeps its slot to its end.
    };
    struct team_row;
    struct task_row
    {
        placement_task task;
        team_row* team = nullptr;
        task_state state = task_state::waiting;
        std::uint64_t sequence = 0;
        placement_targets::target_row* target = nullptr;
        monotonic_time started{};
        monotonic_time next_step_at{}; ///< Next step of a preemption.
        bool is_checkpointed = false;
        bool is_cancelled = false;
        bool is_freeing_slot = false; ///< Counted in `slots_being_freed_`.
    };
    using time_key = std::tuple<monotonic_time, std::uint64_t, task_row*>;
    using task_order = std::set<time_key>;
    struct team_row
    {
        team_id id;
        team_shares::account account;
        task_order waiting[3]; ///< By task_class, in order of arrival.
        task_order victims;    ///< Running slow tasks that may be stopped.
        std::uint32_t unused_grants = 0;
        std::array<bool, 3> is_blocked{}; ///< In this tick, by task_class.
        bool is_without_grant = false;    ///< In this tick.
        bool has_begun_waiting = false; ///< Began to wait since the last tick.

        std::size_t count_waiting() const;
        task_order& get_queue(task_class from);
        const task_order& get_queue(task_class from) const;
    };
    struct start_choice
    {
        team_row* team = nullptr;
        task_class from = task_class::urgent;
        placement_rule rule = placement_rule::urgent_first;
    };
    struct context
    {
        monotonic_time now;
        const grant_strategy& take_grant;
        placement_decisions& out;
    };

    team_row& get_team(const team_id& id);
    task_row* find_task(const task_id& id);
    std::optional<placement_rule> find_obstacle(const placement_task& task);
    void enqueue(task_row& row);
    void dequeue(task_row& row);
    void occupy(task_row& row, placement_targets::target_row& target,
        task_state state, monotonic_time now);
    void vacate(task_row& row, monotonic_time now);
    void erase(task_row& row);

    void begin_tick(context& ctx);
    void finish_cancelled(context& ctx);
    void refuse_overdue(context& ctx);
    void start_waiting(context& ctx);
    void end_tick(context& ctx);
    /// Uses a held grant if there is one.
    bool take_grant(team_row& team, context& ctx);
    bool take_new_grant(team_row& team, context& ctx);

    static task_class get_task_class(const placement_task& task);
    start_choice choose_slow();
    start_choice choose_by_fair_share(monotonic_time now);
    start_choice choose_first_come(monotonic_time now);
    team_row* find_least_served(task_class from);
    /// @return the team with waiting work of the task_class that is most behind
    /// its
    ///   share; null if none is behind.
    team_row* find_largest_deficit(task_class from);
    /// @return the team whose waiting work that cannot be stopped goes beyond
    ///   `max_non_preemptible_fraction`; null if there is none.
    team_row* find_starved_non_preemptible();
    bool may_start_from(const team_row& team, task_class from) const;
    /// @return the team whose urgent work waits longest beyond patience, of
    ///   those that are not far ahead of `least_served`; null if there is none.
    team_row* find_longest_wait(team_row& least_served, monotonic_time now);
    /// @return whether the team is behind its share by more than the
    ///   tolerance, and by more than the other team.
    bool is_underserved(const team_row& team, const team_row& other) const;
    void start_from_queue(const start_choice& chosen, context& ctx);
    void start_reserved(context& ctx);
    void reserve_if_due(const task_row& row, monotonic_time now);
    void start(task_row& row, const placement_targets::choice& where,
        placement_rule rule, context& ctx);
    std::uint32_t get_headroom() const;

    // Preemption; a victim is throttled, checkpointed and stopped in turn.
    void preempt(context& ctx);
    void advance_preemptions(context& ctx);
    void resume_victim(context& ctx);
    static bool is_urgent_overdue(const team_row& team, monotonic_time now);
    /// Takes grants for urgent work before slots are freed for it: a slot is
    /// of no use to a team that is at its limit.
    void reserve_grants(context& ctx);
    std::uint32_t count_needed_slots(monotonic_time now) const;
    using ranked_teams = std::vector<std::pair<double, team_row*>>;
    /// Least served first.
    ranked_teams rank_teams(bool (*is_included)(const team_row&));
    bool preempt_for(
        team_row& urgent, const ranked_teams& victims, context& ctx);
    task_row* choose_victim(team_row& urgent, const task_row& head,
        const ranked_teams& victims, std::uint32_t& candidates);
    static task_row* choose_victim_of(
        team_row& team, const task_row& head, std::uint32_t& candidates);
    void add_victim(task_row& row);
    void set_preemption_step(
        task_row& row, task_state state, monotonic_time next_step_at);
    void end_preemption(task_row& row);
    void stop_victim(task_row& row, placement_rule rule, context& ctx);

    placement_decision make_decision(const task_row& row,
        placement_action action, placement_rule rule, monotonic_time now) const;
    void add_decision(task_row& row, placement_action action,
        placement_rule rule, std::uint32_t candidates, context& ctx);

    placement_policy policy_;
    placement_targets targets_;
    team_shares shares_;
    std::map<team_id, team_row> teams_;
    std::unordered_map<task_id, task_row> tasks_;
    std::vector<team_shares::account*> accounts_; ///< For one tick.
    task_order deadlines_; ///< Waiting tasks that have one.
    task_order throttled_;
    task_order checkpointing_;
    std::vector<task_id> cancelled_;
    std::uint32_t waiting_count_[2] = {0, 0};
    std::uint32_t non_preemptible_running_ =
        0; ///< Tasks of that task_class on targets.
    std::uint32_t slots_being_freed_ = 0; ///< Victims, stopping ones included.
    std::uint64_t last_sequence_ = 0;
    bool is_contended_ = false;
};

} // namespace cowslippass
