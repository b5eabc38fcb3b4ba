#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cowslippass
{

/// What a task takes of a target, or what a target offers.
struct resources
{
    std::int64_t processor = 0; ///< Thousandths of a core.
    std::int64_t memory = 0;    ///< Megabytes.
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;
    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);

    /// @return whether `need` fits into this.
    bool holds(const resources& need) const;
};

resources operator+(resources a, const resources& b);
resources operator-(resources a, const resources& b);
resources operator*(resources a, std::int64_t n);

/// Equal tasks of one job.
struct step_spec
{
    std::uint32_t task_count = 1;
    resources need;           ///< Of each task.
    milliseconds estimate{0}; ///< Rough duration of a task; may be far off.
    /// Earlier steps all of whose tasks must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool saves_checkpoints = false;
    /// The tasks only work together.
    bool is_gang = false;
    /// The tasks of a gang run slowly on more than one rack.
    bool prefers_one_rack = false;
    std::string required_label;
    rack_id data_rack; ///< Tasks run slowly on other racks; may be empty.
    std::uint32_t max_per_target = 0; ///< 0 for no bound.
    bool allows_speculative_runs = false;
    /// The tasks run until the job is cancelled.
    bool is_long_running = false;
    std::string image;                  ///< Tasks of one image behave alike.
    milliseconds tail_latency_limit{0}; ///< Bound on the tasks' response times.
    /// The tasks use what processor others leave; it is not counted.
    bool is_best_effort = false;
    /// How many tasks may be away because of the system's own orders.
    std::uint32_t max_unavailable = 0;

    /// @return the need that counts against a target's capacity.
    resources get_counted_need() const;
};

/// A job as its caller submitted it; never changes.
struct job_spec
{
    std::string payload; ///< Handed to every task.
    std::vector<step_spec> steps;
    std::uint32_t repeat_count = 0; ///< 0 for a job without a schedule.
    platform_time first_start;
    milliseconds interval{0};

    std::uint32_t get_occurrence_count() const;
};

/// Names one task of a job.
struct task_key
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_key&) const = default;
};

/// Number of one run of a task; starts at 1 and rises.
using run_number = strong_id<struct run_number_tag, std::uint64_t>;
/// One life of a target.
using target_id = strong_id<struct target_tag, std::string>;

/// @return JSON text for the job's row and for the way between entries.
std::string encode_job_spec(const job_spec& spec);

/// @throws systems_error (`bad_job`) when the text is not such a job.
job_spec decode_job_spec(const std::string& text);

/// @throws systems_error (`bad_job`) with a sentence that names the step when
///   no deployment could ever run the job.
void check_job_spec(const job_spec& spec);

} // namespace cowslippass
