#include "drivers/metrics.hpp"
#include "main/entryd/coordinator_runner_internal.hpp"
#include "systems/coordination/outage_policy.hpp"

namespace cowslippass
{

namespace
{

/// Time between attempts to take back a submission that is being sent.
constexpr milliseconds withdrawal_retry_interval{40};

/// @return 0 if the deadline has passed.
milliseconds get_time_left(boot_time deadline)
{
    return std::max(
        milliseconds(0), to_milliseconds(deadline - boot_clock::now()));
}

} // namespace

bool coordinator_runner::is_store_away() const
{
    return get_renewal_age() >= outage_age;
}

peer_coordinator_reply coordinator_runner::refuse_in_outage(
    const job_id& id, boot_time deadline)
{
    peer_coordinator_reply reply;
    reply.result = coordinator_result::refused;
    reply.retry_after =
        get_outage_retry_delay(get_time_left(deadline), get_renewal_age());
    metrics_.add("cowslippass_outage_refusals_total");
    coordinator_log.write("refuse", "store_away",
        {{"job", id}, {"renewed_age_ms", get_renewal_age().count()},
            {"retry_after_ms", reply.retry_after.count()}});
    return reply;
}

bool coordinator_runner::withdraw_submission(const job_id& id)
{
    if (!is_request_under_way_)
        ledger_.recall_batch();
    if (!ledger_.withdraw(ledger_table::jobs, id.get()))
        return false;
    // Rows of progress are put after the job's main row, so that none of them
    // has been sent either.
    if (const job* owner = coordinator_.find_job(id))
        for (std::uint32_t it : owner->list_used_segments())
            ledger_.withdraw(
                ledger_table::progress, encode_job_row_key({id, it}));
    ledger_.withdraw(ledger_table::progress, id.get());
    // Parts come first and may have been written. Without the main row they
    // mean nothing.
    if (auto parts = record_parts_.extract(id))
        for (std::uint32_t it : parts.mapped())
            if (!ledger_.withdraw(
                    ledger_table::jobs, encode_job_row_key({id, it})))
                ledger_.erase(ledger_table::jobs, encode_job_row_key({id, it}));
    coordinator_.withdraw_job(id);
    return true;
}

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
        // The entry that handed it in may be of another version.
        check_job_spec(record.spec);
    }
    catch (const systems_error& e)
    {
        decode_error = e.what();
    }
    if (coordinator_.get_tombstones().contains(call.job))
    {
        // A successor accepts the submission unless it finds the tombstone.
        reply.result = co_await wait_until_durable(deadline)
                           ? coordinator_result::cancelled
                           : coordinator_result::not_coordinator;
        co_return reply;
    }
    // The store would reject the job's rows again.
    if (rejected_jobs_.contains(call.job))
    {
        reply.result = co_await wait_until_confirmed(deadline)
                           ? coordinator_result::invalid
                           : coordinator_result::not_coordinator;
        co_return reply;
    }
    if (decode_error)
    {
        write_log(log_level::warn, "coordinator", "cannot decode a submission",
            {{"job", call.job}, {"why", *decode_error}});
        reply.result = coordinator_result::invalid;
        co_return reply;
    }
    bool is_known = coordinator_.find_job(call.job) != nullptr;
    if (settings_.refuse_in_outage && !is_known && is_store_away() &&
        may_return_in_time(get_time_left(deadline)))
        co_return refuse_in_outage(call.job, deadline);
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
    std::uint64_t acceptance = coordinator_.get_acceptance_number(call.job);
    bool may_withdraw =
        settings_.refuse_in_outage && outcome == submit_outcome::added;
    // Observed once: a later wait would be for the rows that others have put
    // since then, too.
    auto is_stored = std::make_shared<bool>(false);
    ledger_.when_durable([is_stored] { *is_stored = true; });
    bool is_durable = co_await wait_until_durable(
        may_withdraw ? boot_clock::now() +
                           get_outage_holding_time(get_time_left(deadline))
                     : deadline);
    while (!*is_stored && !is_over_ && may_withdraw &&
           boot_clock::now() < deadline)
    {
        if (withdraw_submission(call.job))
            co_return refuse_in_outage(call.job, deadline);
        // The store may refuse the transaction that contains the rows.
        co_await sleep(withdrawal_retry_interval);
    }
    is_durable = is_durable || *is_stored;
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
    // The same submission came twice, and the call that added it has withdrawn
    // it meanwhile. This one did nothing, and may add it anew.
    if (coordinator_.get_acceptance_number(call.job) != acceptance)
    {
        reply.result = coordinator_result::not_coordinator;
        reply.was_not_executed = true;
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
    bool is_known = false;
    bool is_durable = false;
    bool is_withdrawn = false;
    do
    {
        boot_time now = boot_clock::now();
        is_known = coordinator_.cancel(call.job, now);
        if (is_known)
            put_changed_rows();
        else if (!put_tombstone(call.job, call.team))
        {
            reply.result = coordinator_result::refused;
            reply.retry_after =
                coordinator_.get_tombstones().get_retry_delay(now);
            co_return reply;
        }
        wake();
        is_durable = co_await wait_until_durable(deadline) &&
                     !held_jobs_.contains(call.job);
        // A submission that could not be stored may have been withdrawn, and
        // its cancellation with it.
        is_withdrawn = is_known && !coordinator_.find_job(call.job);
    } while (is_durable && is_withdrawn && !is_over_);
    coordinator_log.write("cancel", is_known ? "asked_by_caller" : "unknown",
        {{"job", call.job}, {"durable", is_durable}});
    reply.result = !is_durable || is_over_ ? coordinator_result::not_coordinator
                   : is_known              ? coordinator_result::done
                                           : coordinator_result::unknown_job;
    co_return reply;
}

