#include "systems/workload/job.hpp"

#include "systems/workload/json_writer.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr std::array phase_names{
    "queued", "running", "completed", "failed", "cancelled"};
constexpr std::array outcome_names{
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

job_phase parse_phase(const std::string& text)
{
    auto it = std::ranges::find(phase_names, text);
    if (it == phase_names.end())
        throw systems_error("bad_job", "unknown job state '" + text + "'");
    return static_cast<job_phase>(it - phase_names.begin());
}

} // namespace

const char* to_string(job_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

const char* to_string(run_outcome outcome)
{
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

job::job(job_id id, queue_id queue, team_id team, job_spec spec,
    std::uint32_t tasks_per_segment)
    : id_(std::move(id)), queue_(std::move(queue)), team_(std::move(team)),
      spec_(std::move(spec)), tasks_per_segment_(tasks_per_segment)
{
    step_offsets_.reserve(spec_.steps.size());
    for (const step_spec& it : spec_.steps)
    {
        step_offsets_.push_back(tasks_per_occurrence_);
        tasks_per_occurrence_ += it.task_count;
    }
    task_count_ = tasks_per_occurrence_ * spec_.get_occurrence_count();
}

bool job::is_ended() const
{
    return phase_ != job_phase::queued && phase_ != job_phase::running;
}

const step_spec& job::get_step(const task_key& key) const
{
    return spec_.steps.at(key.step);
}

const task_progress* job::find_task(const task_key& key) const
{
    auto step = steps_.find({key.occurrence, key.step});
    if (step == steps_.end())
        return nullptr;
    auto it = step->second.tasks.find(key.index);
    return it == step->second.tasks.end() ? nullptr : &it->second;
}

bool job::is_done(const task_key& key) const
{
    auto step = steps_.find({key.occurrence, key.step});
    return step != steps_.end() && step->second.done.contains(key.index);
}

bool job::is_step_done(std::uint32_t occurrence, std::uint32_t step) const
{
    auto it = steps_.find({occurrence, step});
    return it != steps_.end() &&
           it->second.done.size() == spec_.steps.at(step).task_count;
}

platform_time job::get_due_time(std::uint32_t occurrence) const
{
    if (spec_.repeat_count == 0)
        return platform_time(0);
    return platform_time(
        spec_.first_start.get() + occurrence * spec_.interval.count());
}

bool job::is_step_open(
    std::uint32_t occurrence, std::uint32_t step, platform_time now) const
{
    if (spec_.repeat_count > 0 && get_due_time(occurrence) > now)
        return false;
    return std::ranges::all_of(spec_.steps.at(step).after,
        [&](std::uint32_t before) { return is_step_done(occurrence, before); });
}

std::vector<task_key> job::list_waiting(platform_time now) const
{
    std::vector<task_key> out;
    if (is_ended())
        return out;
    for (std::uint32_t k = 0; k < spec_.get_occurrence_count(); ++k)
    {
        if (spec_.repeat_count > 0 && get_due_time(k) > now)
            break;
        for (std::uint32_t s = 0; s < spec_.steps.size(); ++s)
        {
            if (is_step_done(k, s) || !is_step_open(k, s, now))
                continue;
            auto step = steps_.find({k, s});
            for (std::uint32_t i = 0; i < spec_.steps[s].task_count; ++i)
            {
                task_key key{k, s, i};
                if (step != steps_.end() && step->second.done.contains(i))
                    continue;
                const task_progress* task = find_task(key);
                if (!task || !task->run)
                    out.push_back(key);
            }
        }
    }
    return out;
}

std::vector<task_key> job::list_running() const
{
    std::vector<task_key> out;
    for (const auto& [at, step] : steps_)
        for (const auto& [index, task] : step.tasks)
            if (task.run)
                out.push_back({at.first, at.second, index});
    return out;
}

run_number job::assign(
    const task_key& key, target_id target, std::optional<run_number> number)
{
    task_progress& task = steps_[{key.occurrence, key.step}].tasks[key.index];
    run_number next = number ? *number : run_number(task.last_number.get() + 1);
    task.last_number = next;
    task.run = task_run{next, std::move(target)};
    mark_segment_changed(key);
    return next;
}

void job::share_checkpoint(std::uint32_t occurrence, std::uint32_t step)
{
    std::map<std::uint32_t, task_progress>& tasks =
        steps_[{occurrence, step}].tasks;
    const task_progress* latest = nullptr;
    for (const auto& [index, it] : tasks)
        if (!it.saved.empty() && (!latest || it.saved_by > latest->saved_by))
            latest = &it;
    if (!latest)
        return;
    std::string saved = latest->saved;
    run_number saved_by = latest->saved_by;
    for (std::uint32_t i = 0; i < spec_.steps.at(step).task_count; ++i)
    {
        task_progress& it = tasks[i];
        it.saved = saved;
        it.saved_by = saved_by;
        mark_segment_changed({occurrence, step, i});
    }
}

bool job::record_start()
{
    if (phase_ != job_phase::queued)
        return false;
    phase_ = job_phase::running;
    return true;
}

std::uint64_t job::get_ordinal(const task_key& key) const
{
    return key.occurrence * tasks_per_occurrence_ + step_offsets_.at(key.step) +
           key.index;
}

std::uint32_t job::get_segment(const task_key& key) const
{
    return static_cast<std::uint32_t>(get_ordinal(key) / tasks_per_segment_);
}

job::index_range job::get_segment_indices(
    const step_key& step, std::uint32_t segment) const
{
    std::uint64_t first = get_ordinal({step.first, step.second, 0});
    std::uint64_t count = spec_.steps.at(step.second).task_count;
    std::uint64_t begin = std::uint64_t{segment} * tasks_per_segment_;
    auto to_index = [&](std::uint64_t ordinal)
    {
        return static_cast<std::uint32_t>(
            std::clamp(ordinal, first, first + count) - first);
    };
    return {to_index(begin), to_index(begin + tasks_per_segment_)};
}

void job::mark_segment_changed(const task_key& key)
{
    if (has_segments())
        changed_segments_.insert(get_segment(key));
}

std::set<std::uint32_t> job::take_changed_segments()
{
    return std::exchange(changed_segments_, {});
}

std::set<std::uint32_t> job::list_used_segments() const
{
    std::set<std::uint32_t> out;
    if (!has_segments())
        return out;
    for (const auto& [at, step] : steps_)
        for (const auto& [index, task] : step.tasks)
            out.insert(get_segment({at.first, at.second, index}));
    return out;
}

void job::mark_done(const task_key& key)
{
    mark_segment_changed(key);
    if (steps_[{key.occurrence, key.step}].done.insert(key.index).second)
        ++done_count_;
    if (done_count_ == task_count_ && !is_ended())
        phase_ = job_phase::completed;
}

void job::mark_gang_done(const task_key& member)
{
    std::uint32_t count = get_step(member).task_count;
    for (std::uint32_t i = 0; i < count; ++i)
        mark_done({member.occurrence, member.step, i});
}

bool job::record_late_done(const task_key& key, run_number number)
{
    const task_progress* task = find_task(key);
    if (!task || is_ended() || is_done(key) || number > task->last_number ||
        get_step(key).is_long_running)
        return false;
    if (get_step(key).is_gang)
        mark_gang_done(key);
    else
        mark_done(key);
    return true;
}

void job::count_failure(task_progress& task, std::uint32_t max_attempts)
{
    ++task.failures;
    if (task.failures >= max_attempts && !is_ended())
        phase_ = job_phase::failed;
}

bool job::record_run_end(const task_key& key, run_number number,
    run_outcome outcome, const std::string& saved, std::uint32_t max_attempts)
{
    auto step = steps_.find({key.occurrence, key.step});
    if (step == steps_.end())
        return false;
    auto it = step->second.tasks.find(key.index);
    if (it == step->second.tasks.end() || !it->second.run ||
        it->second.run->number != number)
        return false;
    task_progress& task = it->second;
    task.run.reset();
    mark_segment_changed(key);
    // A run that was stopped, or whose lease expired, may never have started.
    if (outcome != run_outcome::stopped &&
        outcome != run_outcome::lease_expired)
        record_start();
    const step_spec& spec = get_step(key);
    // A former run was done.
    if (step->second.done.contains(key.index))
        return true;
    if (!saved.empty() && get_json_string_size(saved) <= max_checkpoint_bytes)
    {
        task.saved = saved;
        if (spec.is_gang)
            task.saved_by = number;
    }
    if (outcome == run_outcome::done && !spec.is_long_running)
    {
        task.saved.clear();
        if (!spec.is_gang)
        {
            mark_done(key);
            return true;
        }
        // One reported end completes all members.
        for (auto& [index, member] : step->second.tasks)
            if (member.run && member.run->number == number)
                member.run.reset();
        mark_gang_done(key);
        return true;
    }
    if (outcome == run_outcome::failed && !spec.is_long_running)
        count_failure(task, max_attempts);
    return true;
}

bool job::cancel()
{
    if (is_ended())
        return false;
    phase_ = job_phase::cancelled;
    return true;
}

void job::append_progress(
    std::string& out, const step_progress& step, index_range indices)
{
    out += '[';
    const char* separator = "";
    for (auto it = step.done.lower_bound(indices.begin);
         it != step.done.end() && *it < indices.end; ++it)
    {
        out += separator + std::to_string(*it);
        separator = ",";
    }
    out += "],[";
    separator = "";
    for (auto it = step.tasks.lower_bound(indices.begin);
         it != step.tasks.end() && it->first < indices.end; ++it)
    {
        const auto& [index, task] = *it;
        // A task that is done never runs again, so its last run number is not
        // needed.
        if (step.done.contains(index) && !task.run)
            continue;
        out += separator;
        separator = ",";
        out += '[' + std::to_string(index) + ',' +
               std::to_string(task.last_number.get()) + ',' +
               std::to_string(task.failures) + ',';
        append_json_string(out, task.saved);
        out += ',';
        append_json_string(
            out, task.run ? task.run->target.get() : std::string());
        if (task.saved_by.get() != 0)
            out += ',' + std::to_string(task.saved_by.get());
        out += ']';
    }
    out += ']';
}

void job::append_steps(
    std::string& out, std::optional<std::uint32_t> segment) const
{
    out += '[';
    const char* separator = "";
    for (const auto& [at, step] : steps_)
    {
        index_range indices =
            segment ? get_segment_indices(at, *segment)
                    : index_range{0, spec_.steps.at(at.second).task_count};
        if (indices.begin == indices.end)
            continue;
        out += separator;
        separator = ",";
        out += '[' + std::to_string(at.first) + ',' +
               std::to_string(at.second) + ',';
        append_progress(out, step, indices);
        out += ']';
    }
    out += ']';
}

std::string job::encode_progress() const
{
    std::string out = "{\"state\":\"";
    out += to_string(phase_);
    out += '"';
    if (is_settled())
    {
        out += ",\"queue\":";
        append_json_string(out, queue_.get());
        out += ",\"team\":";
        append_json_string(out, team_.get());
        return out + '}';
    }
    if (has_segments())
        return out + '}';
    out += ",\"steps\":";
    append_steps(out, std::nullopt);
    return out + '}';
}

std::string job::encode_segment(std::uint32_t segment) const
{
    // With the phase in each segment, the end of a job is stored together with
    // the end of the run that caused it.
    std::string out = "{\"state\":\"";
    out += to_string(phase_);
    out += "\",\"steps\":";
    append_steps(out, segment);
    return out + '}';
}

bool job::is_settled() const
{
    return is_ended() && list_running().empty();
}

std::optional<job> job::decode_settled(
    const job_id& id, const std::string& text)
{
    try
    {
        json in = json::parse(text);
        if (!in.contains("queue"))
            return std::nullopt;
        job out(id, queue_id(in.at("queue").get<std::string>()),
            team_id(in.at("team").get<std::string>()), {});
        out.phase_ = parse_phase(in.at("state").get<std::string>());
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job", e.what());
    }
}

void job::decode_progress(const std::string& text,
    const std::map<std::uint32_t, std::string>& segments)
{
    steps_.clear();
    done_count_ = 0;
    phase_ = job_phase::queued;
    if (!text.empty())
        decode_steps(text);
    for (const auto& [number, segment] : segments)
        decode_steps(segment);
    if (has_segments())
        complete_done_gangs();
    changed_segments_.clear();
}

void job::complete_done_gangs()
{
    for (auto& [at, step] : steps_)
    {
        const step_spec& spec = spec_.steps.at(at.second);
        if (!spec.is_gang || step.done.empty())
            continue;
        for (std::uint32_t i = 0; i < spec.task_count; ++i)
        {
            step.tasks[i].run.reset();
            done_count_ += step.done.insert(i).second ? 1 : 0;
        }
    }
}

void job::decode_steps(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        // An older text has the same or an earlier phase.
        phase_ =
            std::max(phase_, parse_phase(in.at("state").get<std::string>()));
        // The text of a settled job has no steps.
        for (const json& it : in.value("steps", json::array()))
        {
            step_key at{
                it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint32_t>()};
            step_progress& step = steps_[at];
            for (const json& index : it.at(2))
                if (step.done.insert(index.get<std::uint32_t>()).second)
                    ++done_count_;
            for (const json& row : it.at(3))
            {
                task_progress& task =
                    step.tasks[row.at(0).get<std::uint32_t>()];
                task.last_number = run_number(row.at(1).get<std::uint64_t>());
                row.at(2).get_to(task.failures);
                row.at(3).get_to(task.saved);
                if (row.size() > 5)
                    task.saved_by = run_number(row.at(5).get<std::uint64_t>());
                auto target = row.at(4).get<std::string>();
                if (!target.empty())
                    task.run = task_run{task.last_number, target_id(target)};
            }
        }
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job", e.what());
    }
}

} // namespace cowslippass
