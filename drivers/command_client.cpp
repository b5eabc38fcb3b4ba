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

/// An entry that waits until a change is in force responds after about 5 s; a
/// shorter attempt would time out on a healthy entry.
constexpr milliseconds min_attempt_time{8'000};

http_request make_request(const command_request& command)
{
    http_request out;
    out.method = "POST";
    out.path = "/v1/command";
    out.headers["Authorization"] = "Bearer " + command.key;
    out.headers["Command-Id"] = command.id.get();
    if (command.waits_until_in_force)
        out.headers["Wait"] = "1";
    if (command.is_dry_run)
        out.headers["Dry-Run"] = "1";
    out.body = command.text;
    return out;
}

/// @return the string member `name`, or an empty string if there is none.
std::string get_text(const json& in, const char* name)
{
    if (!in.is_object() || !in.contains(name) || !in[name].is_string())
        return {};
    return in[name].get<std::string>();
}

/// @return whether the change may have been committed in spite of this error
///   response. A 5xx status other than 503 counts as such unless the entry
///   states that the command did not run, because the error may have followed
///   the commit.
bool may_be_committed(unsigned status, const json& error)
{
    std::string run = get_text(error, "run");
    if (run == "unknown" || get_text(error, "code") == "outcome_unknown")
        return true;
    bool is_proved_unapplied = run == "no" || status == 503;
    return status >= 500 && !is_proved_unapplied;
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
    else if (is_change &&
             (is_success || may_be_committed(response.status, body)))
        out.outcome = command_outcome::unknown;
    else if (is_success || response.status >= 500)
        out.outcome = command_outcome::no_entry_available;
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
    bool has_unknown_attempt = false;
    command_reply reply;
    std::size_t attempts = entries.size() * (command.is_change ? 2 : 1);
    for (std::size_t i = 0; i < attempts; ++i)
    {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - now());
        bool is_retry_round = i >= entries.size();
        if (left <= milliseconds(0) || (is_retry_round && !has_unknown_attempt))
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
            has_unknown_attempt = true;
        if (reply.outcome == command_outcome::refused && !has_unknown_attempt)
            break;
    }
    // A rejection by one entry does not decide an earlier attempt that another
    // entry may still be processing.
    if (has_unknown_attempt)
        reply.outcome = command_outcome::unknown;
    co_return reply;
}

} // namespace cowslippass
