#include "main/job_keeper.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds accept_time_limit{4'000};

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
    // Sessions count until they are declared dead, also when they are not
    // heard: two data centres that are cut off from each other would otherwise
    // move each other's jobs to and fro.
    std::set<data_centre_id> staffed;
    for (const auto& [session, row] : node_.state.get_sessions())
        staffed.insert(row.started.data_centre);
    std::set<data_centre_id> out;
    for (const auto& [id, it] : node_.state.get_instances())
    {
        const auto& place = it.description.data_centre;
        if (it.pool == pool && it.state == instance_state::in_service &&
            node_.state.is_in_service(place) && staffed.contains(place))
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
    // Payloads that differ never share an object. A job that has the same id
    // after the first one was forgotten has another period, so that a late
    // clean-up cannot delete its payload.
    std::int64_t period =
        node_.table.get_time().get() / node_.config.request_lifetime.count();
    order.payload = "payloads/" + order.id.get() + "/" + order.digest + "/" +
                    std::to_string(period);
    order.memory = request.declared_memory;
    if (!request.run_ms.empty())
        order.run_time = milliseconds(std::stoll(request.run_ms));
    data_centre_id place =
        choose_place(order.pool, order.id).value_or(node_.config.data_centre);
    json accepted{{"job", order.id.get()}};
    // It counts from the look at the rows: much later, a job of this id may
    // have been accepted, have ended and have been removed.
    auto give_up = get_now() + accept_time_limit;
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
        job_machine::set_end_time(*change, node_.table.get_time());
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

} // namespace cowslippass
