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

/// Schedules the tasks of one pool in one data centre, for the entry that owns
/// the pool there: decides which task starts on which target, and which running
/// task is preempted. The cost of a tick grows with the number of its decisions
/// and of teams, not with the number of waiting tasks.
///
/// A grant is taken before a task starts and belongs to the task until
/// `on_task_end`, where the caller returns it. Grants that were taken but are
/// not needed are listed in `placement_decisions::returned_grants`.
class placement_system
{
public:
    /// Takes one grant of a team's fleet-wide limit; false if none is left.
    using grant_strategy = std::function<bool(const team_id&)>;

    /// Result of `cancel_task`.
    enum class cancel_outcome
    {
        not_found,
        not_run, ///< The task was waiting and has been removed.
        stopping ///< The next tick decides to stop the task.
    };

    explicit placement_system(placement_policy policy = {});
    placement_system(const placement_system&) = delete;
    placement_system& operator=(const placement_system&) = delete;

    /// Adds a target or replaces its description. Call it also after each
    /// status report of the target. A description with an older epoch is
    /// ignored.
    void set_target(const placement_target& target);

    /// Places no more tasks on the target. Tasks on it stay in the table until
    /// `on_task_end`.
    void remove_target(const instance_id& id);

    /// Sets the weight of a team, which counts while tasks wait for slots. The
    /// default is 1.
    /// @throws systems_error (`bad_share`) when `share` is 0.
    void set_team(const team_id& team, std::uint32_t share);

    /// Queues a task.
    /// @return the refusal when the task cannot be queued; it has not run.
    std::optional<placement_decision> add_task(const placement_task& task);

    /// Cancels a task: removes it if it waits, else stops it in the next tick.
    cancel_outcome cancel_task(const task_id& id);

    /// Call when the target has confirmed the start.
    void on_started(const task_id& id, monotonic_time now);

    /// Call when it is certain that the task did not start. The task waits
    /// again at its old place in the queue and keeps its grant.
    void on_start_refused(
        const task_id& id, start_refusal reason, monotonic_time now);

    /// Call when the checkpoint of a preemption victim has been stored.
    void on_checkpointed(const task_id& id, monotonic_time now);

    /// Call when the task has left its target or its end will never be known.
    /// The task is removed from the table. To run it again, add it again with
    /// its first arrival time.
    void on_task_end(
        const task_id& id, task_outcome outcome, monotonic_time now);

    /// Adds a running task that an earlier owner of the pool started.
    /// @return false when the target is unknown or the task is already on a
    ///   target.
    bool adopt_running(const placement_task& task, const instance_id& target,
        monotonic_time now);

    /// Makes the decisions that are due. Call it after changes, and at least
    /// every 100 ms while tasks wait.
    placement_decisions tick(
        monotonic_time now, const grant_strategy& take_grant);

