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
    failed,    ///< A task has failed as often as its queue allows.
    cancelled
};

/// @return the name under which the phase is stored and reported.
const char* to_string(job_phase phase);

/// How a run ended, as the target reports it.
enum class run_outcome
{
    done,
    failed,         ///< By a fault of the task or of the target.
    stopped,        ///< On the coordinator's order.
    lease_expired,  ///< Its lease ran out, or its target is gone.
    gang_broken,    ///< Another member of its gang ended.
    gang_incomplete ///< The other members of its gang did not start in time.
};

/// @return the name under which targets report the outcome.
const char* to_string(run_outcome outcome);

/// One run of a task, which a target may be executing.
struct task_run
{
    run_number number;
    target_id target;
};

/// Longest checkpoint that is kept, in bytes of its JSON text. A longer one is
/// discarded, so that the task resumes from its previous checkpoint.
inline constexpr std::size_t max_checkpoint_bytes = 640;

/// Upper bound on the bytes of one task in encoded progress, with a target's
/// name of the length that the store allows.
inline constexpr std::size_t max_task_progress_bytes = 1'024;

/// Progress of one task.
struct task_progress
{
    std::optional<task_run> run; ///< Set while a target may be executing it.
    run_number last_number;      ///< Highest run number assigned so far.
    std::uint32_t failures = 0;  ///< Runs with the outcome `failed`.
    /// Last checkpoint, of at most `max_checkpoint_bytes`; empty for none.
    std::string saved;
    /// For a member of a gang: the run that left the checkpoint.
    run_number saved_by;
};

/// Progress of the tasks of one step in one occurrence.
struct step_progress
{
    std::set<std::uint32_t> done; ///< Indices of the tasks that are done.
    /// By index, the tasks that were ever assigned; all others have the default
    /// progress.
    std::map<std::uint32_t, task_progress> tasks;
};

/// A job and its progress. All changes go through the methods, which keep the
/// state consistent; none of them has side effects outside the object.
class job
{
public:
    /// @param tasks_per_segment the progress of at most this many tasks is
    ///   encoded as one text; 0 for the progress of all tasks.
    job(job_id id, queue_id queue, team_id team, job_spec spec,
        std::uint32_t tasks_per_segment = 0);

    const job_id& get_id() const { return id_; }
    const queue_id& get_queue() const { return queue_; }
    const team_id& get_team() const { return team_; }
    const job_spec& get_spec() const { return spec_; }
    job_phase get_phase() const { return phase_; }

    /// @return whether it is completed, failed or cancelled; its runs may still
    ///   be in progress.
    bool is_ended() const;

    /// @return whether it has ended and none of its tasks runs.
    bool is_settled() const;

    const step_spec& get_step(const task_key& key) const;

    /// @return null for a task that was never assigned.
    const task_progress* find_task(const task_key& key) const;

    bool is_done(const task_key& key) const;

    /// @return whether all tasks of the step are done.
    bool is_step_done(std::uint32_t occurrence, std::uint32_t step) const;

    /// @return whether the occurrence is due at `now` and all steps that this
    ///   one depends on are done in it.
    bool is_step_open(
        std::uint32_t occurrence, std::uint32_t step, platform_time now) const;

    /// @return when the occurrence is due; 0 for a job without a schedule.
    platform_time get_due_time(std::uint32_t occurrence) const;

    /// @return the tasks of open steps that are neither running nor done, by
    ///   occurrence, step and index; none when the job has ended.
    std::vector<task_key> list_waiting(platform_time now) const;

    /// @return the tasks that a target may be executing.
    std::vector<task_key> list_running() const;

    /// Assigns a task to a target and thereby starts a new run.
    /// @param number run number that all members of a gang share; the task's
    ///   next one when not set.
    /// @return the run number.
    run_number assign(const task_key& key, target_id target,
        std::optional<run_number> number = std::nullopt);

    /// Gives all members of a gang the checkpoint of the latest run that left
    /// one, as they can only resume from the same point. To be called before
    /// they are assigned; what former runs report afterwards does not count.
    void share_checkpoint(std::uint32_t occurrence, std::uint32_t step);

    /// Records that a task has started.
    /// @return whether it is the first one of the job.
    bool record_start();

    /// @return whether a task was ever assigned to a target; it need not have
    ///   started there.
    bool has_assignments() const { return !steps_.empty(); }

