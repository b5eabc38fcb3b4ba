#include "main/job_keeper.hpp"

#include <algorithm>

// The runs of jobs: scans of owned pools, attempts, and take-overs.

namespace cowslippass
{

namespace
{

constexpr milliseconds scan_interval{1'000};
/// Jobs of one pool that wait or run here at once; the others stay rows.
constexpr std::size_t max_active_jobs = 1'000;
/// Time until a job is tried again that found no room in the entry; each try
/// reads its payload.
constexpr milliseconds full_pause{10'000};
/// A result that cannot be recorded for this long is left to be found on the
/// target by whoever takes over.
constexpr milliseconds commit_time_limit{300'000};

} // namespace

asio::awaitable<void> job_keeper::scan_loop()
{
    while (!is_stopping_)
    {
        co_await node_.sleep(scan_interval);
        if (!node_.may_start() || node_.is_leaving)
            continue;
        for (const auto& [pool, record] : node_.state.get_pools())
        {
            auto runner = find_runner_(pool);
            if (!runner || !runner->is_owned())
                continue;
            try
            {
                co_await scan_pool(runner);
            }
            catch (const error& e)
            {
                write_log(log_level::error, "job_keeper",
                    "a pool's jobs could not be read",
                    {{"code", e.get_code()},
                        {"reason", std::string(e.what())}});
            }
        }
    }
}

asio::awaitable<void> job_keeper::scan_pool(std::shared_ptr<pool_runner> runner)
{
    std::string prefix = "jobs/" + runner->get_pool().get() + "/";
    std::string after;
    while (active_.size() < max_active_jobs)
    {
        auto page = co_await node_.table.scan(prefix, after, rows_per_scan);
        if (!page)
            co_return;
        for (const auto& it : page->rows)
        {
            live_job job{job_row::decode(it.value), it.version};
            consider(runner, job);
            after = it.key;
        }
        if (!page->has_more)
            co_return;
    }
}

bool job_keeper::is_mine_to_move(const job_row& job) const
{
    auto places = list_places(job.order.pool);
    if (std::ranges::count(places, job.data_centre) > 0)
        return false;
    auto it = std::ranges::max_element(places, {},
        [&](const data_centre_id& place)
        { return hash_64(job.order.id.get() + "/" + place.get()); });
    return it != places.end() && *it == node_.config.data_centre;
}

bool job_keeper::is_held_back(const live_job& job)
{
    if (job.value.delay == milliseconds(0))
        return false;
    auto& seen = first_seen_[job.value.order.id];
    if (seen.first != job.version)
        seen = {job.version, get_now()};
    if (get_now() < seen.second + job.value.delay)
        return true;
    first_seen_.erase(job.value.order.id);
    return false;
}

void job_keeper::consider(
    const std::shared_ptr<pool_runner>& runner, const live_job& job)
{
    const job_row& row = job.value;
    if (active_.contains(row.order.id))
        return;
    bool is_here = row.data_centre == node_.config.data_centre;
    bool is_queued = row.state == job_state::queued;
    if (is_queued && !is_here)
    {
        if (is_mine_to_move(row))
            node_.spawn("job_keeper", [this, job] { return move_here(job); });
        return;
    }
    if (!is_here)
        return;
    if (is_queued)
    {
        bool may_start = node_.state.is_in_service(node_.config.data_centre) &&
                         !is_held_back(job);
        if (!may_start)
            return;
        active_.insert(row.order.id);
        node_.spawn(
            "job_keeper", [this, runner, job] { return launch(runner, job); });
        return;
    }
    bool is_own = row.session == node_.session;
    bool is_live = node_.state.get_sessions().contains(row.session);
    if (is_live && !is_own)
    {
        // A suspected session's task is kept alive until its fate is known.
        if (peers_.is_heard(row.session))
            runner->unwatch(row.target, row.task);
        else
            runner->watch(row.target, row.task);
        return;
    }
    active_.insert(row.order.id);
    node_.spawn(
        "job_keeper", [this, runner, job] { return take_over(runner, job); });
}

asio::awaitable<void> job_keeper::move_here(live_job job)
{
    auto held = std::make_shared<live_job>(job);
    auto change = job_machine::move(job, node_.config.data_centre);
    bool is_moved = co_await commit(held, std::move(change));
    if (is_moved)
        log_.write("move_job", "data_centre_out",
            {{"job", job.value.order.id}, {"from", job.value.data_centre},
                {"to", node_.config.data_centre}});
}

work_item job_keeper::make_item(const job_row& job, std::string payload) const
{
    work_item out;
    out.task.team = job.order.team;
    out.task.kind = queue_kind::slow;
    out.task.memory = job.order.memory;
    out.task.arrival = get_now();
    // The job id is unique, which a caller's request id is not.
    out.request = request_id(job.order.id.get());
    out.queue = job.order.queue;
    out.payload = std::move(payload);
    if (job.order.run_time > milliseconds(0))
        out.run_ms = std::to_string(job.order.run_time.count());
    return out;
}

std::function<asio::awaitable<std::optional<work_result>>(start_place)>
job_keeper::make_prepare(held_job held)
{
    return [this, held](
               start_place place) -> asio::awaitable<std::optional<work_result>>
    {
        live_job before = *held;
        // A start that a target refused does not count as an attempt.
        if (before.value.state == job_state::running)
            before.value = job_machine::withdraw_attempt(before)->next;
        auto change = job_machine::start(before, node_.session, place.target,
            place.task, place.start_before.time);
        bool is_committed = co_await commit(held, std::move(change));
        if (is_committed)
            co_return std::nullopt;
        co_return make_failure(503, "job_not_claimed",
            "the start of the job could not be recorded", run_answer::no);
    };
}

asio::awaitable<bool> job_keeper::commit(
    held_job held, std::optional<job_change> change)
{
    if (!change)
        co_return false;
    auto give_up = get_now() + commit_time_limit;
    job_machine::set_end_time(*change, node_.table.get_time());
    std::string key = change->next.get_live_key();
    while (get_now() < give_up)
    {
        transaction tx = change->request;
        auto result = co_await node_.table.commit(std::move(tx));
        if (result.outcome == transaction_outcome::committed)
        {
            held->value = change->next;
            auto it = result.versions.find(key);
            if (it != result.versions.end())
                held->version = it->second;
            co_return true;
        }
        if (result.outcome == transaction_outcome::conflict)
        {
            // Either another writer won, or an earlier try of this change
            // took effect although its reply was lost.
            found_job now;
            lookup looked = co_await read_job(change->next.order.id, now);
            if (looked != lookup::unavailable)
            {
                bool is_own = looked == lookup::found &&
                              now.job.value.encode() == change->next.encode();
                if (is_own)
                    *held = now.job;
                co_return is_own;
            }
        }
        co_await node_.sleep(commit_retry_interval);
    }
    co_return false;
}

asio::awaitable<void> job_keeper::launch(
    std::shared_ptr<pool_runner> runner, live_job job)
{
    auto held = std::make_shared<live_job>(job);
    auto payload = co_await node_.table.get_object(job.value.order.payload);
    if (payload)
    {
        work_item item = make_item(job.value, std::move(*payload));
        item.prepare_start = make_prepare(held);
        auto result = co_await runner->run(std::move(item));
        bool is_full = result.code == waiting_full_code;
        co_await settle(held, std::move(result));
        if (is_full)
            co_await node_.sleep(full_pause);
    }
    active_.erase(job.value.order.id);
}

asio::awaitable<void> job_keeper::record_result(
    held_job held, std::string bytes)
{
    std::string name = held->value.get_result_name();
    auto give_up = get_now() + commit_time_limit;
    bool is_stored = false;
    while (!is_stored && get_now() < give_up)
    {
        std::string copy = bytes;
        is_stored = co_await node_.table.put_object(name, std::move(copy));
        if (!is_stored)
            co_await node_.sleep(commit_retry_interval);
    }
    if (!is_stored)
        co_return;
    auto done = job_machine::finish(*held, name);
    co_await commit(held, std::move(done));
}

std::optional<job_change> job_keeper::choose_end(
    const live_job& job, const work_result& result) const
{
    if (result.code == oversized_code)
        return job_machine::park(job, result.message);
    if (result.run == run_answer::no || result.code == "preempted")
        return job_machine::withdraw_attempt(job);
    auto queue = node_.state.get_queues().find(job.value.order.queue);
    bool is_repeatable =
        queue != node_.state.get_queues().end() && queue->second.is_idempotent;
    if (is_repeatable)
        return job_machine::fail_attempt(job, result.message);
    return job_machine::park(
        job, "may have run, and must not run twice: " + result.message);
}

asio::awaitable<void> job_keeper::settle(held_job held, work_result result)
{
    if (result.is_success())
    {
        co_await record_result(held, std::move(result.payload));
        co_return;
    }
    // The row was changed by somebody else, who decides what comes next.
    if (result.code == "cancelled" || result.code == "job_not_claimed")
        co_return;
    // Nothing has changed for a job that only waited.
    if (result.code == waiting_full_code &&
        held->value.state == job_state::queued)
        co_return;
    auto change = choose_end(*held, result);
    bool is_committed = co_await commit(held, std::move(change));
    log_.write(get_name(held->value.state), result.code,
        {{"job", held->value.order.id}, {"team", held->value.order.team},
            {"attempts", held->value.attempts}, {"reason", result.message},
            {"recorded", is_committed}});
}

asio::awaitable<bool> job_keeper::adopt(
    std::shared_ptr<pool_runner> runner, held_job held)
{
    const job_row before = held->value;
    runner->watch(before.target, before.task);
    auto ended = observer_.observe_ended(before.session);
    bool is_granted =
        co_await grants_.adopt(before.session, before.order.team, ended);
    if (!is_granted)
        co_return false;
    auto change = job_machine::adopt(*held, node_.session);
    bool is_taken = co_await commit(held, std::move(change));
    if (!is_taken)
        grants_.give_back(before.order.team);
    else
        log_.write("adopt", "session_ended",
            {{"job", before.order.id}, {"task", before.task},
                {"target", before.target}, {"from", before.session}});
    co_return is_taken;
}

asio::awaitable<void> job_keeper::take_over(
    std::shared_ptr<pool_runner> runner, live_job job)
{
    auto held = std::make_shared<live_job>(job);
    const job_row row = job.value;
    bool is_own = row.session == node_.session;
    request_id request(row.order.id.get());
    auto report = co_await runner->query_task(row.target, row.task);
    bool is_running = report && report->state == target_task_state::running;
    bool is_done = report && report->state == target_task_state::done;
    // Without an answer the task may run until its lease has surely lapsed.
    bool is_gone = (report && !is_running && !is_done) ||
                   get_now() > grant_ledger::get_ended_session_release_time(
                                   observer_.observe_ended(row.session));
    if (is_done)
    {
        auto bytes =
            co_await runner->fetch_result(row.target, row.task, request);
        if (bytes)
            co_await record_result(held, std::move(*bytes));
    }
    // An own task that nothing here follows any more is left to lapse.
    else if (is_running && !is_own)
    {
        bool is_adopted = co_await adopt(runner, held);
        if (is_adopted)
        {
            work_item item = make_item(row, {});
            item.task.id = row.task;
            auto result = co_await runner->adopt(std::move(item), row.target);
            co_await settle(held, std::move(result));
        }
    }
    else if (is_gone)
    {
        work_result lost = make_failure(502, "task_lost",
            "the session that ran it ended, and its task with it",
            run_answer::unknown);
        co_await settle(held, std::move(lost));
    }
    active_.erase(row.order.id);
}

} // namespace cowslippass
