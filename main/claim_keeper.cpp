#include "main/claim_keeper.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds poll_interval{100};
constexpr milliseconds retry_interval{500};
/// How long the caller's answer may wait for the outcome to be recorded.
constexpr milliseconds record_wait{1'500};
/// Ended tasks are kept by targets for ten minutes, so that an outcome that
/// is not recorded by then can still be found until then.
constexpr milliseconds record_time_limit{600'000};
constexpr milliseconds resolve_time_limit{5'000};
constexpr int max_read_backs = 3;

task_state to_task_state(target_task_state state)
{
    switch (state)
    {
    case target_task_state::running:
        return task_state::running;
    case target_task_state::done:
        return task_state::done;
    case target_task_state::failed:
        return task_state::failed;
    case target_task_state::stopped:
        return task_state::stopped;
    case target_task_state::lapsed:
        return task_state::lapsed;
    default:
        return task_state::unknown;
    }
}

work_result make_in_progress()
{
    return make_failure(504, "in_progress",
        "the request may be running; its outcome is not known yet",
        run_answer::unknown);
}

} // namespace

claim_keeper::claim_keeper(node_context& node) : node_(node) {}

bool claim_keeper::is_followed(
    const std::string& key, const claim_row& row) const
{
    if (row.session == node_.session)
        return active_.contains(key);
    return node_.state.get_sessions().contains(row.session);
}

asio::awaitable<work_result> claim_keeper::answer_done(claim_row row)
{
    if (!row.failure.empty())
        co_return make_failure(
            502, row.failure, "the request ran and failed", run_answer::yes);
    auto stored = co_await find_result(row.result);
    if (!stored)
        co_return make_failure(503, "result_unavailable",
            "the request ran; its result cannot be read now", run_answer::yes);
    co_return std::move(*stored);
}

asio::awaitable<std::optional<work_result>> claim_keeper::find_result(
    std::string object)
{
    auto bytes = co_await node_.table.get_object(std::move(object));
    if (!bytes)
        co_return std::nullopt;
    work_result out;
    out.status = 200;
    out.run = run_answer::yes;
    out.payload = std::move(*bytes);
    co_return out;
}

asio::awaitable<std::optional<work_result>> claim_keeper::wait_for_turn(
    const work_item& item, held_ptr held)
{
    while (true)
    {
        held->read_at = get_now();
        auto found = co_await node_.table.read(held->key);
        if (!found)
            co_return make_failure(503, "platform_unavailable",
                "the request cannot be claimed",
                item.is_first_attempt ? run_answer::no : run_answer::unknown);
        held->version = found->version;
        if (found->version.get() == 0)
            break;
        claim_row claim = claim_row::decode(found->value);
        if (claim.state == claim_state::not_run)
            break;
        if (claim.digest != held->digest)
            co_return make_failure(409, "request_id_reused",
                "the request id belongs to another payload", run_answer::no);
        if (claim.state == claim_state::done)
            co_return co_await answer_done(claim);
        auto stored = co_await find_result(claim.get_result_name());
        if (stored)
            co_return std::move(*stored);
        if (get_now() + poll_interval >= item.answer_deadline)
            co_return make_in_progress();
        if (!is_followed(held->key, claim))
            co_await resolve(item.task.team, item.request, *found);
        co_await node_.sleep(poll_interval);
    }
    // Another request with this id may have got here first.
    if (!active_.insert(held->key).second)
        co_return make_in_progress();
    co_return std::nullopt;
}

asio::awaitable<work_result> claim_keeper::run(
    std::shared_ptr<pool_runner> runner, work_item item)
{
    auto held = std::make_shared<held_claim>();
    held->key = claim_row::get_key(item.task.team, item.request);
    held->digest = sha256_hex(item.payload);
    auto early = co_await wait_for_turn(item, held);
    if (early)
        co_return std::move(*early);
    item.prepare_start = [this, held](start_place place)
    { return write_claim_row(held, place); };
    item.on_end = [this, held](const work_result& result)
    { return record(held, result); };
    bool is_first_attempt = item.is_first_attempt;
    auto result = co_await runner->run(std::move(item));
    if (result.run != run_answer::no)
        co_return result;
    // Work that never entered the queue has no end to be told.
    active_.erase(held->key);
    // An earlier attempt may wait at another entry and start yet: only a claim
    // that this attempt wrote keeps it from that.
    if (!held->is_claimed && !is_first_attempt &&
        result.code != "owner_changed")
        result.run = run_answer::unknown;
    co_return result;
}

asio::awaitable<std::optional<work_result>> claim_keeper::write_claim_row(
    held_ptr held, start_place place)
{
    bool may_be_forgotten = held->version == row_version(0) &&
                            !is_absence_valid(held->read_at, get_now(),
                                node_.config.request_lifetime);
    if (may_be_forgotten)
        co_return make_failure(503, "claim_not_written",
            "the request waited for too long to be claimed",
            run_answer::unknown);
    claim_row claim;
    claim.state = claim_state::claimed;
    claim.digest = held->digest;
    claim.session = node_.session;
    claim.target = place.target;
    claim.task = place.task;
    claim.start_before = place.start_before.time;
    claim.boot = place.start_before.boot;
    claim.claimed_at = node_.table.get_time();
    held->is_written = true;
    write_outcome outcome = co_await replace_row(held, claim);
    held->is_claimed = outcome == write_outcome::written;
    if (held->is_claimed)
        co_return std::nullopt;
    // Another entry may have claimed the same request and run it.
    if (outcome == write_outcome::lost)
        co_return make_in_progress();
    co_return make_failure(503, "claim_not_written",
        "the request could not be claimed before its start", run_answer::no);
}

asio::awaitable<claim_keeper::write_outcome> claim_keeper::replace_row(
    held_ptr held, claim_row after)
{
    std::string value = after.encode();
    transaction tx;
    tx.conditions.push_back({held->key, held->version});
    tx.writes.push_back({held->key, value});
    auto result = co_await node_.table.commit(std::move(tx));
    if (result.outcome == transaction_outcome::committed)
    {
        held->version = result.versions[held->key];
        held->row = after;
        co_return write_outcome::written;
    }
    if (result.outcome == transaction_outcome::unavailable)
        co_return write_outcome::not_sent;
    // The write may have taken effect although its reply was lost.
    for (int i = 0; i < max_read_backs; ++i)
    {
        auto found = co_await node_.table.read(held->key);
        if (!found)
            continue;
        bool is_own = found->version.get() != 0 && found->value == value;
        if (!is_own)
            co_return write_outcome::lost;
        held->version = found->version;
        held->row = after;
        co_return write_outcome::written;
    }
    co_return write_outcome::lost;
}

asio::awaitable<bool> claim_keeper::try_record(
    held_ptr held, work_result result)
{
    // The row was written before the start and names the task. With the
    // result of that task stored nothing else has to be.
    if (result.is_success())
    {
        std::string object = held->row.get_result_name();
        co_return co_await node_.table.put_object(
            std::move(object), std::move(result.payload));
    }
    auto found = co_await node_.table.read(held->key);
    if (!found)
        co_return false;
    // A row of somebody else means that this claim was never written or was
    // decided by another entry.
    if (found->version.get() == 0)
        co_return true;
    claim_row now = claim_row::decode(found->value);
    bool is_own =
        now.session == node_.session && now.state == claim_state::claimed;
    if (!is_own)
        co_return true;
    held->version = found->version;
    claim_row after = now;
    if (result.run == run_answer::yes)
    {
        after.state = claim_state::done;
        after.failure = result.code;
    }
    else
        after.state = claim_state::not_run;
    write_outcome outcome = co_await replace_row(held, after);
    co_return outcome == write_outcome::written;
}

asio::awaitable<void> claim_keeper::record(held_ptr held, work_result result)
{
    // What may have run stays claimed; whoever asks later looks again.
    if (!held->is_written || result.run == run_answer::unknown)
    {
        active_.erase(held->key);
        co_return;
    }
    auto done = std::make_shared<asio::steady_timer>(node_.io);
    done->expires_after(record_wait);
    node_.spawn("claim_keeper",
        [this, held, result, done]() -> asio::awaitable<void>
        {
            auto give_up = get_now() + record_time_limit;
            while (get_now() < give_up)
            {
                bool is_recorded = co_await try_record(held, result);
                if (is_recorded)
                    break;
                co_await node_.sleep(retry_interval);
            }
            active_.erase(held->key);
            done->cancel();
        });
    // The answer waits a little, so that a repeat that follows it finds the
    // outcome; it is true without the record as well.
    boost::system::error_code ec;
    co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::shared_ptr<target_client> claim_keeper::get_client(
    const instance_id& target)
{
    auto row = node_.state.get_instances().find(target);
    if (row == node_.state.get_instances().end())
        return nullptr;
    auto endpoint = parse_endpoint(row->second.description.address);
    auto& client = clients_[target];
    if (!client || client->get_endpoint() != endpoint)
        client = std::make_shared<target_client>(node_.io, endpoint);
    return client;
}

asio::awaitable<claim_actions> claim_keeper::ask(
    claim_machine& machine, const ask_target& question, const claim_row& claim)
{
    auto client = get_client(question.target);
    std::optional<target_task_report> report;
    if (client)
        report = co_await client->get_state(question.task);
    bool is_restarted = report && report->clock.boot != claim.boot &&
                        report->state == target_task_state::unknown;
    if (!report || is_restarted)
        co_return machine.on_target_silent();
    co_return machine.on_task_state(
        to_task_state(report->state), report->clock.time);
}

asio::awaitable<claim_actions> claim_keeper::copy_result(claim_machine& machine,
    const cowslippass::fetch_result& what, const claim_row& claim,
    request_id id)
{
    auto client = get_client(what.target);
    std::optional<std::string> bytes;
    if (client)
        bytes = co_await client->get_result(what.task, id);
    if (!bytes)
        co_return machine.on_result_lost();
    std::string object = claim.get_result_name();
    bool is_stored = co_await node_.table.put_object(object, std::move(*bytes));
    if (!is_stored)
        co_return claim_actions{};
    co_return machine.on_result(object);
}

asio::awaitable<claim_actions> claim_keeper::carry_out(claim_machine& machine,
    claim_action action, const claim_row& claim, team_id team, request_id id)
{
    if (auto* write = std::get_if<write_claim>(&action))
    {
        std::string key = write->request.writes.front().key;
        auto result = co_await node_.table.commit(std::move(write->request));
        std::optional<row_version> version;
        if (result.versions.contains(key))
            version = result.versions[key];
        co_return machine.on_written(result.outcome, version);
    }
    if (std::holds_alternative<read_claim>(action))
    {
        std::string key = claim_row::get_key(team, id);
        auto found = co_await node_.table.read(key);
        if (!found)
            co_return machine.on_read_failed();
        std::function<bool(session_id)> is_live = [this](session_id session)
        { return node_.state.get_sessions().contains(session); };
        co_return machine.on_row(*found, is_live);
    }
    if (auto* question = std::get_if<ask_target>(&action))
        co_return co_await ask(machine, *question, claim);
    if (auto* what = std::get_if<cowslippass::fetch_result>(&action))
        co_return co_await copy_result(machine, *what, claim, id);
    co_return claim_actions{};
}

asio::awaitable<void> claim_keeper::resolve(
    team_id team, request_id id, row found)
{
    claim_row claim = claim_row::decode(found.value);
    claim_machine machine(
        team, id, claim.digest, node_.session, request_attempt::maybe_repeated);
    auto give_up = get_now() + resolve_time_limit;
    claim_actions open = machine.resolve(found);
    while (!open.empty() && !machine.is_finished() && get_now() < give_up)
    {
        claim_action next = open.front();
        open.erase(open.begin());
        bool is_question = std::holds_alternative<ask_target>(next);
        claim_actions more = co_await carry_out(machine, next, claim, team, id);
        open.insert(open.end(), more.begin(), more.end());
        if (is_question && !more.empty())
            co_await node_.sleep(poll_interval);
    }
    write_log(log_level::info, "claim_keeper", "looked into a claim",
        {{"team", team}, {"request", id}, {"session", claim.session},
            {"decided", machine.is_finished()}});
}

asio::awaitable<work_result> claim_keeper::find_outcome(
    team_id team, queue_id, request_id id)
{
    std::string key = claim_row::get_key(team, id);
    for (bool has_looked = false;; has_looked = true)
    {
        auto found = co_await node_.table.read(key);
        if (!found)
            co_return make_failure(503, "platform_unavailable",
                "the outcome cannot be read", run_answer::unknown);
        if (found->version.get() == 0)
            co_return make_failure(404, "unknown_request",
                "no start of this request has been recorded",
                run_answer::unknown);
        claim_row claim = claim_row::decode(found->value);
        if (claim.state == claim_state::done)
            co_return co_await answer_done(claim);
        if (claim.state == claim_state::not_run)
            co_return make_failure(
                409, "not_run", "the request has not run", run_answer::no);
        auto stored = co_await find_result(claim.get_result_name());
        if (stored)
            co_return std::move(*stored);
        if (has_looked || is_followed(key, claim))
            co_return make_in_progress();
        co_await resolve(team, id, *found);
    }
}

} // namespace cowslippass
