#include "drivers/command_client.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/http_client.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// An entry that waits until a change is in force answers after about 5 s;
/// less time for an attempt would give up on entries that work.
constexpr milliseconds min_attempt_time{8'000};

http_request make_request(const command_request& command)
{
    http_request out;
    out.method = "POST";
    out.path = "/v1/command";
    out.headers["Authorization"] = "Bearer " + command.key;
    out.headers["Command-Id"] = command.id.get();
    if (command.is_wait)
        out.headers["Wait"] = "1";
    if (command.is_dry_run)
        out.headers["Dry-Run"] = "1";
    out.body = command.text;
    return out;
}

/// @return the member as text, or an empty string if `in` has no such text.
std::string get_text(const json& in, const char* name)
{
    if (!in.is_object() || !in.contains(name) || !in[name].is_string())
        return {};
    return in[name].get<std::string>();
}

/// Tells from an error whether the change may have been committed. A server
/// error is taken for that unless the entry says otherwise, as it may have
/// come after the commit.
bool is_unknown(unsigned status, const json& error)
{
    std::string run = get_text(error, "run");
    if (run == "unknown" || get_text(error, "code") == "outcome_unknown")
        return true;
    bool is_proved = run == "no" || status == 503;
    return status >= 500 && !is_proved;
}

command_reply read_response(const http_response& response, bool is_change)
{
    command_reply out;
    json body = json::parse(response.body, nullptr, false);
    out.body = response.body;
    out.code = get_text(body, "code");
    out.message = get_text(body, "message");
    if (out.message.empty())
        out.message = "HTTP status " + std::to_string(response.status);
    bool is_success = response.status >= 200 && response.status < 300;
    if (is_success && body.is_object())
        out.outcome = command_outcome::done;
    else if (is_change && (is_success || is_unknown(response.status, body)))
        out.outcome = command_outcome::unknown;
    else if (is_success || response.status >= 500)
        out.outcome = command_outcome::no_entry;
    else
        out.outcome = command_outcome::refused;
    return out;
}

command_reply read_result(const http_result& result, bool is_change)
{
    if (result.response)
        return read_response(*result.response, is_change);
    command_reply out;
    out.message = result.message;
    if (is_change && result.failure != http_failure::not_sent)
        out.outcome = command_outcome::unknown;
    return out;
}

} // namespace

asio::awaitable<command_reply> send_command(asio::io_context& io,
    const std::vector<tcp::endpoint>& entries, const command_request& command)
{
    auto now = [] { return std::chrono::steady_clock::now(); };
    auto deadline = now() + command.timeout;
    bool is_unresolved = false;
    command_reply reply;
    std::size_t attempts = entries.size() * (command.is_change ? 2 : 1);
    for (std::size_t i = 0; i < attempts; ++i)
    {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - now());
        bool is_second_round = i >= entries.size();
        if (left <= milliseconds(0) || (is_second_round && !is_unresolved))
            break;
        auto share = left / static_cast<int>(attempts - i);
        const tcp::endpoint& entry = entries[i % entries.size()];
        http_client client(io, entry, 1);
        http_result result = co_await client.send(make_request(command),
            std::min(left, std::max(share, min_attempt_time)));
        reply = read_result(result, command.is_change);
        if (reply.outcome == command_outcome::done)
            co_return reply;
        reply.message = format_endpoint(entry) + ": " + reply.message;
        if (reply.outcome == command_outcome::unknown)
            is_unresolved = true;
        if (reply.outcome == command_outcome::refused && !is_unresolved)
            break;
    }
    // A refusal by one entry says nothing about an earlier attempt, which
    // another entry may still be working on.
    if (is_unresolved)
        reply.outcome = command_outcome::unknown;
    co_return reply;
}

} // namespace cowslippass
