#include "main/caller_api.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_request_id_length = 128;
constexpr std::string_view queues_prefix = "/v1/queues/";
constexpr std::string_view requests_prefix = "/v1/requests/";
constexpr std::string_view jobs_prefix = "/v1/jobs/";

/// Request ids become parts of row keys and URLs.
bool is_valid_request_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_request_id_length &&
           std::ranges::all_of(text, [](unsigned char c)
               { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

http_response to_response(const work_result& result)
{
    if (!result.is_success())
        return make_error_response(
            result.status, result.code, result.message, result.run);
    http_response out;
    out.status = result.status;
    out.headers["Content-Type"] = "application/octet-stream";
    out.body = result.payload;
    return out;
}

http_response to_json_response(const work_result& result)
{
    http_response out = to_response(result);
    out.headers["Content-Type"] = "application/json";
    return out;
}

std::uint64_t read_number(const http_request& request, std::string_view name)
{
    std::string text = request.get_header(name);
    if (text.empty())
        return 0;
    std::uint64_t out = 0;
    auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    if (status != std::errc() || end != text.data() + text.size())
        throw admission_error(400, "bad_header",
            "the header '" + std::string(name) + "' is not a whole number");
    return out;
}

/// @return the queue of a path that requests are posted to.
std::optional<queue_id> find_posted_queue(const std::string& path)
{
    constexpr std::string_view tail = "/requests";
    bool is_match = path.starts_with(queues_prefix) && path.ends_with(tail) &&
                    path.size() > queues_prefix.size() + tail.size();
    if (!is_match)
        return std::nullopt;
    return queue_id(path.substr(queues_prefix.size(),
        path.size() - queues_prefix.size() - tail.size()));
}

bool is_first_attempt(const http_request& request)
{
    return request.get_header("Request-Attempt") == "first";
}

} // namespace

http_response make_error_response(unsigned status, const std::string& code,
    const std::string& message, run_answer run)
{
    http_response out;
    out.status = status;
    out.headers["Content-Type"] = "application/json";
    json body{{"code", code}, {"message", message}, {"run", get_name(run)}};
    out.body = body.dump() + "\n";
    return out;
}

caller_api::caller_api(node_context& node, caller_services services)
    : node_(node), services_(std::move(services))
{
}

asio::awaitable<std::optional<http_response>> caller_api::handle(
    const http_request& request)
{
    const std::string& path = request.path;
    std::optional<queue_id> queue = find_posted_queue(path);
    bool is_request = path.starts_with(requests_prefix);
    bool is_job = path.starts_with(jobs_prefix);
    std::optional<http_response> refused;
    if (!queue && !is_request && !is_job)
        co_return refused;
    // Of the outcome or job that is asked for, a refusal says nothing.
    run_answer refusal_run =
        queue ? get_refusal_answer(request, *queue) : run_answer::unknown;
    try
    {
        if (node_.session.get() == 0)
            throw admission_error(503, "not_registered",
                "this entry has not joined the fleet yet");
        if (queue)
            co_return co_await post_request(request, *queue);
        if (is_request)
            co_return co_await get_outcome(
                request, request_id(path.substr(requests_prefix.size())));
        co_return co_await handle_job(request, path.substr(jobs_prefix.size()));
    }
    catch (const admission_error& e)
    {
        refused = make_error_response(
            e.get_status(), e.get_code(), e.what(), refusal_run);
    }
    co_return refused;
}

run_answer caller_api::get_refusal_answer(
    const http_request& request, const queue_id& queue) const
{
    std::string id = request.get_header("Request-Id");
    // Without a valid id no attempt was ever admitted.
    if (id.empty() || !is_valid_request_id(id))
        return run_answer::no;
    auto known = node_.state.get_queues().find(queue);
    // An earlier attempt on a slow queue may have been accepted as a job.
    bool is_idempotent = known != node_.state.get_queues().end() &&
                         known->second.is_idempotent &&
                         known->second.kind == queue_kind::urgent;
    return get_unclaimed_answer(is_idempotent, is_first_attempt(request));
}

peer_forward caller_api::read_request(
    const http_request& request, const admission& admitted) const
{
    peer_forward out;
    out.team = admitted.team;
    out.queue = admitted.queue.id;
    std::string id = request.get_header("Request-Id");
    if (id.empty() && !admitted.queue.is_idempotent)
        throw admission_error(400, "missing_request_id",
            "this queue requires the header 'Request-Id'");
    bool is_own_id = id.empty();
    if (is_own_id)
        id = "r-" + make_random_hex(12);
    if (!is_valid_request_id(id))
        throw admission_error(400, "bad_request_id",
            "'Request-Id' must be 1 to 128 letters, digits, '-', '_' or '.'");
    out.request = request_id(id);
    out.declared_memory = byte_count(read_number(request, "Declared-Memory"));
    std::uint64_t run_ms = read_number(request, "Run-Ms");
    if (run_ms > 0)
        out.run_ms = std::to_string(run_ms);
    out.deadline = node_.config.urgent_deadline;
    std::uint64_t deadline = read_number(request, "Deadline-Ms");
    if (deadline > 0)
        out.deadline = std::min(out.deadline, milliseconds(deadline));
    out.is_first_attempt = is_own_id || is_first_attempt(request);
    out.payload = request.body;
    return out;
}

std::optional<http_response> caller_api::check_age(
    const http_request& request, milliseconds deadline) const
{
    constexpr std::uint64_t max_seconds = 100'000'000'000;
    std::uint64_t first_sent = read_number(request, "Request-Time");
    if (first_sent == 0)
        return std::nullopt;
    if (first_sent > max_seconds)
        throw admission_error(
            400, "bad_header", "'Request-Time' must be in Unix seconds");
    platform_time now = node_.table.get_time();
    if (now == platform_time())
        return make_error_response(503, "platform_unavailable",
            "the age of the request cannot be told", run_answer::unknown);
    // The id has to be remembered until this attempt has looked for it.
    auto latest = std::chrono::seconds(first_sent) +
                  node_.config.request_lifetime - deadline;
    if (milliseconds(now.get()) <= latest)
        return std::nullopt;
    return make_error_response(409, "request_id_expired",
        "the request was first sent too long ago; its id may be forgotten",
        run_answer::unknown);
}

asio::awaitable<http_response> caller_api::post_request(
    const http_request& request, queue_id queue)
{
    if (request.method != "POST")
        co_return make_error_response(405, "method_not_allowed",
            "requests are posted to a queue", run_answer::no);
    auto admitted =
        admit_request(node_.state, queue, request.get_header("Authorization"));
    peer_forward work = read_request(request, admitted);
    std::string id = work.request.get();
    if (!node_.may_start())
        co_return make_error_response(503, "not_fresh",
            "this entry cannot confirm the configuration in force",
            get_unclaimed_answer(
                admitted.queue.is_idempotent, work.is_first_attempt));
    if (auto late = check_age(request, work.deadline))
        co_return *late;
    auto begin = get_now();
    work_result result;
    bool is_slow = admitted.queue.kind == queue_kind::slow;
    if (is_slow)
        result = co_await services_.accept_job(std::move(work), admitted.queue);
    else
        result = co_await services_.run_urgent(std::move(work));
    std::chrono::duration<double> time = get_now() - begin;
    if (!is_slow && result.is_success())
        node_.metrics.observe(
            "cowslippass_urgent_answer_seconds", time.count());
    node_.metrics.add("cowslippass_requests_total",
        {{"queue", queue.get()},
            {"outcome", result.is_success() ? "ok" : result.code}});
    http_response out =
        is_slow ? to_json_response(result) : to_response(result);
    out.headers["Request-Id"] = id;
    co_return out;
}

asio::awaitable<http_response> caller_api::get_outcome(
    const http_request& request, request_id id)
{
    queue_id queue(request.get_query("queue"));
    auto admitted =
        admit_request(node_.state, queue, request.get_header("Authorization"));
    if (!is_valid_request_id(id.get()))
        co_return make_error_response(
            404, "unknown_request", "no such request", run_answer::no);
    auto result =
        co_await services_.find_outcome(admitted.team, admitted.queue.id, id);
    co_return to_response(result);
}

asio::awaitable<http_response> caller_api::handle_job(
    const http_request& request, std::string rest)
{
    constexpr std::string_view tail = "/result";
    bool is_result = rest.ends_with(tail);
    if (is_result)
        rest.resize(rest.size() - tail.size());
    team_id team =
        authenticate_team(node_.state, request.get_header("Authorization"));
    job_id id(rest);
    if (request.method == "GET" && is_result)
    {
        auto result = co_await services_.fetch_result(team, id);
        co_return to_response(result);
    }
    if (request.method == "GET")
    {
        auto result = co_await services_.find_job(team, id);
        co_return to_json_response(result);
    }
    if (request.method == "DELETE" && !is_result)
    {
        auto result = co_await services_.cancel_job(team, id);
        co_return to_json_response(result);
    }
    co_return make_error_response(405, "method_not_allowed",
        "jobs are read with GET and cancelled with DELETE", run_answer::no);
}

} // namespace cowslippass