    /// Records the end of a run. The end of any run but the one in progress
    /// changes nothing.
    /// @param saved checkpoint that the run left; empty for none.
    /// @param max_attempts number of failed runs of one task after which the
    ///   job fails.
    /// @return whether anything changed.
    bool record_run_end(const task_key& key, run_number number,
        run_outcome outcome, const std::string& saved,
        std::uint32_t max_attempts);

    /// Records that a former run of a task was done, whose end was not known
    /// when the task was assigned again. The later run remains until it is
    /// recorded as ended; its end does not count.
    /// @return whether the task, or its gang, was not done before.
    bool record_late_done(const task_key& key, run_number number);

    /// Ends the job; its runs in progress remain until they are recorded as
    /// ended.
    /// @return whether the job had not ended before.
    bool cancel();

    /// @return the number of tasks that are done, over all occurrences.
    std::uint64_t count_done() const { return done_count_; }

    /// @return the number of tasks, over all occurrences.
    std::uint64_t count_tasks() const { return task_count_; }

    /// @return whether the progress of the tasks is encoded in segments.
    bool has_segments() const { return tasks_per_segment_ > 0; }

    /// @return the segments that changed since the last call.
    std::set<std::uint32_t> take_changed_segments();

    /// @return the segments that contain tasks that were ever assigned.
    std::set<std::uint32_t> list_used_segments() const;

    /// @return JSON text of the phase and, without segments, of the progress
    ///   of all steps; for a settled job only its queue, team and phase, as
    ///   nothing else is needed any more.
    std::string encode_progress() const;

    /// @return JSON text of the phase and of the progress of the segment's
    ///   tasks.
    std::string encode_segment(std::uint32_t segment) const;

    /// Replaces the progress by the encoded one. The texts need not all have
    /// been encoded at the same time.
    /// @param text empty if only segments have been stored.
    /// @throws systems_error (`bad_job`) when a text is not encoded progress.
    void decode_progress(const std::string& text,
        const std::map<std::uint32_t, std::string>& segments = {});

    /// Restores a settled job from its encoded progress, without its spec.
    /// @return nothing when the text is that of a job that is not settled.
    /// @throws systems_error (`bad_job`) when the text is not encoded progress.
    static std::optional<job> decode_settled(
        const job_id& id, const std::string& text);

private:
    /// Occurrence and index of the step.
    using step_key = std::pair<std::uint32_t, std::uint32_t>;

    /// Half-open range of the indices of a step's tasks.
    struct index_range
    {
        std::uint32_t begin;
        std::uint32_t end;
    };

    /// Appends the lists of the step's done tasks and of its other tasks.
    static void append_progress(
        std::string& out, const step_progress& step, index_range indices);
    /// Appends the progress of all steps, or of the segment's part of them.
    void append_steps(
        std::string& out, std::optional<std::uint32_t> segment) const;
    /// Adds the phase and the steps that one text describes.
    void decode_steps(const std::string& text);
    /// Completes gangs of which only some members were stored as done.
    void complete_done_gangs();
    /// @return the number of the task in the order of occurrence, step and
    ///   index.
    std::uint64_t get_ordinal(const task_key& key) const;
    /// @return the tasks of a step that belong to the segment.
    index_range get_segment_indices(
        const step_key& step, std::uint32_t segment) const;
    std::uint32_t get_segment(const task_key& key) const;
    /// Records that the segment of the task changed.
    void mark_segment_changed(const task_key& key);
    void mark_done(const task_key& key);
    /// Marks all members of a gang, which end together.
    void mark_gang_done(const task_key& member);
    void count_failure(task_progress& task, std::uint32_t max_attempts);

    job_id id_;
    queue_id queue_;
    team_id team_;
    job_spec spec_;
    job_phase phase_ = job_phase::queued;
    std::map<step_key, step_progress> steps_;
    std::uint64_t done_count_ = 0;
    std::uint64_t task_count_ = 0;
    std::uint32_t tasks_per_segment_ = 0;
    /// Number of tasks in the steps before each step.
    std::vector<std::uint64_t> step_offsets_;
    std::uint64_t tasks_per_occurrence_ = 0;
    std::set<std::uint32_t> changed_segments_;
};

} // namespace cowslippass
