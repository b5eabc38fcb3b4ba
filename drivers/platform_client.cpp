#include "drivers/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_platform_connections = 16;
/// Longer than an ordinary response takes and short compared with the freshness
/// limit, within which the configuration has to be confirmed.
constexpr milliseconds platform_timeout{1'500};

json encode(const transaction& tx)
{
    json conditions = json::array();
    for (const auto& it : tx.conditions)
        conditions.push_back({{"key", it.key}, {"version", it.version.get()}});
    json writes = json::array();
    for (const auto& it : tx.writes)
    {
        json write{{"key", it.key}, {"value", nullptr}};
        if (it.value)
            write["value"] = *it.value;
        writes.push_back(std::move(write));
    }
    return {{"conditions", conditions}, {"writes", writes}};
}

row decode_row(const json& in)
{
    return {in.at("key"), in.at("value"),
        row_version(in.at("version").get<std::uint64_t>())};
}

} // namespace

platform_client::platform_client(
    asio::io_context& io, const tcp::endpoint& platform)
    : client_(io, platform, max_platform_connections)
{
}

asio::awaitable<http_result> platform_client::send(
    std::string operation, http_request request)
{
    auto begin = std::chrono::steady_clock::now();
    http_result result =
        co_await client_.send(std::move(request), platform_timeout);
    is_reachable_ = result.response && result.response->status < 500;
    if (is_reachable_)
        clock_.update_from_date(result.response->get_header("Date"),
            std::chrono::steady_clock::now());
    std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - begin;
    if (observer_)
        observer_(operation, time.count(), !is_reachable_);
    co_return result;
}

asio::awaitable<std::optional<http_response>> platform_client::fetch(
    std::string operation, http_request request)
{
    http_result result =
        co_await send(std::move(operation), std::move(request));
    if (!is_reachable_)
        co_return std::nullopt;
    co_return std::move(result.response);
}

asio::awaitable<transaction_result> platform_client::commit(transaction tx)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/transactions";
    request.body = encode(tx).dump();
    http_result result = co_await send("commit", std::move(request));
    transaction_result out;
    if (!result.response)
    {
        out.outcome = result.failure == http_failure::not_sent
                          ? transaction_outcome::unavailable
                          : transaction_outcome::unknown;
        co_return out;
    }
    const http_response& response = *result.response;
    try
    {
        if (response.status == 200)
        {
            json body = json::parse(response.body);
            for (const auto& [key, version] : body.at("versions").items())
                out.versions[key] = row_version(version.get<std::uint64_t>());
            out.outcome = transaction_outcome::committed;
        }
        else if (response.status == 409)
        {
            json body = json::parse(response.body);
            out.failed = body.at("failed").get<std::vector<std::string>>();
            out.outcome = transaction_outcome::conflict;
        }
        else
            out.outcome = transaction_outcome::unavailable;
    }
    catch (const json::exception&)
    {
        out.outcome = transaction_outcome::unknown;
    }
    co_return out;
}

asio::awaitable<std::optional<row>> platform_client::read(std::string key)
{
    http_request request;
    request.path = "/v1/row";
    request.query["key"] = key;
    auto response = co_await fetch("read", std::move(request));
    if (!response)
        co_return std::nullopt;
    if (response->status == 404)
        co_return row{std::move(key), {}, row_version(0)};
    if (response->status != 200)
        co_return std::nullopt;
    try
    {
        co_return decode_row(json::parse(response->body));
    }
    catch (const json::exception&)
    {
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<scan_result>> platform_client::scan(
    std::string prefix, std::string after, std::size_t limit)
{
    http_request request;
    request.path = "/v1/rows";
    request.query["prefix"] = std::move(prefix);
    request.query["after"] = std::move(after);
    request.query["limit"] = std::to_string(limit);
    auto response = co_await fetch("scan", std::move(request));
    if (!response || response->status != 200)
        co_return std::nullopt;
    try
    {
        json body = json::parse(response->body);
        scan_result out;
        for (const auto& it : body.at("rows"))
            out.rows.push_back(decode_row(it));
        out.has_more = body.at("more").get<bool>();
        co_return out;
    }
    catch (const json::exception&)
    {
    }
    co_return std::nullopt;
}

asio::awaitable<bool> platform_client::put_object(
    std::string name, std::string bytes)
{
    http_request request;
    request.method = "PUT";
    request.path = "/v1/objects/" + name;
    request.body = std::move(bytes);
    auto response = co_await fetch("put_object", std::move(request));
    co_return response && response->status < 300;
}

asio::awaitable<std::optional<std::string>> platform_client::get_object(
    std::string name)
{
    http_request request;
    request.path = "/v1/objects/" + name;
    auto response = co_await fetch("get_object", std::move(request));
    if (!response || response->status != 200)
        co_return std::nullopt;
    co_return std::move(response->body);
}

asio::awaitable<bool> platform_client::delete_object(std::string name)
{
    http_request request;
    request.method = "DELETE";
    request.path = "/v1/objects/" + name;
    auto response = co_await fetch("remove_object", std::move(request));
    co_return response && (response->status < 300 || response->status == 404);
}

platform_time platform_client::get_time() const
{
    return clock_.get_time(std::chrono::steady_clock::now());
}

void platform_client::set_instance_list(
    std::string tag, std::vector<instance_id> leaving)
{
    instance_list_etag_ = std::move(tag);
    leaving_instances_ = std::move(leaving);
}

asio::awaitable<std::optional<std::vector<instance_id>>>
platform_client::list_leaving_instances()
{
    http_request request;
    request.path = "/v1/instances";
    // The list of 4,300 instances takes 530 KB and changes rarely, so an
    // unchanged list is not transferred again.
    if (!instance_list_etag_.empty())
        request.headers["If-None-Match"] = instance_list_etag_;
    auto response = co_await fetch("list_leaving", std::move(request));
    if (response && response->status == 304)
        co_return leaving_instances_;
    if (!response || response->status != 200)
        co_return std::nullopt;
    try
    {
        std::vector<instance_id> out;
        json body = json::parse(response->body);
        for (const auto& it : body.at("instances"))
            if (it.at("state") == "leaving")
                out.emplace_back(it.at("id").get<std::string>());
        instance_list_etag_ = response->get_header("ETag");
        leaving_instances_ = out;
        co_return out;
    }
    catch (const json::exception&)
    {
    }
    co_return std::nullopt;
}

} // namespace cowslippass
