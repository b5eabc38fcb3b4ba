#include "drivers/target_client.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// A target that does not respond within this time is treated as unreachable.
constexpr milliseconds target_timeout{1'000};
/// Results may be large; this limit covers the complete body.
constexpr milliseconds result_timeout{5'000};

constexpr std::array<std::pair<const char*, target_task_state>, 6> state_names{
    {{"running", target_task_state::running}, {"done", target_task_state::done},
        {"failed", target_task_state::failed},
        {"stopped", target_task_state::stopped},
        {"lapsed", target_task_state::lapsed},
        {"unknown", target_task_state::unknown}}};

target_task_state parse_state(const std::string& text)
{
    for (const auto& [name, state] : state_names)
        if (text == name)
            return state;
    throw platform_error(
        "bad_target_answer", "a target reported the state '" + text + "'");
}

std::vector<target_task> parse_tasks(const json& in)
{
    std::vector<target_task> out;
    for (const auto& it : in)
        out.push_back({task_id(it.at("id").get<std::string>()),
            parse_state(it.at("state").get<std::string>())});
    return out;
}

start_outcome to_start_outcome(unsigned status)
{
    switch (status)
    {
    case 201:
        return start_outcome::started;
    case 200:
        return start_outcome::already_known;
    case 412:
        return start_outcome::deadline_passed;
    case 429:
        return start_outcome::no_slot;
    case 503:
        return start_outcome::leaving;
    default:
        return start_outcome::unknown;
    }
}

} // namespace

bool proves_not_started(start_outcome outcome)
{
    return outcome != start_outcome::started &&
           outcome != start_outcome::already_known &&
           outcome != start_outcome::unknown;
}

std::string get_name(start_outcome outcome)
{
    static constexpr std::array<const char*, 7> names{"started",
        "already_known", "no_slot", "leaving", "deadline_passed", "not_sent",
        "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

target_client::target_client(asio::io_context& io, const tcp::endpoint& target)
    : client_(io, target, max_connections)
{
}

asio::awaitable<http_result> target_client::send(
    http_request request, milliseconds timeout)
{
    http_result result = co_await client_.send(std::move(request), timeout);
    if (!result.response)
        co_return result;
    std::string text = result.response->get_header("Target-Time-Ms");
    std::int64_t time = 0;
    auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), time);
    if (status == std::errc() && end == text.data() + text.size())
        clock_ =
            target_clock_reading{result.response->get_header("Target-Boot"),
                target_time(time), std::chrono::steady_clock::now()};
    co_return result;
}

asio::awaitable<start_outcome> target_client::start(start_request request)
{
    http_request message;
    message.method = "POST";
    message.path = "/v1/tasks/" + request.id.get();
    message.headers["Owner"] = std::to_string(request.owner.get());
    message.headers["Start-Before-Ms"] =
        std::to_string(request.start_before.get());
    message.headers["Start-Boot"] = request.boot;
    message.headers["Lease-Ms"] = std::to_string(request.lease.count());
    message.headers["Task-Kind"] = request.is_urgent ? "urgent" : "slow";
    message.headers["Request-Id"] = request.request.get();
    if (!request.run_ms.empty())
        message.headers["Run-Ms"] = request.run_ms;
    message.body = std::move(request.payload);
    http_result result = co_await send(std::move(message), target_timeout);
    if (result.response)
        co_return to_start_outcome(result.response->status);
    co_return result.failure == http_failure::not_sent ? start_outcome::not_sent
                                                       : start_outcome::unknown;
}

asio::awaitable<std::optional<sync_result>> target_client::sync(
    session_id owner, milliseconds lease, milliseconds wait,
    std::vector<task_id> renew)
{
    json body{{"owner", std::to_string(owner.get())}};
    // Most polls go to idle targets, which need none of these fields.
    if (!renew.empty())
    {
        json ids = json::array();
        for (const auto& id : renew)
            ids.push_back(id.get());
        body["lease_ms"] = lease.count();
        body["renew"] = std::move(ids);
    }
    if (wait > milliseconds(0))
        body["wait_ms"] = wait.count();
    co_return co_await send_sync(body.dump(), target_timeout + wait);
}

asio::awaitable<std::optional<sync_result>> target_client::probe(
    milliseconds timeout)
{
    co_return co_await send_sync("{}", timeout);
}

asio::awaitable<std::optional<sync_result>> target_client::send_sync(
    std::string body, milliseconds timeout)
{
    http_request message;
    message.method = "POST";
    message.path = "/v1/sync";
    message.body = std::move(body);
    http_result result = co_await send(std::move(message), timeout);
    if (!result.response || result.response->status != 200)
        co_return std::nullopt;
    try
    {
        json answer = json::parse(result.response->body);
        sync_result out;
        out.slots = answer.at("slots").get<std::uint32_t>();
        out.free_slots = answer.at("free_slots").get<std::uint32_t>();
        if (answer.contains("tasks"))
            out.tasks = parse_tasks(answer.at("tasks"));
        co_return out;
    }
    catch (const std::exception&)
    {
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<target_task_report>> target_client::get_state(
    task_id id)
{
    http_request message;
    message.path = "/v1/tasks/" + id.get();
    http_result result = co_await send(std::move(message), target_timeout);
    if (!result.response || !clock_)
        co_return std::nullopt;
    // Copied now, because a concurrent response may replace the reading.
    target_task_report out{target_task_state::unknown, *clock_};
    if (result.response->status == 404)
        co_return out;
    if (result.response->status != 200)
        co_return std::nullopt;
    try
    {
        json answer = json::parse(result.response->body);
        out.state = parse_state(answer.at("state").get<std::string>());
        co_return out;
    }
    catch (const std::exception&)
    {
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<std::string>> target_client::get_result(
    task_id id, request_id request)
{
    http_request message;
    message.path = "/v1/tasks/" + id.get() + "/result";
    http_result result = co_await send(std::move(message), result_timeout);
    if (!result.response || result.response->status != 200)
        co_return std::nullopt;
    // A result that belongs to another request must never reach this caller.
    if (result.response->get_header("Request-Id") != request.get())
        co_return std::nullopt;
    co_return std::move(result.response->body);
}

asio::awaitable<std::optional<std::vector<target_task>>>
target_client::list_tasks()
{
    http_request message;
    message.path = "/v1/tasks";
    http_result result = co_await send(std::move(message), target_timeout);
    if (!result.response || result.response->status != 200)
        co_return std::nullopt;
    try
    {
        json answer = json::parse(result.response->body);
        co_return parse_tasks(answer.at("tasks"));
    }
    catch (const std::exception&)
    {
    }
    co_return std::nullopt;
}

asio::awaitable<bool> target_client::reboot()
{
    http_request message;
    message.method = "POST";
    message.path = "/v1/reboot";
    http_result result = co_await send(std::move(message), target_timeout);
    co_return result.response&& result.response->status < 300;
}

asio::awaitable<bool> target_client::control(task_id id, std::string action)
{
    http_request message;
    message.method = "POST";
    message.path = "/v1/tasks/" + id.get() + "/" + action;
    http_result result = co_await send(std::move(message), target_timeout);
    co_return result.response&& result.response->status < 300;
}

} // namespace cowslippass
