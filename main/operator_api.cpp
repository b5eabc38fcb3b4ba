#include "main/operator_api.hpp"

#include "main/caller_api.hpp"
#include "systems/admission.hpp"
#include "systems/command_parser.hpp"
#include "systems/fleet_planner.hpp"
#include "systems/maintenance_strategy.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds in_force_poll_interval{50};
constexpr std::size_t max_command_id_length = 128;

http_response make_json(unsigned status, const json& body)
{
    http_response out;
    out.status = status;
    out.headers["Content-Type"] = "application/json";
    out.body = body.dump() + "\n";
    return out;
}

http_response make_refusal(
    unsigned status, const std::string& code, const std::string& message)
{
    return make_json(status, {{"code", code}, {"message", message}});
}

/// A retry through another entry must show the same secret, as only its
/// digest is stored; without the operator's own secret it cannot be guessed.
std::string derive_secret(
    const std::string& operator_secret, const command_id& command)
{
    return sha256_hex("granted/" + operator_secret + "/" + command.get())
        .substr(0, 40);
}

std::optional<std::string> set_digest(
    change_command& change, const std::string& secret)
{
    if (auto* key = std::get_if<grant_key_command>(&change))
        key->secret_sha256 = sha256_hex(secret);
    else if (auto* granted = std::get_if<grant_operator_command>(&change))
        granted->secret_sha256 = sha256_hex(secret);
    else
        return std::nullopt;
    return secret;
}

/// An instance that is added counts as maintained in the present pass; it
/// would otherwise be drained as soon as it serves.
std::vector<fleet_record> plan_change(
    const fleet_state& state, const change_command& change)
{
    auto records = plan(state, change);
    if (auto* added = std::get_if<add_instance_command>(&change))
    {
        instance_state_record maintained;
        maintained.id = added->instance;
        maintained.maintained_pass =
            get_maintenance_pass(std::chrono::floor<std::chrono::seconds>(
                std::chrono::system_clock::now()));
        records.push_back(maintained);
    }
    return records;
}

bool is_valid_command_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_command_id_length &&
           text.find_first_of("/ ?&%") == std::string::npos;
}

} // namespace

operator_api::operator_api(node_context& node, fleet_sync& sync,
    peer_network& peers, operator_services services)
    : node_(node), sync_(sync), peers_(peers), services_(std::move(services))
{
}

void operator_api::authenticate(const http_request& request) const
{
    std::string authorization = request.get_header("Authorization");
    std::string_view secret = get_bearer_token(authorization);
    if (secret.empty())
        throw admission_error(401, "missing_key",
            "the header 'Authorization: Bearer <operator key>' is required");
    if (node_.state.find_operator_by_secret(secret))
        return;
    const std::string& bootstrap = node_.config.bootstrap_secret_sha256;
    // The bootstrap secret creates the first operator and is void afterwards.
    bool is_bootstrap = !bootstrap.empty() &&
                        node_.state.get_operators().empty() &&
                        is_equal_constant_time(bootstrap, sha256_hex(secret));
    if (!is_bootstrap)
        throw admission_error(
            401, "unknown_key", "the operator key is unknown or withdrawn");
}

asio::awaitable<http_response> operator_api::handle(http_request request)
{
    std::optional<http_response> refused;
    try
    {
        if (request.method != "POST")
            throw admission_error(
                405, "method_not_allowed", "statements are posted");
        authenticate(request);
        std::string text = request.body;
        command parsed = parse_command(text);
        if (auto* change = std::get_if<change_command>(&parsed))
            co_return co_await run_change(*change, std::move(request));
        if (auto* query = std::get_if<query_command>(&parsed))
            co_return co_await run_query(*query, std::move(text));
        if (!request.get_header("Dry-Run").empty())
            throw admission_error(400, "no_dry_run",
                "only changes of the fleet can be checked without effect");
        if (auto* cancel = std::get_if<cancel_command>(&parsed))
            co_return co_await run_cancel(*cancel);
        co_return admit();
    }
    catch (const admission_error& e)
    {
        refused = make_refusal(e.get_status(), e.get_code(), e.what());
    }
    catch (const command_syntax_error& e)
    {
        refused = make_json(400,
            {{"code", e.get_code()}, {"message", std::string(e.what())},
                {"column", e.get_column()}, {"expected", e.get_expected()}});
    }
    catch (const systems_error& e)
    {
        refused = make_refusal(409, e.get_code(), e.what());
    }
    co_return *refused;
}

