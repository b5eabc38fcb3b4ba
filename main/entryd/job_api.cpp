#include "main/entryd/job_api.hpp"

#include "drivers/log.hpp"
#include "drivers/metrics.hpp"
#include "platform/submission_codec.hpp"
#include "systems/coordination/outage_policy.hpp"

#include <charconv>

namespace cowslippass
{

namespace
{

/// Wait limit of a request that does not state one.
constexpr milliseconds default_wait_limit{3'000};
constexpr milliseconds max_wait_limit{30'000};
/// Part of the caller's wait limit that is reserved for the transfer of the
/// response.
constexpr milliseconds response_margin{150};
constexpr milliseconds min_call_time{50};
/// Retry-After in whole seconds while there is no coordinator. A takeover takes
/// about two seconds.
constexpr const char* takeover_retry_after_s = "2";
/// Subtracted from the time within which a withdrawn key must stop working,
/// because the call still has to reach the coordinator.
constexpr milliseconds key_margin{700};
/// An entry whose configuration is older than this turns unready.
constexpr milliseconds max_ready_config_age{3'500};

const decision_log decisions_log("front");

http_response make_error(
    unsigned status, const std::string& code, const std::string& message)
{
    http_response out;
    out.status = status;
    out.headers["Content-Type"] = "application/json";
    out.body = encode_caller_error(code, message);
    return out;
}

http_response make_json(std::string body)
{
    http_response out;
    out.headers["Content-Type"] = "application/json";
    out.body = std::move(body);
    return out;
}

http_response make_unavailable(
    const std::string& code, const std::string& message)
{
    http_response out = make_error(503, code, message);
    out.headers["Retry-After"] = takeover_retry_after_s;
    return out;
}

/// @param delay rounded up to the seconds of the header.
void set_retry_after(http_response& response, milliseconds delay)
{
    response.headers["Retry-After"] =
        std::to_string((delay.count() + 999) / 1'000);
}

milliseconds parse_wait_limit(const http_request& request)
{
    std::string text = request.get_header(wait_limit_header);
    std::int64_t n = 0;
    auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (status != std::errc() || n <= 0)
        return default_wait_limit;
    return std::min(milliseconds(n), max_wait_limit);
}

std::string get_host(const http_request& request)
{
    std::string host = request.get_header("Host");
    return host.substr(0, host.find(':'));
}

} // namespace

job_api::job_api(const entry_settings& settings, const config_watcher& config,
    coordinator_role& role, metrics_registry& metrics,
    const loop_delay_meter& loop_delay)
    : settings_(settings), config_(config), coordinator_role_(role),
      metrics_(metrics), loop_delay_(loop_delay)
{
}

bool job_api::can_check_keys() const
{
    auto confirmed_at = config_.get_confirmed_at();
    return confirmed_at && boot_clock::now() - *confirmed_at <
                               settings_.key_withdrawal - key_margin;
}

bool job_api::is_ready() const
{
    auto confirmed_at = config_.get_confirmed_at();
    return !drain_deadline_ && config_.get_state().config && confirmed_at &&
           boot_clock::now() - *confirmed_at < max_ready_config_age &&
           coordinator_role_.can_reach_coordinator();
}

job_api::admission job_api::admit(const http_request& request) const
{
    admission out;
    const auto& config = config_.get_state().config;
    if (!config)
    {
        out.refusal = make_unavailable("no_configuration",
            "no configuration is known here yet; nothing was done");
        return out;
    }
    out.queue = config->find_queue_by_route(get_host(request), request.path);
    if (!out.queue)
    {
        out.refusal = make_error(404, "no_such_queue", "no queue is there");
        return out;
    }
    std::string key = request.get_header("Authorization");
    bool has_key = key.starts_with(bearer_prefix);
    if (!has_key && out.queue->allows_anonymous_callers)
        return out;
    const team_config* team =
        has_key ? config->find_team_by_key(key.substr(bearer_prefix.size()))
                : nullptr;
    if (team && can_check_keys())
    {
        out.team = team->team;
        return out;
    }
    if (out.queue->allows_anonymous_callers)
        return out;
    if (team)
        out.refusal = make_unavailable("stale_configuration",
            "the key cannot be checked now; nothing was done");
    else
        out.refusal = make_error(401, "unknown_key", "the key is not known");
    return out;
}

asio::awaitable<http_response> job_api::submit(
    http_request request, peer_coordinator_call call, boot_time deadline)
{
    std::optional<http_response> refusal;
    try
    {
        call.spec = encode_job_spec(decode_submission(request.body));
    }
    catch (const platform_error& e)
    {
        refusal = make_error(400, e.get_code(), e.what());
    }
    if (refusal)
        co_return *refusal;
    call.operation = coordinator_operation::submit;
    auto get_time_left = [&]
    {
        return std::chrono::duration_cast<milliseconds>(
            deadline - boot_clock::now());
    };
    boot_time asked_at = boot_clock::now();
    boot_time give_up_at =
        settings_.refuse_in_outage
            ? asked_at + get_outage_holding_time(get_time_left())
            : boot_time::max();
    coordinator_call_result result =
        co_await coordinator_role_.call(call, deadline, give_up_at);
    if (!result.reply)
    {
        if (!result.may_be_applied)
        {
            http_response refused = make_unavailable("no_coordinator",
                "no coordinator can be reached; the job was not accepted");
            if (settings_.refuse_in_outage)
                set_retry_after(
                    refused, get_outage_retry_delay(get_time_left(),
                                 std::chrono::duration_cast<milliseconds>(
                                     boot_clock::now() - asked_at)));
            co_return refused;
        }
        // The job may or may not have been accepted; the caller has to retry.
        co_return make_error(
            504, "no_answer", "it is not known whether the job was accepted");
    }
    switch (result.reply->result)
    {
    case coordinator_result::done:
        co_return make_json("{}");
    case coordinator_result::refused:
    {
        // An earlier coordinator may have accepted it.
        if (result.may_be_applied)
            co_return make_error(504, "no_answer",
                "it is not known whether the job was accepted");
        http_response out = make_error(
            429, "refused", "the job was not accepted and will not run");
        set_retry_after(out, result.reply->retry_after);
        co_return out;
    }
    case coordinator_result::cancelled:
        co_return make_error(410, "cancelled",
            "the job was cancelled before it arrived; it will not run");
    default:
        co_return make_error(400, "bad_request",
            "the job cannot be read or stored; it was not accepted");
    }
}

asio::awaitable<http_response> job_api::cancel(
    peer_coordinator_call call, boot_time deadline)
{
    call.operation = coordinator_operation::cancel;
    coordinator_call_result result =
        co_await coordinator_role_.call(call, deadline);
    if (!result.reply)
        co_return make_error(504, "no_answer", "no coordinator answered");
    if (result.reply->result == coordinator_result::refused)
    {
        http_response out = make_unavailable("too_many_cancellations",
            "too many unknown jobs were cancelled; nothing was done");
        set_retry_after(out, result.reply->retry_after);
        co_return out;
    }
    if (result.reply->result == coordinator_result::unknown_job)
        co_return make_error(410, "unknown_job", "there is no such job");
    co_return make_json("{}");
}

asio::awaitable<http_response> job_api::get_state(
    peer_coordinator_call call, boot_time deadline)
{
    call.operation = coordinator_operation::status;
    coordinator_call_result result =
        co_await coordinator_role_.call(call, deadline);
    if (!result.reply)
        co_return make_unavailable("no_coordinator", "no coordinator answered");
    if (result.reply->result == coordinator_result::unknown_job)
        co_return make_error(410, "unknown_job", "there is no such job");
    co_return make_json(
        encode_job_state(static_cast<job_phase>(result.reply->phase)));
}

asio::awaitable<http_response> job_api::get_waiting_count(
    peer_coordinator_call call, boot_time deadline)
{
    call.operation = coordinator_operation::count;
    coordinator_call_result result =
        co_await coordinator_role_.call(call, deadline);
    if (!result.reply)
        co_return make_unavailable("no_coordinator", "no coordinator answered");
    co_return make_json(encode_pending_job_count(result.reply->count));
}

asio::awaitable<http_response> job_api::dispatch(http_request request)
{
    // The caller's time has run while the process was paused.
    boot_time now = boot_clock::now();
    boot_time deadline =
        now - loop_delay_.get_delay(now) +
        std::max(parse_wait_limit(request) - response_margin, min_call_time);
    if (deadline <= now)
        co_return make_unavailable("too_late",
            "the request came too late to be answered in time; nothing was "
            "done");
    if (drain_deadline_)
        deadline = std::min(deadline, *drain_deadline_);
    admission allowed = admit(request);
    if (allowed.refusal)
        co_return *allowed.refusal;
    peer_coordinator_call call;
    call.queue = allowed.queue->queue;
    call.team = allowed.team;
    std::string rest = request.path.substr(allowed.queue->path_prefix.size());
    if (rest.empty() && request.method == "GET")
        co_return co_await get_waiting_count(call, deadline);
    auto job = parse_job_id(rest);
    if (!job)
        co_return make_error(404, "no_such_job", "no job can have this name");
    call.job = *job;
    if (request.method == "POST")
        co_return co_await submit(std::move(request), call, deadline);
    if (request.method == "GET")
        co_return co_await get_state(call, deadline);
    if (request.method == "DELETE")
        co_return co_await cancel(call, deadline);
    co_return make_error(405, "bad_method", "use POST, GET or DELETE");
}

asio::awaitable<http_response> job_api::handle(http_request request)
{
    boot_time from = boot_clock::now();
    std::string method = request.method;
    std::string path = request.path;
    http_response out = co_await dispatch(std::move(request));
    if (drain_deadline_)
        out.headers["Connection"] = "close";
    auto took = boot_clock::now() - from;
    metrics_.add("cowslippass_calls_total",
        {{"method", method}, {"status", std::to_string(out.status)}});
    metrics_.observe("cowslippass_call_seconds",
        std::chrono::duration<double>(took).count());
    if (out.status != 200 && out.status != 404 && out.status != 410)
        decisions_log.write("refuse", std::to_string(out.status),
            {{"method", method}, {"path", path},
                {"took_ms",
                    std::chrono::duration_cast<milliseconds>(took).count()},
                {"answer", out.body}});
    co_return out;
}

} // namespace cowslippass
