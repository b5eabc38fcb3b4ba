#include "tests/stand_ins/platform_service.hpp"

namespace cowslippass
{

using json = nlohmann::json;

namespace
{

constexpr std::size_t max_lists = 256;
constexpr std::size_t max_rows_per_scan = 1000;
constexpr std::string_view objects_path = "/v1/objects/";

http_response make_json(unsigned status, const json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response make_error(unsigned status, const std::string& message)
{
    return make_json(status, {{"message", message}});
}

} // namespace

void rate_peak::add(std::uint64_t n)
{
    auto now = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch())
                   .count();
    if (now != second_)
        current_ = 0;
    second_ = now;
    current_ += n;
    highest_ = std::max(highest_, current_);
}

asio::awaitable<void> platform_service::sleep(milliseconds time)
{
    if (time.count() <= 0)
        co_return;
    asio::steady_timer timer(io_);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<stand_in_response> platform_service::handle(
    http_request request)
{
    if (request.path == "/control" && request.method == "POST")
        co_return stand_in_response{set_control(json::parse(request.body))};
    if (request.path == "/control/counters")
        co_return stand_in_response{get_counters()};
    co_await sleep(delay_);
    if (outage_ == outage::silent)
        co_return stand_in_response{{}, delivery::none};
    if (outage_ == outage::refuse)
        co_return stand_in_response{make_error(503, "the platform is down")};
    stand_in_response out{dispatch(request)};
    out.response.headers["Date"] = get_date();
    bool is_committed =
        request.path == "/v1/transactions" && out.response.status == 200;
    if (is_committed && lose_replies_ > 0)
    {
        --lose_replies_;
        ++replies_lost_;
        out.how = lost_reply_;
    }
    co_await sleep(reply_delay_);
    co_return out;
}

std::string platform_service::get_date() const
{
    auto now = std::chrono::system_clock::now() + clock_ahead_;
    std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    char text[64];
    std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &fields);
    return text;
}

http_response platform_service::dispatch(const http_request& request)
{
    if (request.path == "/v1/transactions" && request.method == "POST")
        return commit(request);
    if (request.path == "/v1/row" && request.method == "GET")
        return get_row(request);
    if (request.path == "/v1/rows" && request.method == "GET")
        return get_rows(request);
    if (request.path == "/v1/instances")
        return handle_instances(request);
    if (request.path.starts_with(objects_path))
        return handle_object(request);
    return make_error(404, "no such path");
}

http_response platform_service::commit(const http_request& request)
{
    json body = json::parse(request.body);
    json conditions = body.value("conditions", json::array());
    json writes = body.value("writes", json::array());
    std::map<std::string, std::optional<std::string>> changes;
    // Everything is read before the first change, so that a malformed
    // transaction has no effect.
    for (const auto& it : writes)
    {
        const json& value = it.at("value");
        auto& change = changes[it.at("key").get<std::string>()];
        change.reset();
        if (!value.is_null())
            change = value.get<std::string>();
    }
    json failed = json::array();
    for (const auto& it : conditions)
    {
        auto key = it.at("key").get<std::string>();
        auto row = rows_.find(key);
        std::uint64_t version = row == rows_.end() ? 0 : row->second.version;
        if (version != it.at("version").get<std::uint64_t>())
            failed.push_back(key);
    }
    ++transactions_;
    transaction_peak_.add(1);
    if (!failed.empty())
    {
        ++conflicts_;
        return make_json(409, {{"failed", failed}});
    }
    json versions = json::object();
    for (auto& [key, value] : changes)
    {
        ++row_writes_by_kind_[key.substr(0, key.find('/'))];
        versions[key] = value ? ++last_version_ : 0;
        if (value)
            rows_[key] = {*value, last_version_};
        else
            rows_.erase(key);
    }
    row_writes_ += changes.size();
    write_peak_.add(changes.size());
    return make_json(200, {{"versions", versions}});
}

http_response platform_service::get_row(const http_request& request)
{
    ++row_reads_;
    read_peak_.add(1);
    auto it = rows_.find(request.get_query("key"));
    if (it == rows_.end())
        return make_error(404, "no such row");
    return make_json(200, {{"key", it->first}, {"value", it->second.value},
                              {"version", it->second.version}});
}

http_response platform_service::get_rows(const http_request& request)
{
    ++scans_;
    read_peak_.add(1);
    std::string prefix = request.get_query("prefix");
    std::string after = request.get_query("after");
    std::string limit_text = request.get_query("limit");
    std::size_t limit = max_rows_per_scan;
    if (!limit_text.empty())
        limit = std::min<std::size_t>(limit, std::stoul(limit_text));
    auto it =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    json found = json::array();
    for (; it != rows_.end() && it->first.starts_with(prefix) &&
           found.size() < limit;
         ++it)
        found.push_back({{"key", it->first}, {"value", it->second.value},
            {"version", it->second.version}});
    bool has_more = it != rows_.end() && it->first.starts_with(prefix);
    return make_json(200, {{"rows", found}, {"more", has_more}});
}

http_response platform_service::handle_object(const http_request& request)
{
    std::string name = request.path.substr(objects_path.size());
    if (request.method == "GET")
    {
        ++object_reads_;
        read_peak_.add(1);
        auto it = objects_.find(name);
        if (it == objects_.end())
            return make_error(404, "no such object");
        return {
            200, {{"Content-Type", "application/octet-stream"}}, it->second};
    }
    ++object_writes_;
    write_peak_.add(1);
    if (request.method == "PUT")
        objects_[name] = request.body;
    else if (request.method == "DELETE")
        objects_.erase(name);
    else
        return make_error(405, "use GET, PUT or DELETE");
    return {200, {}, {}};
}

http_response platform_service::handle_instances(const http_request& request)
{
    if (request.method == "PUT")
    {
        set_instances(json::parse(request.body).at("instances"));
        return {200, {}, {}};
    }
    auto shown_at = std::chrono::steady_clock::now() - list_lag_;
    json shown = json::array();
    for (const auto& it : lists_)
        if (it.set_at <= shown_at)
            shown = it.instances;
    http_response out = make_json(200, {{"instances", shown}});
    std::string tag = '"' + std::to_string(hash_64(out.body)) + '"';
    if (request.get_header("If-None-Match") == tag)
        return {304, {{"ETag", tag}}, {}};
    out.headers["ETag"] = tag;
    return out;
}

void platform_service::set_instances(const json& instances)
{
    lists_.push_back({std::chrono::steady_clock::now(), instances});
    if (lists_.size() > max_lists)
        lists_.pop_front();
}

http_response platform_service::set_control(const json& control)
{
    if (control.contains("down"))
    {
        const json& down = control["down"];
        if (down.is_string() && down != "silent")
            return make_error(400, "down is true, false or \"silent\"");
        outage_ = down.is_string()   ? outage::silent
                  : down.get<bool>() ? outage::refuse
                                     : outage::none;
    }
    delay_ = milliseconds(control.value("delay_ms", delay_.count()));
    reply_delay_ =
        milliseconds(control.value("reply_delay_ms", reply_delay_.count()));
    list_lag_ = milliseconds(control.value("list_lag_ms", list_lag_.count()));
    clock_ahead_ =
        milliseconds(control.value("clock_ahead_ms", clock_ahead_.count()));
    lose_replies_ = control.value("lose_replies", lose_replies_);
    if (control.contains("lost_reply"))
        lost_reply_ = control["lost_reply"] == "silent" ? delivery::none
                                                        : delivery::close;
    // Unlike `PUT /v1/instances`, this also works while the platform is down.
    if (control.contains("instances"))
        set_instances(control["instances"]);
    return make_json(200, json::object());
}

http_response platform_service::get_counters() const
{
    return make_json(200,
        {{"transactions", transactions_}, {"conflicts", conflicts_},
            {"row_writes", row_writes_},
            {"row_writes_by_kind", row_writes_by_kind_}, {"rows", rows_.size()},
            {"objects", objects_.size()}, {"row_reads", row_reads_},
            {"scans", scans_}, {"object_reads", object_reads_},
            {"object_writes", object_writes_}, {"replies_lost", replies_lost_},
            {"highest_transactions_per_second", transaction_peak_.get()},
            {"highest_writes_per_second", write_peak_.get()},
            {"highest_reads_per_second", read_peak_.get()}});
}

} // namespace cowslippass
