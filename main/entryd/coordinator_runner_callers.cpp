#include "drivers/metrics.hpp"
#include "main/entryd/coordinator_runner_internal.hpp"

namespace cowslippass
{

asio::awaitable<peer_coordinator_reply> coordinator_runner::submit(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    job_record record;
    std::optional<std::string> decode_error;
    try
    {
        record = {
            call.queue, call.team, get_wall_time(), decode_job_spec(call.spec)};
    }
    catch (const systems_error& e)
    {
        decode_error = e.what();
    }
    // The store would reject the job's rows again.
    if (rejected_jobs_.contains(call.job))
    {
        reply.result = coordinator_result::invalid;
        co_return reply;
    }
    if (decode_error)
    {
        write_log(log_level::warn, "coordinator", "cannot decode a submission",
            {{"job", call.job}, {"why", *decode_error}});
        reply.result = coordinator_result::invalid;
        co_return reply;
    }
    if (auto retry_after = refuse_submission(call.job, record))
    {
        reply.result = coordinator_result::refused;
        reply.retry_after = *retry_after;
        co_return reply;
    }
    record.tasks_per_segment =
        choose_tasks_per_segment(record.spec, settings_.store_row_bytes);
    job_row_values rows =
        split_job_record(encode_job_record(record), settings_.store_row_bytes);
    auto outcome =
        coordinator_.submit(call.job, std::move(record), boot_clock::now());
    if (outcome == submit_outcome::added)
    {
        put_changed_queues();
        for (auto& [part, value] : rows.parts)
        {
            record_parts_[call.job].insert(part);
            ledger_.put(ledger_table::jobs,
                encode_job_row_key({call.job, part}), std::move(value));
        }
        ledger_.put(ledger_table::jobs, call.job.get(), std::move(rows.main));
        wake();
    }
    bool is_durable = co_await wait_until_durable(deadline);
    if (!is_durable || is_over_)
    {
        // Only the next coordinator will know whether the row was written.
        reply.result = coordinator_result::not_coordinator;
        co_return reply;
    }
    if (rejected_jobs_.contains(call.job))
    {
        reply.result = coordinator_result::invalid;
        co_return reply;
    }
    coordinator_log.write("accept",
        outcome == submit_outcome::added ? "new" : "submitted_before",
        {{"job", call.job}, {"queue", call.queue}, {"team", call.team},
            {"term", head_.term}});
    reply.result = coordinator_result::done;
    co_return reply;
}

std::optional<milliseconds> coordinator_runner::refuse_submission(
    const job_id& id, const job_record& record)
{
    // Only under a valid term is it certain that no other coordinator has
    // accepted the job.
    if (!has_valid_term())
        return std::nullopt;
    auto out = coordinator_.decide_refusal(id, record, boot_clock::now());
    if (!out)
        return out;
    metrics_.add("cowslippass_refused_jobs_total",
        {{"queue", record.queue.get()}, {"team", record.team.get()}});
    ++refused_jobs_to_log_[{record.queue, record.team}];
    return out;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::cancel(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    if (!coordinator_.cancel(call.job, boot_clock::now()))
    {
        reply.result = coordinator_result::unknown_job;
        co_return reply;
    }
    put_changed_rows();
    wake();
    bool is_durable =
        co_await wait_until_durable(deadline) && !held_jobs_.contains(call.job);
    coordinator_log.write("cancel", "asked_by_caller",
        {{"job", call.job}, {"durable", is_durable}});
    reply.result = is_durable && !is_over_
                       ? coordinator_result::done
                       : coordinator_result::not_coordinator;
    co_return reply;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::handle(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    if (!is_over_)
    {
        switch (call.operation)
        {
        case coordinator_operation::submit:
            reply = co_await submit(std::move(call), deadline);
            break;
        case coordinator_operation::cancel:
            reply = co_await cancel(std::move(call), deadline);
            break;
        case coordinator_operation::status:
        {
            const job* it = coordinator_.find_job(call.job);
            reply.result = it && it->get_queue() == call.queue
                               ? coordinator_result::done
                               : coordinator_result::unknown_job;
            // The end of a job is reported only once it is durable; until then
            // the job counts as running.
            if (reply.result != coordinator_result::done)
                break;
            put_changed_rows();
            auto phase = static_cast<std::uint8_t>(it->get_phase());
            if (it->is_ended() && !durably_ended_jobs_.contains(call.job) &&
                (!co_await wait_until_durable(deadline) ||
                    held_jobs_.contains(call.job)))
                phase = static_cast<std::uint8_t>(job_phase::running);
            reply.phase = phase;
            break;
        }
        case coordinator_operation::count:
            reply.result = coordinator_result::done;
            reply.count = coordinator_.count_queued(call.queue);
            break;
        case coordinator_operation::probe:
            reply.result = coordinator_result::done;
            break;
        }
    }
    reply.renewal_age = get_renewal_age();
    co_return reply;
}

} // namespace cowslippass
