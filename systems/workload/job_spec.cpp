#include "systems/workload/job_spec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// Upper bound on the tasks of one job over all its occurrences, and thereby on
/// the work of a planning round and on the rows of the ledger.
constexpr std::uint32_t max_tasks = 10'000;
/// Upper bound on each resource of a task: a million cores. Sums over the tasks
/// of all jobs that fit into memory do not overflow.
constexpr std::int64_t max_need = 1'000'000'000;
/// Upper bound on estimates and other durations of a task: about a year.
constexpr milliseconds max_duration = std::chrono::hours(24 * 366);
/// Upper bound on times of the schedule, in milliseconds since 1970 or between
/// two occurrences. The time of the last occurrence does not overflow.
constexpr std::int64_t max_schedule_time = std::int64_t{1} << 48;

/// Encodes a step as an array with a fixed order of columns, as the names of
/// the fields would take most of the bytes.
json encode_step(const step_spec& it)
{
    return json::array({it.task_count, it.need.processor, it.need.memory,
        it.need.accelerators, it.estimate.count(), it.after,
        it.saves_checkpoints, it.is_gang, it.prefers_one_rack,
        it.required_label, it.data_rack.get(), it.max_per_target,
        it.allows_speculative_runs, it.is_long_running, it.image,
        it.tail_latency_limit.count(), it.is_best_effort, it.max_unavailable});
}

/// Reads the columns in the order in which `encode_step` writes them.
step_spec decode_step(const json& row)
{
    step_spec out;
    std::size_t i = 0;
    auto read = [&](auto& member) { row.at(i++).get_to(member); };
    auto read_time = [&](milliseconds& member)
    { member = milliseconds(row.at(i++).get<std::int64_t>()); };
    read(out.task_count);
    read(out.need.processor);
    read(out.need.memory);
    read(out.need.accelerators);
    read_time(out.estimate);
    read(out.after);
    read(out.saves_checkpoints);
    read(out.is_gang);
    read(out.prefers_one_rack);
    read(out.required_label);
    out.data_rack = rack_id(row.at(i++).get<std::string>());
    read(out.max_per_target);
    read(out.allows_speculative_runs);
    read(out.is_long_running);
    read(out.image);
    read_time(out.tail_latency_limit);
    read(out.is_best_effort);
    read(out.max_unavailable);
    return out;
}

} // namespace

resources& resources::operator+=(const resources& other)
{
    processor += other.processor;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    processor -= other.processor;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::holds(const resources& need) const
{
    return processor >= need.processor && memory >= need.memory &&
           accelerators >= need.accelerators;
}

resources operator+(resources left, const resources& right)
{
    return left += right;
}

resources operator-(resources left, const resources& right)
{
    return left -= right;
}

resources operator*(resources amount, std::int64_t factor)
{
    return {amount.processor * factor, amount.memory * factor,
        amount.accelerators * factor};
}

resources step_spec::get_counted_need() const
{
    resources out = need;
    if (is_best_effort)
        out.processor = 0;
    return out;
}

std::uint32_t step_spec::get_interruption_budget() const
{
    return std::max(1U, max_unavailable);
}

std::uint32_t job_spec::get_occurrence_count() const
{
    return repeat_count == 0 ? 1 : repeat_count;
}

std::string encode_job_spec(const job_spec& spec)
{
    json steps = json::array();
    for (const step_spec& it : spec.steps)
        steps.push_back(encode_step(it));
    json out{{"payload", spec.payload}, {"steps", std::move(steps)}};
    if (spec.repeat_count > 0)
        out["schedule"] = {
            spec.repeat_count, spec.first_start.get(), spec.interval.count()};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

job_spec decode_job_spec(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        job_spec out;
        in.at("payload").get_to(out.payload);
        for (const json& it : in.at("steps"))
            out.steps.push_back(decode_step(it));
        if (auto it = in.find("schedule"); it != in.end())
        {
            it->at(0).get_to(out.repeat_count);
            out.first_start = platform_time(it->at(1).get<std::int64_t>());
            out.interval = milliseconds(it->at(2).get<std::int64_t>());
        }
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job", e.what());
    }
}

void check_job_spec(const job_spec& spec)
{
    auto fail = [](const std::string& message)
    { throw systems_error("bad_job", message); };
    auto check_range =
        [&](const std::string& name, std::int64_t value, std::int64_t max)
    {
        if (value < 0 || value > max)
            fail(name + " is not from 0 to " + std::to_string(max));
    };
    if (spec.steps.empty())
        fail("the job has no steps");
    check_range("the time of the first occurrence", spec.first_start.get(),
        max_schedule_time);
    check_range("the time between occurrences", spec.interval.count(),
        max_schedule_time);
    const std::uint64_t max_tasks_per_occurrence =
        max_tasks / spec.get_occurrence_count();
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        const step_spec& it = spec.steps[i];
        std::string name = "step " + std::to_string(i);
        if (it.task_count == 0)
            fail(name + " has no tasks");
        check_range(name + ": processor", it.need.processor, max_need);
        check_range(name + ": memory", it.need.memory, max_need);
        check_range(name + ": accelerators", it.need.accelerators, max_need);
        check_range(
            name + ": estimate", it.estimate.count(), max_duration.count());
        check_range(name + ": latency limit", it.tail_latency_limit.count(),
            max_duration.count());
        for (std::uint32_t before : it.after)
            if (before >= i)
                fail(name + " waits for a step that is not before it");
        // Neither the sum nor a product with the occurrences can overflow.
        tasks += it.task_count;
        if (tasks > max_tasks_per_occurrence)
            fail("the job has more than " + std::to_string(max_tasks) +
                 " tasks");
    }
}

} // namespace cowslippass