http_response operator_api::admit() const
{
    if (!node_.admission)
        return make_refusal(
            503, "not_registered", "this entry has no session yet");
    node_.admission->admit_by_operator();
    return make_json(200, {{"admitted", true}});
}

http_response operator_api::run_dry(const change_command& change) const
{
    auto records = plan_change(node_.state, change);
    return make_json(
        200, {{"dry_run", true}, {"records", records.size()},
                 {"would_write", json::parse(encode_records(records))},
                 {"version", node_.state.get_version().get()}});
}

asio::awaitable<http_response> operator_api::run_change(
    change_command change, http_request request)
{
    std::string id = request.get_header("Command-Id");
    if (id.empty())
        id = make_random_hex(16);
    if (!is_valid_command_id(id))
        co_return make_refusal(400, "bad_command_id",
            "'Command-Id' must be 1 to 128 characters without '/?&%'");
    command_id command(id);
    std::string authorization = request.get_header("Authorization");
    auto secret = set_digest(change,
        derive_secret(std::string(get_bearer_token(authorization)), command));
    if (!request.get_header("Dry-Run").empty())
        co_return run_dry(change);
    if (!node_.is_admitted())
        co_return make_refusal(503, "not_admitted",
            "no older entry has acknowledged this one yet; ask another entry, "
            "or if none runs any more, send: admit this entry");
    fleet_sync::planner planner = [change](const fleet_state& state)
    { return plan_change(state, change); };
    auto result = co_await sync_.append(command, std::move(planner));
    auto committed = get_now();
    if (result.status == append_status::unavailable)
        co_return make_refusal(503, "platform_unavailable",
            "the change is not committed, as the platform does not answer");
    if (result.status == append_status::unknown)
        co_return make_json(504,
            {{"code", "unknown"},
                {"message", "the change may be committed; send it again with "
                            "the same Command-Id"},
                {"command_id", id}});
    bool is_in_force = false;
    if (!request.get_header("Wait").empty())
        is_in_force = co_await wait_in_force(result.version, committed);
    json body{{"committed", result.version.get()}, {"in_force", is_in_force},
        {"records", result.records}, {"command_id", id}};
    if (secret)
        body["secret"] = *secret;
    write_log(log_level::info, "operator_api", "a change was committed",
        {{"version", result.version}, {"records", result.records},
            {"command", id}});
    co_return make_json(200, body);
}

bool operator_api::is_reported_by_all(config_version version) const
{
    for (const auto& [session, row] : node_.state.get_sessions())
    {
        if (session == node_.session)
            continue;
        const peer_summary* summary = peers_.find_summary(session);
        if (!summary || summary->version < version)
            return false;
    }
    return true;
}

asio::awaitable<bool> operator_api::wait_in_force(
    config_version version, monotonic_time committed)
{
    // After the freshness limit no entry acts without this version.
    auto certain = committed + node_.config.freshness_limit;
    while (get_now() < certain && !is_reported_by_all(version))
        co_await node_.sleep(in_force_poll_interval);
    co_return true;
}

asio::awaitable<http_response> operator_api::run_cancel(cancel_command cancel)
{
    auto n = co_await services_.cancel(std::move(cancel));
    if (!n)
        co_return make_refusal(503, "platform_unavailable",
            "the platform does not answer; some jobs may be cancelled");
    co_return make_json(200, {{"cancelled", *n}});
}

asio::awaitable<http_response> operator_api::run_query(
    query_command query, std::string text)
{
    query_engine::require_table(
        query.table, get_table_column(text), services_.list_tables());
    query_engine engine(node_.state);
    query_answer answer;
    if (!query_engine::is_fleet_table(query.table))
    {
        answer = co_await services_.collect(query.table);
        engine.add_table(std::move(answer.table));
    }
    answer.table = engine.run(query);
    answer.version = node_.state.get_version();
    answer.age = node_.get_freshness_age().value_or(milliseconds::max());
    http_response out;
    out.headers["Content-Type"] = "application/json";
    out.body = encode_answer(answer) + "\n";
    co_return out;
}

} // namespace cowslippass
