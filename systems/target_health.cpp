#include "systems/target_health.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cowslippass
{

namespace
{

/// A target is quarantined when the probability that its failures are due to
/// chance is below about 1 in 1,000 (e to the power of -7).
constexpr double evidence_limit = 7.0;

/// Evidence that one success removes. With less than 1, a healthy target would
/// slowly accumulate evidence in a pool where half of the tasks fail.
constexpr double success_evidence = 2.0;

/// Evidence added for a failure when the same task succeeds on another target.
constexpr double contrast_evidence = 3.0;

/// Bounds of the failure rate that is assumed for the other targets. At the
/// lower bound one failure adds evidence of 3.0, and three failures suffice.
constexpr double min_failure_rate = 0.05;
constexpr double max_failure_rate = 0.95;

/// Weight of the newest task in the failure rate of a target. When all tasks
/// begin to fail, the rates have to rise before the evidence reaches its limit;
/// with 0.25 the evidence of an unbroken series of failures stays below 7.
constexpr double failure_rate_weight = 0.25;

/// A task is bad once it has failed on this many healthy targets that count as
/// credible.
constexpr std::size_t min_credible_targets = 3;

/// A target is credible only if the evidence from other tasks is lower.
constexpr double max_credible_evidence = evidence_limit / 2;

/// A task is bad once it has failed on this many targets, whatever their state;
/// a job gets no more attempts either.
constexpr std::size_t max_failed_targets = 5;

/// Successes that end a probation, after a quarantine for failures and for
/// silence. Silence says nothing about whether tasks fail on the target.
constexpr std::uint32_t successes_after_failures = 3;
constexpr std::uint32_t successes_after_silence = 1;

/// Length of the first quarantine, and the longest after relapses.
constexpr milliseconds first_quarantine{10'000};
constexpr milliseconds longest_quarantine{600'000};

/// Evidence at the start of a probation: half of the limit, so that two
/// failures suffice for another quarantine.
constexpr double probation_evidence = 3.5;

/// A target that was silent has to answer for this long before it gets tasks.
constexpr milliseconds min_answering_time{2000};

/// A fault of a target that has been healthy for longer is no relapse; its
/// quarantine has the first length again.
constexpr milliseconds relapse_window{600'000};

/// Maximum number of failed tasks that are kept; each takes about 200 bytes.
constexpr std::size_t max_failed_tasks = 10'000;

} // namespace

const char* to_string(health_rule rule)
{
    static constexpr std::array<const char*, 6> names{
        "fails_what_succeeds_elsewhere", "silent", "budget_used_up",
        "pause_over", "answers_again", "proved_sound"};
    return names.at(static_cast<std::size_t>(rule));
}

void target_health::set_target(const instance_id& id)
{
    targets_.try_emplace(id);
}

void target_health::remove_target(const instance_id& id)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    failure_rate_sum_ -= it->second.failure_rate;
    targets_.erase(it);
    pending_evaluations_.erase(id);
    quarantined_.erase(id);
}

void target_health::on_task_end(const task_id& task, const instance_id& target,
    task_outcome outcome, monotonic_time now)
{
    auto it = targets_.find(target);
    if (it == targets_.end())
        return;
    if (outcome == task_outcome::done)
        on_success(task, target, it->second, now);
    if (outcome == task_outcome::failed)
        on_failure(task, target, it->second);
}

void target_health::forget_task(const task_id& task)
{
    failures_.erase(task);
}

void target_health::on_silent(const instance_id& target, monotonic_time)
{
    auto it = targets_.find(target);
    if (it == targets_.end() || it->second.is_silent)
        return;
    it->second.is_silent = true;
    pending_evaluations_.insert(target);
}

void target_health::on_answer(const instance_id& target, monotonic_time now)
{
    auto it = targets_.find(target);
    if (it == targets_.end() || !it->second.is_silent)
        return;
    it->second.is_silent = false;
    it->second.probation_time =
        std::max(it->second.probation_time, now + min_answering_time);
}

health_decisions target_health::tick(
    monotonic_time now, const availability_check& may_quarantine)
{
    health_decisions out;
    out.bad_tasks = std::exchange(bad_tasks_, {});
    for (const instance_id& id : std::exchange(pending_evaluations_, {}))
        evaluate_target(id, now, may_quarantine, out);
    for (const instance_id& id : std::set<instance_id>(quarantined_))
    {
        target_row& row = targets_.at(id);
        if (row.is_silent || row.probation_time > now)
            continue;
        row.evidence = probation_evidence;
        row.probation_successes = 0;
        change_state(id, row, target_health_state::probation,
            row.is_quarantined_for_silence ? health_rule::answers_again
                                           : health_rule::quarantine_expired,
            out);
    }
    return out;
}

void target_health::evaluate_target(const instance_id& id, monotonic_time now,
    const availability_check& may_quarantine, health_decisions& out)
{
    target_row& row = targets_.at(id);
    if (row.state == target_health_state::quarantined)
        return;
    if (row.is_silent || row.evidence >= evidence_limit)
    {
        quarantine_target(id, row, now, may_quarantine, out);
        return;
    }
    if (!has_passed_probation(row))
        return;
    row.probation_successes = 0;
    row.healthy_since = now;
    change_state(id, row, target_health_state::healthy,
        health_rule::probation_passed, out);
    row.failures = 0;
}

target_health_state target_health::get_state(const instance_id& target) const
{
    auto it = targets_.find(target);
    return it == targets_.end() ? target_health_state::healthy
                                : it->second.state;
}

void target_health::on_success(const task_id& task, const instance_id& target,
    target_row& row, monotonic_time)
{
    retry_budget_.on_success();
    update_failure_rate(row, 0.0);
    row.has_succeeded = true;
    row.evidence = std::max(0.0, row.evidence - success_evidence);
    ++row.probation_successes;
    if (has_passed_probation(row))
        pending_evaluations_.insert(target);
    auto it = failures_.find(task);
    if (it == failures_.end())
        return;
    for (const failure& earlier : it->second)
    {
        auto blamed = targets_.find(earlier.target);
        if (blamed != targets_.end() && earlier.target != target)
            add_evidence(blamed->first, blamed->second, contrast_evidence);
    }
    failures_.erase(it);
}

void target_health::on_failure(
    const task_id& task, const instance_id& target, target_row& row)
{
    double elsewhere = get_rate_elsewhere(row);
    double evidence =
        -std::log(std::clamp(elsewhere, min_failure_rate, max_failure_rate));
    update_failure_rate(row, 1.0);
    ++row.failures;
    row.probation_successes = 0;
    auto [it, is_new] = failures_.try_emplace(task);
    if (is_new)
        failure_order_.push_back(task);
    auto& failures = it->second;
    bool is_known = std::any_of(failures.begin(), failures.end(),
        [&](const failure& earlier) { return earlier.target == target; });
    // A second failure of the same task on the same target is no evidence.
    if (!is_known)
    {
        failures.push_back(
            {target, evidence, row.state == target_health_state::healthy});
        add_evidence(target, row, evidence);
        evaluate_task(task);
    }
    while (failure_order_.size() > max_failed_tasks)
    {
        failures_.erase(failure_order_.front());
        failure_order_.pop_front();
    }
}

bool target_health::has_passed_probation(const target_row& row)
{
    std::uint32_t needed = row.is_quarantined_for_silence
                               ? successes_after_silence
                               : successes_after_failures;
    return row.state == target_health_state::probation &&
           row.probation_successes >= needed;
}

void target_health::update_failure_rate(target_row& row, double sample)
{
    double step = failure_rate_weight * (sample - row.failure_rate);
    row.failure_rate += step;
    failure_rate_sum_ += step;
}

double target_health::get_rate_elsewhere(const target_row& row) const
{
    // Each target counts once. In an average over tasks, a target that fails
    // quickly, and therefore gets most tasks, would hide its own fault.
    if (targets_.size() < 2)
        return max_failure_rate;
    return (failure_rate_sum_ - row.failure_rate) / (targets_.size() - 1.0);
}

void target_health::add_evidence(
    const instance_id& id, target_row& row, double evidence)
{
    row.evidence += evidence;
    if (row.evidence >= evidence_limit)
        pending_evaluations_.insert(id);
}

void target_health::evaluate_task(const task_id& task)
{
    auto it = failures_.find(task);
    if (!has_failed_on_credible_targets(it->second))
        return;
    bad_task report{task, {}};
    for (const failure& earlier : it->second)
    {
        report.targets.push_back(earlier.target);
        auto target = targets_.find(earlier.target);
        if (target == targets_.end())
            continue;
        target_row& row = target->second;
        row.evidence = std::max(0.0, row.evidence - earlier.evidence);
    }
    bad_tasks_.push_back(std::move(report));
    failures_.erase(it);
}

bool target_health::has_failed_on_credible_targets(
    const std::vector<failure>& failures) const
{
    if (failures.size() >= max_failed_targets)
        return true;
    auto is_credible = [&](const failure& failure)
    {
        auto it = targets_.find(failure.target);
        if (it == targets_.end() || !failure.is_target_healthy)
            return false;
        const target_row& row = it->second;
        return row.state == target_health_state::healthy && row.has_succeeded &&
               row.evidence - failure.evidence < max_credible_evidence;
    };
    auto count = std::count_if(failures.begin(), failures.end(), is_credible);
    return static_cast<std::size_t>(count) >= min_credible_targets;
}

void target_health::quarantine_target(const instance_id& id, target_row& row,
    monotonic_time now, const availability_check& may_quarantine,
    health_decisions& out)
{
    bool is_on_probation = row.state == target_health_state::probation;
    row.is_quarantined_for_silence = row.is_silent;
    if (!may_quarantine(id))
    {
        // On probation at most one idempotent task at a time can be affected.
        row.evidence = probation_evidence;
        row.probation_successes = 0;
        if (row.is_silent)
            pending_evaluations_.insert(id);
        if (!is_on_probation)
            change_state(id, row, target_health_state::probation,
                health_rule::budget_used_up, out);
        return;
    }
    bool is_relapse =
        row.quarantine_time.count() > 0 &&
        (is_on_probation || now - row.healthy_since < relapse_window);
    row.has_succeeded = false;
    row.quarantine_time =
        is_relapse ? std::min(row.quarantine_time * 2, longest_quarantine)
                   : first_quarantine;
    // The quarantine of a silent target ends when it answers.
    row.probation_time = row.is_silent ? now : now + row.quarantine_time;
    change_state(id, row, target_health_state::quarantined,
        row.is_silent ? health_rule::silent
                      : health_rule::fails_what_succeeds_elsewhere,
        out);
}

void target_health::change_state(const instance_id& id, target_row& row,
    target_health_state state, health_rule rule, health_decisions& out)
{
    row.state = state;
    if (state == target_health_state::quarantined)
        quarantined_.insert(id);
    else
        quarantined_.erase(id);
    out.changes.push_back({id, state, rule, row.evidence, row.failures});
}

} // namespace cowslippass