    // Counts for summaries, queries and metrics.
    std::uint32_t count_waiting(queue_kind kind) const;
    std::uint32_t count_waiting(const team_id& team) const;
    std::uint32_t count_running(const team_id& team) const;
    std::uint32_t count_free_slots() const { return targets_.get_free_slots(); }
    std::size_t count_tasks() const { return tasks_.size(); }
    /// @return whether tasks were left waiting for slots by the last tick.
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
        non_preemptible ///< Slow, not idempotent; keeps its slot until it ends.
    };
    struct team_row;
    /// A waiting or running task.
    struct task_row
    {
        placement_task task;
        team_row* team = nullptr;
        task_state state = task_state::waiting;
        std::uint64_t sequence = 0; ///< Order of arrival at this owner.
        placement_targets::target_row* target = nullptr;
        monotonic_time started{};
        monotonic_time next_step_at{}; ///< Of a preemption.
        bool is_checkpointed = false;
        bool is_cancelled = false;
        bool is_freeing_slot = false; ///< Counted in `slots_being_freed_`.
    };
    /// Time, sequence, task. The sequence keeps the order stable.
    using time_key = std::tuple<monotonic_time, std::uint64_t, task_row*>;
    using task_order = std::set<time_key>;
    /// A team with its queues in this pool.
    struct team_row
    {
        team_id id;
        team_shares::account account;
        task_order waiting[3]; ///< By task class, in order of arrival.
        task_order victims;    ///< Running tasks that may be preempted.
        std::uint32_t unused_grants = 0; ///< Taken for tasks not started yet.
        /// By task class: no task could be placed in this tick.
        std::array<bool, 3> is_blocked{};
        bool is_without_grant = false;  ///< No grant was left in this tick.
        bool has_begun_waiting = false; ///< Since the last tick.

        std::size_t count_waiting() const;
        task_order& get_queue(task_class from);
        const task_order& get_queue(task_class from) const;
    };
    /// The queue to start from next, and why.
    struct start_choice
    {
        team_row* team = nullptr; ///< Null when nothing may start.
        task_class from = task_class::urgent;
        placement_rule rule = placement_rule::urgent_first;
    };
    /// State of one tick.
    struct context
    {
        monotonic_time now;
        const grant_strategy& take_grant;
        placement_decisions& out;
    };

    team_row& get_team(const team_id& id);
    task_row* find_task(const task_id& id);
    /// @return why the task cannot be queued, or nothing.
    std::optional<placement_rule> find_obstacle(const placement_task& task);
    void enqueue(task_row& row);
    void dequeue(task_row& row);
    void occupy(task_row& row, placement_targets::target_row& target,
        task_state state, monotonic_time now);
    void vacate(task_row& row, monotonic_time now);
    void erase(task_row& row);

    void begin_tick(context& ctx);
    /// Stops or refuses the tasks that have been cancelled.
    void finish_cancelled(context& ctx);
    /// Refuses waiting tasks whose deadline has passed.
    void refuse_overdue(context& ctx);
    /// Starts waiting tasks while slots are free.
    void start_waiting(context& ctx);
    void end_tick(context& ctx);
    /// Uses an unused grant of the team, or takes a new one.
    bool take_grant(team_row& team, context& ctx);
    bool take_new_grant(team_row& team, context& ctx);

    static task_class get_task_class(const placement_task& task);
    /// Chooses between preemptible and non-preemptible slow tasks.
    start_choice choose_slow();
    start_choice choose_by_fair_share(monotonic_time now);
    start_choice choose_first_come(monotonic_time now);
    /// @return the team with waiting tasks of this class that has used least of
    ///   its share; null if there is none.
    team_row* find_least_served(task_class from);
    /// @return the team with waiting tasks of this class that is furthest
    ///   behind its share; null if none is behind.
    team_row* find_largest_deficit(task_class from);
    /// @return the team whose non-preemptible tasks may exceed
    ///   `max_non_preemptible_fraction` now; null if there is none.
    team_row* find_starved_non_preemptible();
    /// @return whether the team has waiting tasks of this class that may start.
    bool may_start_from(const team_row& team, task_class from) const;
    /// @return the team whose urgent task has waited longest beyond
    ///   `urgent_wait_limit`, among the teams compared with which
    ///   `least_served` is not underserved; null if there is none.
    team_row* find_longest_wait(team_row& least_served, monotonic_time now);
    /// @return whether the team is behind its share by more than
    ///   `share_lag_limit`, and by more than the other team.
    bool is_underserved(const team_row& team, const team_row& other) const;
    /// Starts the first task of the queue that fits a target, or blocks the
    /// queue for this tick.
    void start_from_queue(const start_choice& chosen, context& ctx);
    /// Starts the task with the reservation if it fits now.
    void start_reserved(context& ctx);
    /// Reserves a target for a large task that has waited long enough.
    void reserve_if_due(const task_row& row, monotonic_time now);
    void start(task_row& row, const placement_targets::choice& where,
        placement_rule rule, context& ctx);
    /// @return slots that slow tasks leave free for urgent tasks.
    std::uint32_t get_headroom() const;

    // Preemption: a victim is first throttled, then checkpointed, then stopped.
    void preempt(context& ctx);
    /// Begins the checkpoints and the stops that are due.
    void advance_preemptions(context& ctx);
    /// Lets the victim whose preemption is least advanced run on.
    void resume_victim(context& ctx);
    /// @return whether an urgent task waits long enough to preempt another.
    static bool is_urgent_overdue(const team_row& team, monotonic_time now);
    /// Takes grants for urgent tasks before slots are freed for them, because a
    /// team at its limit cannot use a slot.
    void reserve_grants(context& ctx);
    /// @return slots to free for overdue urgent tasks that have a grant.
    std::uint32_t count_needed_slots(monotonic_time now) const;
    using ranked_teams = std::vector<std::pair<double, team_row*>>;
    /// @return the included teams, those that used least of their share first.
    ranked_teams rank_teams(bool (*is_included)(const team_row&));
    /// Begins to free a slot for the first urgent task of the team.
    /// @return false when no victim was found.
    bool preempt_for(
        team_row& urgent, const ranked_teams& victims, context& ctx);
    /// Searches the teams that used most of their share first.
    /// @param head the urgent task that needs the slot.
    /// @param candidates incremented for each task examined.
    task_row* choose_victim(team_row& urgent, const task_row& head,
        const ranked_teams& victims, std::uint32_t& candidates);
    static task_row* choose_victim_of(
        team_row& team, const task_row& head, std::uint32_t& candidates);
    /// Makes a running task eligible as a victim if it is preemptible.
    void add_victim(task_row& row);
    /// Moves a victim to a state and schedules its next step.
    void set_preemption_step(
        task_row& row, task_state state, monotonic_time next_step_at);
    /// Removes the task from the schedule of preemption steps.
    void end_preemption(task_row& row);
    /// Decides to stop a victim or a cancelled task.
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
    std::vector<team_shares::account*> accounts_; ///< Scratch space of a tick.
    task_order deadlines_;           ///< Waiting tasks with a deadline.
    task_order throttled_;           ///< Victims, by time of the next step.
    task_order checkpointing_;       ///< Victims, by time of the next step.
    std::vector<task_id> cancelled_; ///< To be stopped in the next tick.
    std::uint32_t waiting_count_[2] = {0, 0}; ///< By `queue_kind`.
    /// Non-preemptible tasks on targets.
    std::uint32_t non_preemptible_running_ = 0;
    /// Victims of preemption, including tasks that are being stopped.
    std::uint32_t slots_being_freed_ = 0;
    std::uint64_t last_sequence_ = 0;
    bool is_contended_ = false;
};

} // namespace cowslippass
