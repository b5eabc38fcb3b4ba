#pragma once

#include "systems/workload/job_spec.hpp"

#include <map>
#include <optional>
#include <set>

namespace cowslippass
{

enum class job_phase
{
    queued, ///< No task has started.
    running,
    completed, ///< Every task is done.
    failed,    ///< A task failed as often as its queue allows.
    cancelled
};

const char* to_string(job_phase state);

/// How a run ended, as the target tells it.
enum class run_outcome
{
    done,
    failed,         ///< Through the task's fault or the target's.
    stopped,        ///< By our order.
    lease_expired,  ///< Its lease ran out, or its target is gone.
    gang_broken,    ///< Another member of its gang ended.
    gang_incomplete ///< It waited in vain for the other members of its gang.
};

const char* to_string(run_outcome end);

/// One run of a task that a target may be executing.
struct task_run
{
    run_number number;
    target_id target;
};

/// What is known of one task.
struct task_progress
{
    std::optional<task_run> run; ///< Set while a target may execute it.
    run_number last_number;      ///< The highest number ever given out.
    std::uint32_t failures = 0;  ///< Runs that ended `failed`.
    std::string saved;           ///< Saved progress; empty for none.
};

/// Tasks of one step of one occurrence.
struct step_progress
{
    std::set<std::uint32_t> done;
    /// Tasks that were ever assigned; all others have the default progress.
    std::map<std::uint32_t, task_progress> tasks;
};

/// A job and its progress. All changes go through the methods, which keep the
/// state consistent; none of them has effects outside.
class job
{
public:
    job(job_id id, queue_id queue, team_id team, job_spec spec);

    const job_id& get_id() const { return id_; }
    const queue_id& get_queue() const { return queue_; }
    const team_id& get_team() const { return team_; }
    const job_spec& get_spec() const { return spec_; }
    job_phase get_phase() const { return phase_; }
    bool is_ended() const;

    /// @return whether it has ended and nothing of it runs.
    bool is_settled() const;

    const step_spec& get_step(const task_key& key) const;

    /// @return nothing for a task that was never assigned.
    const task_progress* find_task(const task_key& key) const;

    /// @return whether the task is done.
    bool is_done(const task_key& key) const;

    /// @return whether all tasks of the step are done.
    bool is_step_done(std::uint32_t occurrence, std::uint32_t step) const;

    /// @return whether all steps before this one are done and its time has
    ///   come.
    bool is_step_open(
        std::uint32_t occurrence, std::uint32_t step, platform_time now) const;

    /// @return when an occurrence is due; 0 for a job without a schedule.
    platform_time get_due_time(std::uint32_t occurrence) const;

    /// Tasks of open steps that neither run nor are done, in order.
    std::vector<task_key> list_waiting(platform_time now) const;

    /// Tasks that a target may be executing.
    std::vector<task_key> list_running() const;

    /// Gives a task to a target under the next run number.
    /// @param number a gang's common number; the next one when not set.
    run_number assign(const task_key& key, target_id target,
        std::optional<run_number> number = std::nullopt);

    /// Takes note of the end of a run. An end of another run than the one in
    /// progress changes nothing.
    /// @param max_attempts runs that may fail before the job fails.
    /// @return whether anything changed.
    bool record_run_end(const task_key& key, run_number number, run_outcome end,
        const std::string& saved, std::uint32_t max_attempts);

    /// @return whether the job was not ended before.
    bool cancel();

    /// @return the number of tasks that are done, of all occurrences.
    std::uint64_t count_done() const { return done_count_; }
    std::uint64_t count_tasks() const { return task_count_; }

    /// @return JSON text of everything but the identity and the spec; of a
    ///   settled job its queue, team and state, which are all that is of use.
    std::string encode_progress() const;

    /// @throws systems_error (`bad_job`).
    void decode_progress(const std::string& text);

    /// Restores a settled job from its progress only.
    /// @return nothing when the text is that of another job.
    static std::optional<job> decode_settled(
        const job_id& id, const std::string& text);

private:
    using step_key = std::pair<std::uint32_t, std::uint32_t>;

    void mark_done(const task_key& key);
    void count_failure(task_progress& task, std::uint32_t max_attempts);

    job_id id_;
    queue_id queue_;
    team_id team_;
    job_spec spec_;
    job_phase phase_ = job_phase::queued;
    std::map<step_key, step_progress> steps_;
    std::uint64_t done_count_ = 0;
    std::uint64_t task_count_ = 0;
};

} // namespace cowslippass
