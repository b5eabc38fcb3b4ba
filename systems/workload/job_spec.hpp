#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cowslippass
{

/// Amounts of resources: what a task needs, or what a target has.
struct resources
{
    std::int64_t processor = 0; ///< Millicores (1/1000 of a core).
    std::int64_t memory = 0;    ///< Megabytes.
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;
    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);

    /// @return whether these amounts are enough for `need`.
    bool holds(const resources& need) const;
};

resources operator+(resources left, const resources& right);
resources operator-(resources left, const resources& right);
resources operator*(resources amount, std::int64_t factor);

/// A step of a job: a number of equal tasks.
struct step_spec
{
    std::uint32_t task_count = 1;
    resources need; ///< Of each task.
    /// Estimated duration of a task; it may be wrong by a large factor.
    milliseconds estimate{0};
    /// Indices of the earlier steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    /// The tasks save checkpoints, from which a later run resumes.
    bool saves_checkpoints = false;
    /// The tasks can only run all at the same time.
    bool is_gang = false;
    /// The tasks of a gang run slowly when they are on more than one rack.
    bool prefers_one_rack = false;
    /// A target must have this label to run the tasks; empty for any target.
    std::string required_label;
    /// Rack of the tasks' data; they run slowly on other racks. May be empty.
    rack_id data_rack;
    /// Tasks of this step that one target may run at once; 0 for no bound.
    std::uint32_t max_per_target = 0;
    /// A second run of a slow task may be started while the first goes on.
    bool allows_speculative_runs = false;
    /// The tasks run until the job is cancelled.
    bool is_long_running = false;
    std::string image; ///< Tasks of the same image behave alike.
    /// Upper bound on the tail of the tasks' response times.
    milliseconds tail_latency_limit{0};
    /// The tasks use only processor time that other tasks leave idle; it does
    /// not count against a target's capacity.
    bool is_best_effort = false;
    /// Number of tasks that the system's own orders, such as maintenance, may
    /// make unavailable at the same time; 0 counts as 1.
    std::uint32_t max_unavailable = 0;

    /// @return the need that counts against a target's capacity.
    resources get_counted_need() const;
    /// @return how many tasks may be unavailable for the system's own orders.
    std::uint32_t get_interruption_budget() const;
};

/// A job as its caller submitted it. It never changes.
struct job_spec
{
    std::string payload; ///< Input that each task receives.
    std::vector<step_spec> steps;
    /// Number of occurrences; 0 for a job without a schedule.
    std::uint32_t repeat_count = 0;
    platform_time first_start; ///< When the first occurrence is due.
    milliseconds interval{0};  ///< Between the due times of occurrences.

    /// @return how often the steps are run; 1 for a job without a schedule.
    std::uint32_t get_occurrence_count() const;
};

/// Identifies one task within a job; all numbers start at 0.
struct task_key
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_key&) const = default;
};

/// Number of one run of a task; starts at 1 and increases with each run.
using run_number = strong_id<struct run_number_tag, std::uint64_t>;
/// Identifies one incarnation of a target.
using target_id = strong_id<struct target_tag, std::string>;

/// @return JSON text for the job's row and for messages between entries.
std::string encode_job_spec(const job_spec& spec);

/// @throws systems_error (`bad_job`) when the text is not an encoded job spec.
job_spec decode_job_spec(const std::string& text);

/// Rejects a job that could never complete, that has too many tasks, or whose
/// sizes and times are beyond what any fleet serves.
/// @throws systems_error (`bad_job`) with a message that names the fault and,
///   when it lies in one step, the step.
void check_job_spec(const job_spec& spec);

} // namespace cowslippass
