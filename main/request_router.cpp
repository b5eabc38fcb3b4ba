#include "main/request_router.hpp"

#include <algorithm>
#include <array>

namespace cowslippass
{

namespace
{

constexpr milliseconds retry_interval{100};
/// Covers the time until a dead owner is suspected and its pool has moved.
constexpr milliseconds max_retry_time{5'000};
/// Answers that mean "ask again": the work has not run and another entry, or
/// the same one a moment later, may take it.
constexpr std::array<const char*, 4> passing_codes{
    "owner_changed", "not_fresh", "no_target", "peer_unreachable"};

bool is_passing(const work_result& result)
{
    return result.run == run_answer::no &&
           std::ranges::any_of(passing_codes,
               [&](const char* code) { return result.code == code; });
}

} // namespace

request_router::request_router(node_context& node, peer_network& peers,
    local_handler run_local, local_summary summarize)
    : node_(node), peers_(peers), run_local_(std::move(run_local)),
      summarize_(std::move(summarize))
{
}

void request_router::fill_counts(
    const pool_id& pool, route_candidate& candidate) const
{
    if (candidate.is_local)
    {
        if (auto own = summarize_(pool))
        {
            candidate.free_slots = own->free_slots;
            candidate.waiting = own->waiting;
            candidate.targets = own->targets;
            candidate.is_known = true;
            return;
        }
    }
    for (const auto& [session, row] : node_.state.get_sessions())
    {
        if (row.started.data_centre != candidate.data_centre ||
            !peers_.is_heard(session))
            continue;
        const peer_summary* summary = peers_.find_summary(session);
        if (!summary)
            continue;
        for (const auto& it : summary->pools)
        {
            if (it.pool != pool)
                continue;
            candidate.free_slots = it.free_slots;
            candidate.waiting = it.waiting;
            candidate.targets = it.targets;
            candidate.is_known = true;
            return;
        }
    }
}

std::vector<route_candidate> request_router::list_candidates(
    const pool_id& pool) const
{
    std::map<data_centre_id, std::uint32_t> instances;
    for (const auto& [id, row] : node_.state.get_instances())
        if (row.pool == pool && row.state == instance_state::in_service)
            ++instances[row.description.data_centre];
    std::vector<route_candidate> out;
    for (const auto& [data_centre, n] : instances)
    {
        route_candidate it;
        it.data_centre = data_centre;
        it.is_local = data_centre == node_.config.data_centre;
        it.is_in_service = node_.state.is_in_service(data_centre);
        it.has_owner = !peers_.get_live(data_centre).empty();
        it.targets = n;
        it.is_known = false;
        fill_counts(pool, it);
        out.push_back(it);
    }
    return out;
}

std::vector<pool_summary> request_router::summarize_pools() const
{
    std::vector<pool_summary> out;
    for (const auto& [pool, row] : node_.state.get_pools())
    {
        route_candidate it;
        it.data_centre = node_.config.data_centre;
        it.is_local = true;
        it.is_known = false;
        auto owner = peers_.find_owner(pool, node_.config.data_centre);
        if (owner == node_.session)
        {
            if (auto own = summarize_(pool))
                out.push_back(*own);
            continue;
        }
        const peer_summary* summary =
            owner ? peers_.find_summary(*owner) : nullptr;
        if (!summary || !peers_.is_heard(*owner))
            continue;
        for (const auto& counts : summary->pools)
            if (counts.pool == pool)
                out.push_back(counts);
    }
    return out;
}

asio::awaitable<request_router::attempt> request_router::forward(
    const peer_forward& request, const queue_record& queue, session_id owner)
{
    bool was_sent = false;
    peer_body body = request;
    auto reply = co_await peers_.call(
        owner, std::move(body), request.deadline, was_sent);
    attempt out;
    if (reply && std::holds_alternative<peer_forward_reply>(*reply))
    {
        out.result = to_work_result(std::get<peer_forward_reply>(*reply));
        out.may_try_again = is_passing(out.result);
        co_return out;
    }
    if (!was_sent)
    {
        out.result = make_failure(503, "peer_unreachable",
            "the entry that owns the pool cannot be reached", run_answer::no);
        out.may_try_again = true;
        co_return out;
    }
    out.result = make_failure(504, "reply_lost",
        "the entry that owns the pool did not answer", run_answer::unknown);
    out.may_try_again = queue.is_idempotent;
    co_return out;
}

void request_router::log_decision(const peer_forward& request,
    const queue_record& queue, const route& chosen,
    std::optional<session_id> owner, request_trace& trace) const
{
    const char* decision = owner ? "forward" : "refuse";
    std::string rule = get_name(chosen.rule);
    node_.metrics.add("cowslippass_decisions_total",
        {{"decision", decision}, {"rule", rule}});
    ++trace.attempts;
    if (!trace.logged.insert({rule, owner, chosen.data_centre, trace.reason})
             .second)
        return;
    std::string data_centre =
        chosen.data_centre ? chosen.data_centre->get() : "";
    log_.write(decision, rule,
        {{"request", request.request}, {"team", request.team},
            {"queue", request.queue}, {"pool", queue.pool},
            {"data_centre", data_centre},
            {"owner", owner.value_or(session_id(0))},
            {"candidates", chosen.candidates}, {"attempt", trace.attempts},
            {"reason", trace.reason}, {"version", node_.state.get_version()},
            {"age_ms",
                node_.get_freshness_age().value_or(milliseconds(-1)).count()}});
}

void request_router::log_end(const peer_forward& request,
    const work_result& result, const request_trace& trace) const
{
    // The line of the only attempt says it all.
    if (trace.attempts < 2)
        return;
    log_.write("end", result.is_success() ? "ok" : result.code,
        {{"request", request.request}, {"team", request.team},
            {"queue", request.queue}, {"attempts", trace.attempts}});
}

asio::awaitable<request_router::attempt> request_router::try_once(
    const peer_forward& request, const queue_record& queue,
    request_trace& trace)
{
    auto candidates = list_candidates(queue.pool);
    route chosen = choose_route(candidates);
    std::optional<session_id> owner;
    if (chosen.data_centre)
        owner = peers_.find_owner(queue.pool, *chosen.data_centre);
    log_decision(request, queue, chosen, owner, trace);
    attempt out;
    if (!owner)
    {
        out.result = make_failure(503, "no_target",
            "no data centre in service has a target of the pool",
            run_answer::no);
        out.may_try_again = true;
        co_return out;
    }
    if (*owner == node_.session)
    {
        out.result = co_await run_local_(request);
        out.may_try_again = is_passing(out.result);
        co_return out;
    }
    out = co_await forward(request, queue, *owner);
    node_.metrics.add("cowslippass_forwards_total",
        {{"outcome", out.result.is_success() ? "ok" : out.result.code}});
    co_return out;
}

asio::awaitable<work_result> request_router::route_request(peer_forward request)
{
    auto end = get_now() + request.deadline;
    auto last_try = std::min(end, get_now() + max_retry_time);
    bool may_have_run = false;
    request_trace trace;
    while (true)
    {
        auto queue = node_.state.get_queues().find(request.queue);
        if (queue == node_.state.get_queues().end())
        {
            work_result unknown =
                make_failure(404, "unknown_queue", "the queue does not exist",
                    get_unclaimed_answer(false, request.is_first_attempt));
            log_end(request, unknown, trace);
            co_return unknown;
        }
        // A copy, as the state may change while the request is under way.
        queue_record record = queue->second;
        request.version = node_.state.get_version();
        attempt it = co_await try_once(request, record, trace);
        trace.reason = it.result.code;
        // What one attempt proves does not cover those before it.
        if (may_have_run && it.result.run == run_answer::no)
            it.result.run = run_answer::unknown;
        may_have_run = may_have_run || it.result.run != run_answer::no;
        if (!it.may_try_again || get_now() + retry_interval >= last_try)
        {
            // Passing refusals come before the claim has been looked up.
            if (is_passing(it.result))
                it.result.run = get_unclaimed_answer(
                    record.is_idempotent, request.is_first_attempt);
            log_end(request, it.result, trace);
            co_return it.result;
        }
        co_await node_.sleep(retry_interval);
        request.deadline =
            std::chrono::duration_cast<milliseconds>(end - get_now());
    }
}

} // namespace cowslippass