bool coordinator_runner::put_tombstone(const job_id& id, const team_id& team)
{
    if (!coordinator_.get_tombstones().add(id, team, boot_clock::now()))
    {
        metrics_.add("cowslippass_refused_cancellations_total");
        return false;
    }
    ledger_.put(ledger_table::progress, id.get(), encode_tombstone(team));
    return true;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::get_status(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    auto find = [&]
    {
        const job* it = coordinator_.find_job(call.job);
        return it && it->get_queue() == call.queue ? it : nullptr;
    };
    if (!find() && !co_await wait_until_confirmed(deadline))
    {
        reply.result = coordinator_result::not_coordinator;
        co_return reply;
    }
    const job* it = find();
    reply.result =
        it ? coordinator_result::done : coordinator_result::unknown_job;
    if (!it)
        co_return reply;
    // The end of a job is reported only once it is durable; until then the job
    // counts as running.
    put_changed_rows();
    auto phase = static_cast<std::uint8_t>(it->get_phase());
    if (it->is_ended() && !durably_ended_jobs_.contains(call.job) &&
        (!co_await wait_until_durable(deadline) ||
            held_jobs_.contains(call.job)))
        phase = static_cast<std::uint8_t>(job_phase::running);
    reply.phase = phase;
    co_return reply;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::count(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    bool is_confirmed = co_await wait_until_confirmed(deadline);
    reply.result = is_confirmed ? coordinator_result::done
                                : coordinator_result::not_coordinator;
    reply.count = coordinator_.count_queued(call.queue);
    co_return reply;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::handle(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    // A successor may answer callers already.
    bool is_probe = call.operation == coordinator_operation::probe;
    bool is_ended = is_over_ || (ledger_.may_be_released() && !is_probe);
    reply.was_not_executed = is_ended;
    if (!is_ended)
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
            reply = co_await get_status(std::move(call), deadline);
            break;
        case coordinator_operation::count:
            reply = co_await count(std::move(call), deadline);
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
