#include "tests/integration/test_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

caller_answer to_answer(const http_result& result)
{
    caller_answer out;
    out.run = "unknown";
    if (!result.response)
        return out;
    out.status = result.response->status;
    out.body = result.response->body;
    if (out.status < 300)
    {
        out.run = "yes";
        return out;
    }
    json body = json::parse(out.body, nullptr, false);
    if (body.is_object())
    {
        out.code = body.value("code", "");
        out.run = body.value("run", "unknown");
    }
    return out;
}

} // namespace

std::string get_expected_result(const std::string& payload)
{
    return sha256_hex(payload) + "\n" +
           std::string(payload.rbegin(), payload.rend());
}

std::int64_t get_unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

test_fleet::test_fleet(cluster_options options)
    : cluster_(options), operator_secret_(options.bootstrap_secret)
{
    for (const auto& entry : cluster_.get_entries())
        if (!cluster_.wait_until_ready(entry))
            throw std::runtime_error(entry.id + " did not become ready");
    std::string granted = run("grant operator admin")["secret"];
    operator_secret_ = granted;
    std::set<std::string> data_centres;
    for (const auto& entry : cluster_.get_entries())
        data_centres.insert(entry.data_centre);
    for (const auto& it : data_centres)
        run("create data-centre " + it);
    for (const auto& it : options.pools)
        run("create pool " + it + " max-unavailable 2");
    run("create team red share 1 limit 16");
    run("create team blue share 1 limit 8");
    keys_["red"] = run("grant key red-key to team red")["secret"];
    keys_["blue"] = run("grant key blue-key to team blue")["secret"];
    run("create queue urgent pool pool-1 urgent");
    run("create queue once pool pool-1 urgent non-idempotent");
    run("create queue slow pool pool-1 slow");
    for (const auto& it : cluster_.get_targets())
        run("add instance " + it.id + " data-centre " + it.data_centre +
            " rack " + it.rack + " address " +
            format_endpoint(it.get_endpoint()) + " pool " + it.pool);
    cluster_.publish_instances();
    wait_until_serving();
}

http_result test_fleet::try_run(const std::string& statement, std::size_t entry,
    const std::string& command_id, milliseconds timeout)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/command";
    request.headers["Authorization"] = "Bearer " + operator_secret_;
    if (!command_id.empty())
        request.headers["Command-Id"] = command_id;
    request.body = statement;
    return fetch(cluster_.get_entries().at(entry).get_http_endpoint(),
        std::move(request), timeout);
}

json test_fleet::run(
    const std::string& statement, std::size_t entry, bool waits_in_force)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/command";
    request.headers["Authorization"] = "Bearer " + operator_secret_;
    request.headers["Command-Id"] = make_random_hex(8);
    if (waits_in_force)
        request.headers["Wait"] = "1";
    request.body = statement;
    const auto& to = cluster_.get_entries().at(entry).get_http_endpoint();
    json answer;
    bool is_done = wait_until(
        [&]
        {
            auto result = fetch(to, request, milliseconds(15'000));
            if (!result.response)
                return false;
            answer = json::parse(result.response->body, nullptr, false);
            return result.response->status != 503;
        },
        milliseconds(20'000));
    bool is_refused = answer.is_object() && answer.contains("code");
    if (!is_done || is_refused)
        throw std::runtime_error(statement + ": " + answer.dump());
    return answer;
}

caller_answer test_fleet::post(const caller_request& request, std::size_t entry)
{
    http_request message;
    message.method = "POST";
    message.path = "/v1/queues/" + request.queue + "/requests";
    if (!request.key.empty())
        message.headers["Authorization"] = "Bearer " + keys_.at(request.key);
    if (!request.request_id.empty())
        message.headers["Request-Id"] = request.request_id;
    if (request.is_first_attempt)
        message.headers["Request-Attempt"] = "first";
    if (!request.run_ms.empty())
        message.headers["Run-Ms"] = request.run_ms;
    if (!request.deadline_ms.empty())
        message.headers["Deadline-Ms"] = request.deadline_ms;
    if (!request.first_sent.empty())
        message.headers["Request-Time"] = request.first_sent;
    message.body = request.payload;
    return to_answer(fetch(cluster_.get_entries().at(entry).get_http_endpoint(),
        std::move(message), request.timeout));
}

caller_answer test_fleet::ask(const std::string& method,
    const std::string& path, const std::string& team, std::size_t entry)
{
    http_request message;
    message.method = method;
    auto mark = path.find('?');
    message.path = path.substr(0, mark);
    if (mark != std::string::npos)
        parse_request_target(path, message);
    message.headers["Authorization"] = "Bearer " + keys_.at(team);
    return to_answer(fetch(cluster_.get_entries().at(entry).get_http_endpoint(),
        std::move(message)));
}

std::uint64_t test_fleet::count_runs(const std::string& request_id)
{
    std::uint64_t n = 0;
    for (const auto& it : cluster_.get_targets())
    {
        json runs =
            fetch_json(it.get_direct_endpoint(), "GET", "/control/runs");
        n += runs.at("runs").value(request_id, std::uint64_t(0));
    }
    return n;
}

std::size_t test_fleet::count_running()
{
    std::size_t n = 0;
    for (const auto& it : cluster_.get_targets())
    {
        json tasks = fetch_json(it.get_direct_endpoint(), "GET", "/v1/tasks");
        for (const auto& task : tasks.at("tasks"))
            n += task.at("state") == "running";
    }
    return n;
}

std::int64_t test_fleet::get_last_start(const std::string& data_centre)
{
    std::int64_t last = 0;
    for (const auto& it : cluster_.get_targets())
    {
        if (it.data_centre != data_centre)
            continue;
        json runs =
            fetch_json(it.get_direct_endpoint(), "GET", "/control/runs");
        for (const auto& start : runs.at("starts"))
            last = std::max(last, start.at("unix_ms").get<std::int64_t>());
    }
    return last;
}

void test_fleet::wait_until_serving()
{
    for (std::size_t i = 0; i < cluster_.get_entries().size(); ++i)
    {
        bool is_serving =
            wait_until([&] { return post(caller_request{}, i).is_ok(); },
                milliseconds(20'000));
        if (!is_serving)
            throw std::runtime_error(
                cluster_.get_entries()[i].id + " does not serve");
    }
}

json test_fleet::get_platform_counters()
{
    return fetch_json(
        cluster_.get_platform_endpoint(), "GET", "/control/counters");
}

} // namespace cowslippass
