#include "main/job_keeper.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds scan_interval{1'000};
constexpr std::size_t rows_per_scan = 500;
/// Jobs of one pool that wait or run here at once; the others stay rows.
constexpr std::size_t max_active_jobs = 1'000;
constexpr milliseconds commit_retry_interval{500};
/// A result that cannot be recorded for this long is left to be found on the
/// target by whoever takes over.
constexpr milliseconds commit_time_limit{300'000};
constexpr milliseconds accept_time_limit{4'000};
/// Refusals of the placement that say nothing about the job.
constexpr const char* oversized_code = "fits_no_target";

work_result make_json_result(unsigned status, const json& body)
{
    work_result out;
    out.status = status;
    out.run = run_answer::yes;
    out.payload = body.dump() + "\n";
    return out;
}

work_result make_unavailable()
{
    return make_failure(503, "platform_unavailable",
        "the platform does not answer", run_answer::unknown);
}

work_result make_unknown_job()
{
    return make_failure(
        404, "unknown_job", "there is no such job", run_answer::no);
}

json describe(const job_row& job)
{
    return {{"job", job.order.id.get()}, {"state", get_name(job.state)},
        {"queue", job.order.queue.get()}, {"attempts", job.attempts},
        {"data_centre", job.data_centre.get()}, {"target", job.target.get()},
        {"reason", job.reason}};
}

} // namespace

job_keeper::job_keeper(node_context& node, grant_keeper& grants,
    peer_network& peers, janitor& observer, runner_finder find_runner)
    : node_(node), grants_(grants), peers_(peers), observer_(observer),
      find_runner_(std::move(find_runner))
{
}

void job_keeper::start()
{
    node_.spawn("job_keeper", [this] { return scan_loop(); });
}

bool job_keeper::can_ever_fit(const pool_id& pool, byte_count memory) const
{
    for (const auto& [id, it] : node_.state.get_instances())
    {
        const auto& declared = it.description.memory;
        if (it.pool == pool && (declared.get() == 0 || memory <= declared))
            return true;
    }
    return false;
}

std::vector<data_centre_id> job_keeper::list_places(const pool_id& pool) const
{
    std::set<data_centre_id> out;
    for (const auto& [id, it] : node_.state.get_instances())
    {
        const auto& place = it.description.data_centre;
        if (it.pool == pool && it.state == instance_state::in_service &&
            node_.state.is_in_service(place) && !peers_.get_live(place).empty())
            out.insert(place);
    }
    return {out.begin(), out.end()};
}

std::optional<data_centre_id> job_keeper::choose_place(
    const pool_id& pool, const job_id& job) const
{
    auto places = list_places(pool);
    if (std::ranges::count(places, node_.config.data_centre) > 0)
        return node_.config.data_centre;
    // Spread by hash, so that jobs of a lost data centre do not all go to one.
    auto it = std::ranges::max_element(places, {},
        [&](const data_centre_id& place)
        { return hash_64(job.get() + "/" + place.get()); });
    if (it == places.end())
        return std::nullopt;
    return *it;
}

asio::awaitable<work_result> job_keeper::accept(
    peer_forward request, queue_record queue)
{
    if (!can_ever_fit(queue.pool, request.declared_memory))
        co_return make_failure(422, oversized_code,
            "the declared size is larger than every target of the pool",
            run_answer::no);
    std::string origin =
        request.team.get() + "/" + queue.id.get() + "/" + request.request.get();
    job_order order;
    order.id = make_job_id(queue.pool, sha256_hex(origin).substr(0, 32));
    order.team = request.team;
    order.queue = queue.id;
    order.pool = queue.pool;
    order.digest = sha256_hex(request.payload);
    // Payloads that differ never share an object.
    order.payload = "payloads/" + order.id.get() + "/" + order.digest;
    order.memory = request.declared_memory;
    if (!request.run_ms.empty())
        order.run_time = milliseconds(std::stoll(request.run_ms));
    data_centre_id place =
        choose_place(order.pool, order.id).value_or(node_.config.data_centre);
    json accepted{{"job", order.id.get()}};
    found_job known;
    lookup looked = co_await read_job(order.id, known);
    if (looked == lookup::unavailable)
        co_return make_failure(503, "platform_unavailable",
            "the job cannot be stored", run_answer::no);
    if (looked == lookup::found)
    {
        if (known.job.value.order.digest != order.digest)
            co_return make_failure(409, "request_id_reused",
                "the request id belongs to another payload", run_answer::no);
        co_return make_json_result(202, accepted);
    }
    bool is_stored = co_await node_.table.put_object(
        order.payload, std::move(request.payload));
    if (!is_stored)
        co_return make_failure(503, "platform_unavailable",
            "the job cannot be stored", run_answer::no);
    auto give_up = get_now() + accept_time_limit;
    bool may_be_accepted = false;
    while (get_now() < give_up)
    {
        transaction tx = job_machine::accept(order, place).request;
        auto result = co_await node_.table.commit(std::move(tx));
        bool is_accepted = result.outcome == transaction_outcome::committed ||
                           result.outcome == transaction_outcome::conflict;
        if (is_accepted)
            co_return make_json_result(202, accepted);
        may_be_accepted =
            may_be_accepted || result.outcome == transaction_outcome::unknown;
        if (!may_be_accepted)
            break;
        co_await node_.sleep(commit_retry_interval);
    }
    if (may_be_accepted)
        co_return make_failure(503, "outcome_unknown",
            "the job may be accepted as " + order.id.get() +
                "; send it again with the same Request-Id",
            run_answer::unknown);
    co_return make_failure(503, "platform_unavailable",
        "the job cannot be stored", run_answer::no);
}

asio::awaitable<job_keeper::lookup> job_keeper::read_job(
    job_id id, found_job& out)
{
    auto pool = find_pool_of_job(id);
    if (!pool)
        co_return lookup::absent;
    // A job moves from the live to the ended rows, never back: looking in
    // this order cannot miss it.
    job_row keys;
    keys.order.id = id;
    keys.order.pool = *pool;
    auto live = co_await node_.table.read(keys.get_live_key());
    if (!live)
        co_return lookup::unavailable;
    if (live->version.get() != 0)
    {
        out = {{job_row::decode(live->value), live->version}, true};
        co_return lookup::found;
    }
    auto ended = co_await node_.table.read(keys.get_ended_key());
    if (!ended)
        co_return lookup::unavailable;
    if (ended->version.get() == 0)
        co_return lookup::absent;
    out = {{job_row::decode(ended->value), ended->version}, false};
    co_return lookup::found;
}

asio::awaitable<job_keeper::lookup> job_keeper::read_for_team(
    const team_id& team, const job_id& id, found_job& out)
{
    lookup looked = co_await read_job(id, out);
    // Another team's job is answered as if it did not exist.
    if (looked == lookup::found && out.job.value.order.team != team)
        co_return lookup::absent;
    co_return looked;
}

asio::awaitable<work_result> job_keeper::find(team_id team, job_id id)
{
    found_job it;
    lookup looked = co_await read_for_team(team, id, it);
    if (looked == lookup::unavailable)
        co_return make_unavailable();
    if (looked == lookup::absent)
        co_return make_unknown_job();
    co_return make_json_result(200, describe(it.job.value));
}

asio::awaitable<work_result> job_keeper::fetch_result(team_id team, job_id id)
{
    found_job it;
    lookup looked = co_await read_for_team(team, id, it);
    if (looked == lookup::unavailable)
        co_return make_unavailable();
    if (looked == lookup::absent)
        co_return make_unknown_job();
    if (it.job.value.state != job_state::done)
        co_return make_failure(409, "no_result",
            "the job is " + get_name(it.job.value.state), run_answer::unknown);
    auto bytes = co_await node_.table.get_object(it.job.value.result);
    if (!bytes)
        co_return make_unavailable();
    work_result out;
    out.status = 200;
    out.run = run_answer::yes;
    out.payload = std::move(*bytes);
    co_return out;
}

void job_keeper::tell_owners(const job_id& job)
{
    for (const auto& it : node_.state.get_sessions())
    {
        session_id session = it.first;
        node_.spawn("job_keeper",
            [this, session, job]() -> asio::awaitable<void>
            {
                bool was_sent = false;
                peer_body body = peer_cancel{job};
                co_await peers_.call(
                    session, std::move(body), milliseconds(1'500), was_sent);
            });
    }
    auto pool = find_pool_of_job(job);
    auto runner = pool ? find_runner_(*pool) : nullptr;
    if (runner)
        runner->cancel(request_id(job.get()));
}

asio::awaitable<work_result> job_keeper::cancel(team_id team, job_id id)
{
    constexpr int max_tries = 8;
    for (int i = 0; i < max_tries; ++i)
    {
        found_job it;
        lookup looked = co_await read_for_team(team, id, it);
        if (looked == lookup::unavailable)
            co_return make_unavailable();
        if (looked == lookup::absent)
            co_return make_unknown_job();
        if (!it.is_live)
            co_return make_json_result(200, describe(it.job.value));
        auto change = job_machine::cancel(it.job);
        if (!change)
            continue;
        job_row after = change->next;
        auto result = co_await node_.table.commit(std::move(change->request));
        if (result.outcome == transaction_outcome::committed)
        {
            tell_owners(id);
            co_return make_json_result(200, describe(after));
        }
        if (result.outcome == transaction_outcome::unavailable)
            co_return make_unavailable();
    }
    co_return make_failure(503, "outcome_unknown",
        "the cancellation may or may not be in effect; ask again",
        run_answer::unknown);
}

asio::awaitable<std::optional<std::size_t>> job_keeper::cancel_by_operator(
    cancel_command cancel)
{
    std::vector<std::pair<team_id, job_id>> wanted;
    if (auto* id = std::get_if<job_id>(&cancel.what))
    {
        found_job it;
        lookup looked = co_await read_job(*id, it);
        if (looked == lookup::unavailable)
            co_return std::nullopt;
        if (looked == lookup::found && it.is_live)
            wanted.emplace_back(it.job.value.order.team, *id);
    }
    else
    {
        const team_id& team = std::get<team_id>(cancel.what);
        std::string after;
        while (true)
        {
            auto page =
                co_await node_.table.scan("jobs/", after, rows_per_scan);
            if (!page)
                co_return std::nullopt;
            for (const auto& it : page->rows)
            {
                job_row job = job_row::decode(it.value);
                if (job.order.team == team)
                    wanted.emplace_back(team, job.order.id);
                after = it.key;
            }
            if (!page->has_more)
                break;
        }
    }
    std::size_t n = 0;
    for (const auto& [team, id] : wanted)
    {
        auto result = co_await this->cancel(team, id);
        if (!result.is_success())
            co_return std::nullopt;
        ++n;
    }
    co_return n;
}

asio::awaitable<std::optional<query_table>> job_keeper::list_jobs()
{
    query_table out;
    out.name = "jobs";
    out.columns = {"job", "team", "queue", "pool", "state", "attempts",
        "data_centre", "target", "session", "reason"};
    for (const char* prefix : {"jobs/", "ended/"})
    {
        auto page = co_await node_.table.scan(prefix, "", rows_per_scan);
        if (!page)
            co_return std::nullopt;
        for (const auto& it : page->rows)
        {
            job_row job = job_row::decode(it.value);
            out.rows.push_back({make_cell(job.order.id),
                make_cell(job.order.team), make_cell(job.order.queue),
                make_cell(job.order.pool), query_cell(get_name(job.state)),
                make_cell(std::uint64_t(job.attempts)),
                make_cell(job.data_centre), make_cell(job.target),
                make_cell(job.session), query_cell(job.reason)});
        }
    }
    co_return out;
}

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
        co_await settle(held, std::move(result));
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
                   get_now() > grant_ledger::get_dead_release_time(
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
