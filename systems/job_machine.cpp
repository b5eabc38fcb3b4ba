#include "systems/job_machine.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr milliseconds first_delay{1000};

job_change keep_live(const live_job& job, const job_row& next)
{
    auto key = next.get_live_key();
    return {{{{key, job.version}}, {{key, next.encode()}}}, next};
}

// The condition on the ended row guards against a second end, even if the
// version of the live row should be wrong.
job_change move_to_ended(const live_job& job, const job_row& next)
{
    auto live = next.get_live_key();
    auto ended = next.get_ended_key();
    return {{{{live, job.version}, {ended, row_version(0)}},
                {{live, std::nullopt}, {ended, next.encode()}}},
        next};
}

void forget_attempt(job_row& it)
{
    it.session = session_id();
    it.target = instance_id();
    it.task = task_id();
    it.start_before = target_time();
}

} // namespace

job_change job_machine::accept(
    const job_order& order, const data_centre_id& data_centre)
{
    job_row next;
    next.order = order;
    next.data_centre = data_centre;
    auto live = next.get_live_key();
    auto ended = next.get_ended_key();
    // A repeat of the acceptance must not revive a job that ended.
    return {{{{live, row_version(0)}, {ended, row_version(0)}},
                {{live, next.encode()}}},
        next};
}

std::optional<job_change> job_machine::move(
    const live_job& job, const data_centre_id& data_centre)
{
    if (job.value.state != job_state::queued)
        return std::nullopt;
    auto next = job.value;
    next.data_centre = data_centre;
    return keep_live(job, next);
}

std::optional<job_change> job_machine::start(const live_job& job,
    session_id session, const instance_id& target, const task_id& task,
    target_time start_before)
{
    bool may_start = job.value.state == job_state::queued &&
                     job.value.attempts < most_attempts;
    if (!may_start)
        return std::nullopt;
    auto next = job.value;
    next.state = job_state::running;
    ++next.attempts;
    next.delay = milliseconds(0);
    next.session = session;
    next.target = target;
    next.task = task;
    next.start_before = start_before;
    return keep_live(job, next);
}

std::optional<job_change> job_machine::finish(
    const live_job& job, const std::string& result)
{
    if (job.value.state != job_state::running)
        return std::nullopt;
    auto next = job.value;
    next.state = job_state::done;
    next.result = result;
    next.reason.clear();
    return move_to_ended(job, next);
}

std::optional<job_change> job_machine::fail_attempt(
    const live_job& job, const std::string& reason)
{
    if (job.value.state != job_state::running)
        return std::nullopt;
    if (job.value.attempts >= most_attempts)
        return park(job, reason);
    auto next = job.value;
    next.state = job_state::queued;
    next.delay = get_delay(next.attempts);
    next.reason = reason;
    forget_attempt(next);
    return keep_live(job, next);
}

std::optional<job_change> job_machine::withdraw_attempt(const live_job& job)
{
    if (job.value.state != job_state::running)
        return std::nullopt;
    auto next = job.value;
    next.state = job_state::queued;
    --next.attempts;
    next.delay = first_delay;
    forget_attempt(next);
    return keep_live(job, next);
}

std::optional<job_change> job_machine::park(
    const live_job& job, const std::string& reason)
{
    if (job.value.is_final())
        return std::nullopt;
    auto next = job.value;
    next.state = job_state::parked;
    next.reason = reason;
    return move_to_ended(job, next);
}

std::optional<job_change> job_machine::cancel(const live_job& job)
{
    if (job.value.is_final())
        return std::nullopt;
    auto next = job.value;
    next.state = job_state::cancelled;
    return move_to_ended(job, next);
}

std::optional<job_change> job_machine::adopt(
    const live_job& job, session_id session)
{
    if (job.value.state != job_state::running)
        return std::nullopt;
    auto next = job.value;
    next.session = session;
    return keep_live(job, next);
}

void job_machine::set_end_time(job_change& change, platform_time ended_at)
{
    if (!change.next.is_final())
        return;
    change.next.ended_at = ended_at;
    for (auto& it : change.request.writes)
        if (it.key == change.next.get_ended_key())
            it.value = change.next.encode();
}

std::vector<transaction> job_machine::cancel_all(
    const std::vector<live_job>& jobs)
{
    std::vector<transaction> result;
    std::size_t count = 0;
    for (const auto& job : jobs)
    {
        auto change = cancel(job);
        if (!change)
            continue;
        if (count++ % cancel_batch == 0)
            result.emplace_back();
        auto& all = result.back();
        for (auto& condition : change->request.conditions)
            all.conditions.push_back(std::move(condition));
        for (auto& write : change->request.writes)
            all.writes.push_back(std::move(write));
    }
    return result;
}

milliseconds job_machine::get_delay(std::uint32_t attempts)
{
    // 1, 4, 16 and 64 s: a fault of some seconds does not use up all attempts.
    auto exponent = std::clamp(attempts, 1U, most_attempts) - 1;
    return first_delay * (1 << (2 * exponent));
}

} // namespace cowslippass
