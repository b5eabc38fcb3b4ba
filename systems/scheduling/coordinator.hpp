#pragma once

#include "systems/configuration/fleet_config.hpp"
#include "systems/pools/load_meter.hpp"
#include "systems/scheduling/job_urgency.hpp"
#include "systems/scheduling/target_table.hpp"
#include "systems/workload/job_record.hpp"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cowslippass
{

/// Bounds and times of the coordinator's decisions.
struct coordinator_options
{
    /// How long a target that failed a call gets no work.
    milliseconds set_aside{1'000};
    /// How long callers can ask for an ended job.
    milliseconds keep_ended{150'000};
    /// Over which arrivals are averaged: long enough for single jobs not to
    /// look like a burst, short against a burst of some seconds.
    milliseconds load_memory{1'000};
};

/// A run that a target may execute.
struct active_run
{
    target_id target;
    run_number number;
    resources need;    ///< Counted against the target's capacity.
    resources charged; ///< Counted against the team's limit.
    team_id team;
    boot_time assigned_at{};
    /// Since when the target is known to have it, or to have dropped it.
    std::optional<boot_time> settled_at;
    bool is_sent = false;
    /// An order without an answer may still reach the target.
    bool may_arrive_late = false;
    bool must_stop = false;
    int percent = 0; ///< As last reported.
    double figure = 0;
};

using run_table = std::unordered_map<task_name, active_run, task_name_hash>;

/// A start to send once the ledger holds it.
struct start_decision
{
    task_name task;
    run_number run;
    target_id target;
};

struct stop_decision
{
    task_name task;
    run_number run;
    target_id target;
};

/// What the queues of a pool ask of it now.
struct pool_demand
{
    resources used;           ///< By runs on targets that may get work.
    resources waiting;        ///< Of tasks that could start if there were room.
    resources lasting;        ///< By long-running tasks, also waiting ones.
    double waiting_work = 0;  ///< Of waiting tasks, in core-milliseconds.
    double overdue_work = 0;  ///< Of those of overdue jobs, not in the others.
    double offered_cores = 0; ///< That keep up with what comes in.
    milliseconds longest_wait{0}; ///< Of a job's tasks, for room.
    /// Targets that the tasks of one step need, if they may not share one.
    std::uint32_t spread = 0;
};

enum class submit_outcome
{
    added,
    known ///< Submitted before; it stays one job.
};

/// Decides for all jobs and targets: what starts where, what stops, what has
/// ended. Has no effects outside; the caller writes the rows of changed jobs,
/// sends the orders and passes the answers back in.
class coordinator
{
public:
    explicit coordinator(coordinator_options options);

    // Jobs.

    /// Restores a settled job, without its steps.
    void load_settled_job(job value, boot_time now);

    /// Restores a job at a takeover. Its runs count as running until their
    /// targets say otherwise.
    /// @param wall_time to tell how long ago the job was accepted.
    void load_job(const job_id& id, job_record record,
        const std::string& progress, boot_time now, platform_time wall_time);

    submit_outcome submit(const job_id& id, job_record record, boot_time now);

    /// @return whether the job is known; it is stopped with the next orders.
    bool cancel(const job_id& id, boot_time now);

    /// @return nothing for an unknown job.
    const job* find_job(const job_id& id) const;

    /// @return jobs of the queue of which no task has started.
    std::uint64_t count_queued(const queue_id& queue) const;

    std::size_t count_jobs() const { return jobs_.size(); }

    // Configuration and targets.

    void set_publication(const published_state& state);
    const published_state& get_publication() const { return publication_; }
    void note_target_change(const target_change& change, boot_time now);

    /// Marks an instance's target as about to leave its pool, or not.
    void set_cordon(const target_id& target, bool is_cordoned);

    const target_table& get_targets() const { return targets_; }
    const run_table& get_runs() const { return runs_; }

    /// @return of every pool with a queue, a target or a configuration.
    std::map<pool_id, pool_demand> measure_demand(boot_time now) const;

    /// @return whether the system may end this run for its own purposes now:
    ///   so many others of a long-running step may be away as it allows.
    bool may_interrupt(const task_name& task) const;

    // Decisions.

    /// Assigns waiting tasks to targets.
    /// @param wall_time for schedules.
    /// @param most starts; jobs after the one that reaches it wait.
    std::vector<start_decision> plan(boot_time now, platform_time wall_time,
        std::size_t most = std::numeric_limits<std::size_t>::max());

    /// Runs that are to be stopped and have not confirmed it.
    std::vector<stop_decision> list_stops() const;

    /// Asks for a run to be stopped; its task starts again elsewhere.
    void stop_run(const task_name& task);

    /// @return the order for a start, unless it is not to be sent any more.
    std::optional<start_order> make_start_order(const start_decision& it);

    /// The start is not sent any more. One that was sent before may still
    /// arrive, so that the run has to be stopped.
    void abandon_start(const start_decision& it, boot_time now);

    // Answers.

    void note_start_reply(
        const start_decision& it, order_outcome outcome, boot_time now);
    void note_stop_reply(
        const stop_decision& it, order_outcome outcome, boot_time now);

    /// @param sent_at when the look was sent: what was settled later is not
    ///   judged by it.
    void note_look(const target_id& target, const target_look& look,
        boot_time sent_at, boot_time now);
    void note_look_failure(const target_id& target, boot_time now);

    /// @return whether the leases at the target are to be extended. Those of
    ///   a silent target are left to run out, so that its tasks can start
    ///   elsewhere at a known time.
    bool wants_lease(const target_id& target) const;

    /// A lease was granted at the target; nothing of it is left after `end`.
    void note_lease(const target_id& target, boot_time end);

    /// This life of the target had ended when the platform was asked, so that
    /// nothing that was confirmed before is left of it.
    void note_life_over(
        const target_id& target, boot_time asked_at, boot_time now);

    /// Gives up the runs of targets that are silent and whose leases have all
    /// run out, and forgets targets that are gone.
    void expire(boot_time now);

    // Rows to write.

    /// @return jobs whose progress changed since the last call.
    std::vector<job_id> take_changed();

    /// @return ended jobs that callers can no longer ask for, now removed.
    std::vector<job_id> take_forgotten(boot_time now);

private:
    struct job_entry
    {
        job value;
        boot_time accepted_at{};
        std::uint64_t order = 0; ///< Of acceptance.
        std::vector<task_key> waiting = {};
        /// At the last look some tasks waited for their team's limit only.
        bool is_over_limit = false;
        bool needs_scan = true;
        std::optional<boot_time> ended_at = {};
        /// Since when tasks have waited for room.
        std::optional<boot_time> waiting_since = {};
        milliseconds remaining{0}; ///< Chain of work, as estimated.
        bool is_beyond_share = false;
        bool is_overdue = false; ///< At the last look.
    };

    /// Adds what a job waits for.
    static void add_waiting(
        const job_entry& entry, pool_demand& out, boot_time now);
    /// @return whether a long-running task serves its users.
    bool is_at_work(const active_run& run) const;
    job_entry* find_entry(const job_id& id);
    job_urgency get_urgency(const job_entry& entry, boot_time now) const;
    void note_load(const job_record& record, boot_time now);
    void note_change(job_entry& entry, boot_time now);
    void stop_runs_of(const job& it);
    void add_run(const task_name& task, const job& owner,
        const target_id& target, run_number number, boot_time now);
    void request_stop(const task_name& task, active_run& run);
    void note_ended(job_entry& entry, boot_time now);
    /// Frees what a run took.
    void remove_run(const task_name& task);
    /// Takes note of the end of an active run.
    void end_run(const task_name& task, run_outcome end,
        const std::string& saved, boot_time now);
    void note_running(
        target_entry& target, const running_report& it, boot_time now);
    void note_end(target_entry& target, const end_report& it, boot_time now);
    void drop_missing_runs(target_entry& target, const target_look& look,
        boot_time sent_at, boot_time now);

    std::vector<job_entry*> list_waiting_jobs(
        boot_time now, platform_time wall_time);
    /// What one round of decisions finds out about room. Without it, each of
    /// the tasks that wait in a burst would look at every target again.
    struct room_index
    {
        std::map<pool_id, std::vector<target_entry*>> eligible;
        /// Needs that found no room; larger ones find none either.
        std::map<pool_id, std::vector<resources>> too_large;
        struct processors
        {
            std::int64_t used = 0;
            std::int64_t total = 0;
        };
        std::map<pool_id, processors> fill;

        /// @return whether jobs that are overdue have to wait.
        bool is_filled(const pool_id& pool) const;
        bool is_known_too_large(
            const pool_id& pool, const resources& need) const;
    };

    room_index index_room(boot_time now);
    void plan_job(job_entry& entry, room_index& room, boot_time now,
        std::vector<start_decision>& out);
    bool place_gang(job_entry& entry, std::size_t& at, room_index& room,
        const queue_config& queue, boot_time now,
        std::vector<start_decision>& out);
    target_entry* choose_target(const job& owner, const task_key& key,
        const pool_id& pool, room_index& room);
    bool fits_limit(const team_id& team, const resources& need) const;
    const queue_config* find_queue(const queue_id& queue) const;
    std::uint32_t get_max_attempts(const queue_id& queue) const;

    coordinator_options options_;
    published_state publication_;
    /// Also queues that were removed: their jobs go on.
    std::map<queue_id, queue_config> queues_;
    std::map<job_id, job_entry> jobs_;
    std::set<job_id> unfinished_;
    run_table runs_;
    std::set<task_name> stopping_; ///< Runs that must stop.
    std::map<team_id, resources> team_used_;
    target_table targets_;
    std::set<job_id> changed_;
    /// Ended jobs by the time when callers can no longer ask for them.
    std::multimap<boot_time, job_id> ended_;
    load_meter load_;
    share_meter shares_;
    estimate_meter estimates_;
    std::uint64_t last_order_ = 0;
};

} // namespace cowslippass
