#include "main/job_keeper.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

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
constexpr milliseconds attempt_back_off{1'000};
/// Refusals of the placement that say nothing about the job.
constexpr const char* oversized_code = "fits_no_target";

std::int64_t get_unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

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
    return {{"job", job.id.get()}, {"state", get_name(job.state)},
        {"queue", job.queue.get()}, {"attempts", job.attempts},
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
    job_row job;
    std::string origin =
        request.team.get() + "/" + queue.id.get() + "/" + request.request.get();
    job.id = make_job_id(queue.pool, sha256_hex(origin).substr(0, 32));
    job.team = request.team;
    job.queue = queue.id;
    job.pool = queue.pool;
    job.request = request.request;
    job.payload_sha256 = sha256_hex(request.payload);
    job.declared_memory = request.declared_memory;
    job.run_ms = request.run_ms;
    job.accepted_unix_ms = get_unix_ms();
    job.data_centre =
        choose_place(job.pool, job.id).value_or(node_.config.data_centre);
    json accepted{{"job", job.id.get()}};
    found_job known;
    lookup looked = co_await read_job(job.id, known);
    if (looked == lookup::unavailable)
        co_return make_failure(503, "platform_unavailable",
            "the job cannot be stored", run_answer::no);
    if (looked == lookup::found)
    {
        if (known.job.payload_sha256 != job.payload_sha256)
            co_return make_failure(409, "request_id_reused",
                "the request id belongs to another payload", run_answer::no);
        co_return make_json_result(202, accepted);
    }
    std::string object = get_job_payload_name(job);
    bool is_stored =
        co_await node_.table.put_object(object, std::move(request.payload));
    if (!is_stored)
        co_return make_failure(503, "platform_unavailable",
            "the job cannot be stored", run_answer::no);
    auto give_up = get_now() + accept_time_limit;
    bool may_be_accepted = false;
    while (get_now() < give_up)
    {
        transaction tx = accept_job(job).request;
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
            "the job may be accepted as " + job.id.get() +
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
    auto live = co_await node_.table.read(get_job_key(*pool, id));
    if (!live)
        co_return lookup::unavailable;
    if (live->version.get() != 0)
    {
        out = {decode_job(live->value), live->version, true};
        co_return lookup::found;
    }
    auto ended = co_await node_.table.read(get_ended_job_key(*pool, id));
    if (!ended)
        co_return lookup::unavailable;
    if (ended->version.get() == 0)
        co_return lookup::absent;
    out = {decode_job(ended->value), ended->version, false};
    co_return lookup::found;
}

asio::awaitable<job_keeper::lookup> job_keeper::read_for_team(
    const team_id& team, const job_id& id, found_job& out)
{
    lookup looked = co_await read_job(id, out);
    // Another team's job is answered as if it did not exist.
    if (looked == lookup::found && out.job.team != team)
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
    co_return make_json_result(200, describe(it.job));
}

asio::awaitable<work_result> job_keeper::fetch_result(team_id team, job_id id)
{
    found_job it;
    lookup looked = co_await read_for_team(team, id, it);
    if (looked == lookup::unavailable)
        co_return make_unavailable();
    if (looked == lookup::absent)
        co_return make_unknown_job();
    if (it.job.state != job_state::done)
        co_return make_failure(409, "no_result",
            "the job is " + get_name(it.job.state), run_answer::unknown);
    auto bytes = co_await node_.table.get_object(get_job_result_name(id));
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
    for (const auto& [session, row] : node_.state.get_sessions())
    {
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
            co_return make_json_result(200, describe(it.job));
        job_change change = cancel_job(it.job, it.version);
        job_row after = change.after;
        auto result = co_await node_.table.commit(std::move(change.request));
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
            wanted.emplace_back(it.job.team, *id);
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
                job_row job = decode_job(it.value);
                if (job.team == team)
                    wanted.emplace_back(team, job.id);
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
            job_row job = decode_job(it.value);
            out.rows.push_back(
                {make_cell(job.id), make_cell(job.team), make_cell(job.queue),
                    make_cell(job.pool), query_cell(get_name(job.state)),
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
            consider(runner, decode_job(it.value), it.version);
            after = it.key;
        }
        if (!page->has_more)
            co_return;
    }
}

bool job_keeper::is_mine_to_move(const job_row& job) const
{
    auto places = list_places(job.pool);
    if (std::ranges::count(places, job.data_centre) > 0)
        return false;
    auto it = std::ranges::max_element(places, {},
        [&](const data_centre_id& place)
        { return hash_64(job.id.get() + "/" + place.get()); });
    return it != places.end() && *it == node_.config.data_centre;
}

void job_keeper::consider(const std::shared_ptr<pool_runner>& runner,
    const job_row& job, row_version version)
{
    if (active_.contains(job.id))
        return;
    auto wait = not_before_.find(job.id);
    if (wait != not_before_.end() && get_now() < wait->second)
        return;
    if (wait != not_before_.end())
        not_before_.erase(wait);
    bool is_here = job.data_centre == node_.config.data_centre;
    if (job.state == job_state::queued && !is_here)
    {
        if (!is_mine_to_move(job))
            return;
        node_.spawn("job_keeper",
            [this, job, version]() -> asio::awaitable<void>
            {
                auto held =
                    std::make_shared<found_job>(found_job{job, version, true});
                job_change change =
                    move_job(job, version, node_.config.data_centre);
                co_await commit(held, std::move(change));
                log_.write("move_job", "data_centre_out",
                    {{"job", job.id}, {"from", job.data_centre},
                        {"to", node_.config.data_centre}});
            });
        return;
    }
    if (!is_here || !node_.state.is_in_service(node_.config.data_centre))
        return;
    if (job.state == job_state::queued)
    {
        active_.insert(job.id);
        node_.spawn("job_keeper", [this, runner, job, version]
            { return launch(runner, job, version); });
        return;
    }
    bool is_live = node_.state.get_sessions().contains(job.session);
    bool is_watched = job.session != node_.session && is_live &&
                      !peers_.is_heard(job.session);
    // A suspected session's task is kept alive until its fate is known.
    if (is_watched)
        runner->watch(job.target, job.task);
    else if (is_live && job.session != node_.session)
        runner->unwatch(job.target, job.task);
    if (is_live && job.session != node_.session)
        return;
    active_.insert(job.id);
    node_.spawn("job_keeper", [this, runner, job, version]
        { return take_over(runner, job, version); });
}

work_item job_keeper::make_item(const job_row& job, std::string payload) const
{
    work_item out;
    out.task.team = job.team;
    out.task.kind = queue_kind::slow;
    out.task.memory = job.declared_memory;
    out.task.arrival = get_now();
    // The job id is unique, which a caller's request id is not.
    out.request = request_id(job.id.get());
    out.queue = job.queue;
    out.payload = std::move(payload);
    out.run_ms = job.run_ms;
    return out;
}

std::function<asio::awaitable<std::optional<work_result>>(start_place)>
job_keeper::make_prepare(std::shared_ptr<found_job> held)
{
    return [this, held](
               start_place place) -> asio::awaitable<std::optional<work_result>>
    {
        job_row before = held->job;
        // A start that a target refused does not count as an attempt.
        if (before.state == job_state::running && before.attempts > 0)
            --before.attempts;
        job_change change = start_job(
            before, held->version, node_.session, place.target, place.task);
        bool is_committed = co_await commit(held, std::move(change));
        if (is_committed)
            co_return std::nullopt;
        co_return make_failure(503, "job_not_claimed",
            "the start of the job could not be recorded", run_answer::no);
    };
}

asio::awaitable<bool> job_keeper::commit(
    std::shared_ptr<found_job> held, job_change change)
{
    auto give_up = get_now() + commit_time_limit;
    std::string key = get_job_key(change.after.pool, change.after.id);
    while (get_now() < give_up)
    {
        transaction tx = change.request;
        auto result = co_await node_.table.commit(std::move(tx));
        if (result.outcome == transaction_outcome::committed)
        {
            held->job = change.after;
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
            lookup looked = co_await read_job(change.after.id, now);
            if (looked == lookup::unavailable)
            {
                co_await node_.sleep(commit_retry_interval);
                continue;
            }
            bool is_own = looked == lookup::found &&
                          encode_job(now.job) == encode_job(change.after);
            if (is_own)
                *held = now;
            co_return is_own;
        }
        co_await node_.sleep(commit_retry_interval);
    }
    co_return false;
}

void job_keeper::back_off(const job_row& job)
{
    not_before_[job.id] =
        get_now() + attempt_back_off * (1 << std::min(job.attempts, 6u));
}

asio::awaitable<void> job_keeper::launch(
    std::shared_ptr<pool_runner> runner, job_row job, row_version version)
{
    auto held = std::make_shared<found_job>(found_job{job, version, true});
    auto payload = co_await node_.table.get_object(get_job_payload_name(job));
    if (payload)
    {
        work_item item = make_item(job, std::move(*payload));
        item.prepare_start = make_prepare(held);
        auto result = co_await runner->run(std::move(item));
        co_await settle(held, std::move(result));
    }
    active_.erase(job.id);
}

asio::awaitable<void> job_keeper::settle(
    std::shared_ptr<found_job> held, work_result result)
{
    const job_row& job = held->job;
    if (result.is_success())
    {
        bool is_stored = false;
        auto give_up = get_now() + commit_time_limit;
        while (!is_stored && get_now() < give_up)
        {
            std::string bytes = result.payload;
            is_stored = co_await node_.table.put_object(
                get_job_result_name(job.id), std::move(bytes));
            if (!is_stored)
                co_await node_.sleep(commit_retry_interval);
        }
        if (!is_stored)
            co_return;
        job_change done = finish_job(job, held->version);
        co_await commit(held, std::move(done));
        co_return;
    }
    if (result.code == "cancelled" || result.code == "job_not_claimed")
        co_return;
    if (result.code == oversized_code)
    {
        job_change parked = park_job(job, held->version, result.message);
        co_await commit(held, std::move(parked));
        co_return;
    }
    if (job.state != job_state::running)
        co_return;
    if (result.run == run_answer::no)
    {
        job_change undone = unstart_job(job, held->version);
        co_await commit(held, std::move(undone));
        co_return;
    }
    bool counts = result.code != "preempted";
    auto queue = node_.state.get_queues().find(job.queue);
    bool is_repeatable =
        queue != node_.state.get_queues().end() && queue->second.is_idempotent;
    // Work that must not run twice is never started again.
    job_change change =
        is_repeatable
            ? fail_job(job, held->version, result.message, counts)
            : park_job(job, held->version,
                  "may have run, and must not run twice: " + result.message);
    co_await commit(held, std::move(change));
    log_.write(job.state == job_state::parked ? "park" : "queue_again",
        result.code,
        {{"job", job.id}, {"team", job.team}, {"attempts", job.attempts},
            {"reason", result.message}});
    if (counts)
        back_off(job);
}

asio::awaitable<void> job_keeper::take_over(
    std::shared_ptr<pool_runner> runner, job_row job, row_version version)
{
    auto held = std::make_shared<found_job>(found_job{job, version, true});
    bool is_own = job.session == node_.session;
    auto report = co_await runner->query_task(job.target, job.task);
    if (report && report->state == target_task_state::done)
    {
        auto bytes = co_await runner->fetch_result(
            job.target, job.task, request_id(job.id.get()));
        if (bytes)
        {
            work_result result;
            result.status = 200;
            result.payload = std::move(*bytes);
            co_await settle(held, std::move(result));
        }
    }
    else if (report && report->state == target_task_state::running)
    {
        if (!is_own)
            runner->watch(job.target, job.task);
        auto ended = observer_.observe_ended(job.session);
        // An own task that nothing here follows any more is left to lapse.
        bool is_granted =
            !is_own && co_await grants_.adopt(job.session, job.team, ended);
        job_change adopted = adopt_job(job, version, node_.session);
        bool is_taken = is_granted && co_await commit(held, std::move(adopted));
        if (is_taken)
        {
            log_.write("adopt", "session_ended",
                {{"job", job.id}, {"task", job.task}, {"target", job.target},
                    {"from", job.session}});
            work_item item = make_item(job, {});
            item.task.id = job.task;
            auto result = co_await runner->adopt(std::move(item), job.target);
            co_await settle(held, std::move(result));
        }
        else if (is_granted)
            grants_.give_back(job.team);
    }
    else if (report || get_now() > grant_ledger::get_dead_release_time(
                                       observer_.observe_ended(job.session)))
    {
        // The task ended without a result, or can no longer run.
        work_result lost = make_failure(502, "task_lost",
            "the session that ran it ended, and its task with it",
            run_answer::unknown);
        co_await settle(held, std::move(lost));
    }
    active_.erase(job.id);
}

} // namespace cowslippass
