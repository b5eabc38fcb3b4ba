#include "tests/stand_ins/users_platform.hpp"

#include <algorithm>
#include <limits>
#include <openssl/evp.h>
#include <utility>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds poll_interval{5};
/// Longer than callers wait for a reply.
constexpr milliseconds lost_reply_time{5'000};
constexpr std::size_t max_row_bytes = 65'536;
constexpr std::size_t max_transaction_rows = 100;
constexpr std::size_t max_transaction_bytes = 1'000'000;

std::string to_base64(const std::string& text)
{
    std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
    int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::string from_base64(const std::string& text)
{
    std::string out(text.size(), '\0');
    int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()));
    for (auto it = text.rbegin(); it != text.rend() && *it == '='; ++it)
        --n;
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::int64_t get_clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

http_response make_response(unsigned status, const json& body)
{
    http_response out;
    out.status = status;
    out.body = body.dump();
    return out;
}

http_server_options make_options(unsigned short port = 0)
{
    http_server_options out;
    out.endpoint = parse_endpoint("127.0.0.1:" + std::to_string(port));
    return out;
}

} // namespace

struct users_platform::target
{
    struct run
    {
        std::uint64_t number = 0;
        std::int64_t done_at = 0;   ///< In milliseconds.
        std::int64_t lease_end = 0; ///< In milliseconds.
    };

    std::string id;
    milliseconds task_duration{0};
    std::int64_t incarnation_start = 1;
    int poll_count = 0;
    bool is_unreachable = false;
    std::uint64_t min_fence = 0;
    std::uint64_t max_fence = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t fence = 0;            ///< Highest fencing token seen.
    std::map<std::string, run> running; ///< By task name.
    std::vector<json> ended; ///< Ends not acknowledged yet, as on the wire.
    std::uint64_t last_end_number = 0;
    std::unique_ptr<http_server> server;

    bool is_reachable_for(std::uint64_t caller) const
    {
        return !is_unreachable && caller >= min_fence && caller <= max_fence;
    }

    /// Moves the runs that are due to end from `running` to `ended`.
    void end_finished_tasks()
    {
        std::int64_t now = get_clock_ms();
        for (auto it = running.begin(); it != running.end();)
        {
            const run& ending = it->second;
            if (std::min(ending.done_at, ending.lease_end) > now)
            {
                ++it;
                continue;
            }
            bool is_done = ending.done_at <= ending.lease_end;
            ended.push_back(json::array({++last_end_number, it->first,
                ending.number, is_done ? "done" : "lapsed", ""}));
            it = running.erase(it);
        }
    }

    /// @param limit longest lease; nothing if leases do not expire.
    /// @return the end of a lease that is requested now.
    static std::int64_t get_lease_end(
        const json& request, std::optional<milliseconds> limit)
    {
        if (!limit)
            return std::numeric_limits<std::int64_t>::max();
        return std::min(request.value("deadlineMs", std::int64_t{0}),
            get_clock_ms() + limit->count());
    }
};

users_platform::users_platform(asio::io_context& io) : io_(io)
{
    add_store_access();
}

users_platform::~users_platform() = default;

tcp::endpoint users_platform::get_store_endpoint() const
{
    return parse_endpoint(
        "127.0.0.1:" +
        std::to_string(store_accesses_.front()->server->get_port()));
}

users_platform::store_access& users_platform::add_store_access()
{
    auto access = std::make_unique<store_access>();
    access->server = std::make_unique<http_server>(io_, make_options(),
        [this, it = access.get()](http_request request)
        { return handle_store_request(*it, std::move(request)); });
    store_accesses_.push_back(std::move(access));
    return *store_accesses_.back();
}

asio::awaitable<void> users_platform::sleep(milliseconds time)
{
    asio::steady_timer timer(io_);
    timer.expires_after(time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void users_platform::put(
    const std::string& table, const std::string& key, const std::string& value)
{
    rows_[{table, key}] = {to_base64(value), ++version_, false};
}

std::string users_platform::get_row(
    const std::string& table, const std::string& key) const
{
    auto it = rows_.find({table, key});
    if (it == rows_.end() || it->second.is_deleted)
        return {};
    return from_base64(it->second.value);
}

void users_platform::publish_config(int version, bool has_queue)
{
    json config{{"version", version}, {"routes", json::array()},
        {"services", {{{"name", "p"}}}}, {"tenants", json::array()},
        {"limits", json::object()}};
    if (has_queue)
        config["routes"].push_back(
            {{"name", "q"}, {"host", "h"}, {"prefix", "/q/"}, {"priority", 0},
                {"service", "p"}, {"maxAttempts", 2}, {"stretch", 2},
                {"targetDurationMs", 500}, {"allowAnonymous", true}});
    put("op", "config", config.dump());
}

void users_platform::start_target(const std::string& id,
    milliseconds task_duration, std::int64_t incarnation_start,
    unsigned short port)
{
    auto it = std::make_shared<target>();
    it->id = id;
    it->task_duration = task_duration;
    it->incarnation_start = incarnation_start;
    it->server = std::make_unique<http_server>(io_, make_options(port),
        [this, it](http_request request)
        { return handle_target_request(it, std::move(request)); });
    targets_[id] = it;
}

void users_platform::add_target(
    const std::string& id, milliseconds task_duration)
{
    start_target(id, task_duration, 1, 0);
    list_target(id);
}

void users_platform::restart_target(
    const std::string& id, milliseconds task_duration)
{
    target& former = *targets_.at(id);
    unsigned short port = former.server->get_port();
    // Its requests in progress get no answer.
    former.is_unreachable = true;
    former.server->stop();
    start_target(id, task_duration, former.incarnation_start + 1, port);
}

void users_platform::list_target(const std::string& id)
{
    json report{{"service", "p"},
        {"address",
            "127.0.0.1:" + std::to_string(targets_[id]->server->get_port())},
        {"zone", "z"}, {"state", "ready"},
        {"capacity", {{"cpu", 4'000}, {"memMb", 4'000}, {"gpus", 0}}},
        {"labels", {"a", "r1"}}, {"seq", 1},
        {"born", targets_[id]->incarnation_start}};
    put("servers", id, report.dump());
}

void users_platform::unlist_target(const std::string& id)
{
    rows_[{"servers", id}] = {"", ++version_, true};
}

void users_platform::set_unreachable(const std::string& id, bool is_unreachable)
{
    targets_[id]->is_unreachable = is_unreachable;
}

void users_platform::set_reachable_for(
    const std::string& id, std::uint64_t min_fence, std::uint64_t max_fence)
{
    targets_[id]->min_fence = min_fence;
    targets_[id]->max_fence = max_fence;
}

std::vector<std::string> users_platform::list_running_targets(
    const std::string& task)
{
    std::vector<std::string> out;
    for (const auto& [id, it] : targets_)
    {
        it->end_finished_tasks();
        if (it->running.contains(task))
            out.push_back(id);
    }
    return out;
}

milliseconds users_platform::get_start_span() const
{
    return milliseconds(last_start_ms_ - first_start_ms_);
}

int users_platform::get_poll_count(const std::string& id) const
{
    return targets_.at(id)->poll_count;
}

void users_platform::add_instance(const std::string& id)
{
    instances_.insert(id);
}

void users_platform::publish_wave(
    std::uint64_t number, std::uint32_t max_unavailable_instances)
{
    json wave{{"wave", number}, {"machines", instances_}, {"deadlineS", 20},
        {"maxCount", max_unavailable_instances}};
    put("op", "wave/" + std::to_string(number), wave.dump());
}

asio::awaitable<http_response> users_platform::handle_instance_request(
    http_request request)
{
    if (request.path == "/-/machines")
    {
        json list = json::array();
        for (const std::string& it : instances_)
            list.push_back({{"hostId", it}, {"pool", "p"},
                {"state", maintained_instances_.contains(it) ? "upkeep" : "up"},
                {"zone", "z"}, {"labels", {"a", "r1"}},
                {"capacity", {{"cpu", 4'000}, {"memMb", 4'000}, {"gpus", 0}}},
                {"id", nullptr}});
        co_return make_response(200, {{"machines", list}});
    }
    json body = json::parse(request.body);
    maintained_instances_.insert(body.at("hostId").get<std::string>());
    while (is_holding_order_replies_)
        co_await sleep(poll_interval);
    co_return make_response(200, json::object());
}

json users_platform::encode_row(const row_key& key, const row& it) const
{
    json out{{"table", key.first}, {"part", ""}, {"key", key.second},
        {"ver", it.version}};
    if (it.is_deleted)
        out["deleted"] = true;
    else
        out["value"] = it.value;
    return out;
}

std::vector<std::string> users_platform::list_keys(
    const std::string& table) const
{
    std::vector<std::string> out;
    for (const auto& [key, it] : rows_)
        if (key.first == table && !it.is_deleted)
            out.push_back(key.second);
    return out;
}

http_response users_platform::commit(const json& body)
{
    std::size_t row_count = body.at("expected").size() +
                            body.at("upserts").size() +
                            body.at("deletes").size();
    bool is_too_large =
        std::ranges::any_of(body.at("upserts"),
            [](const json& it)
            {
                return from_base64(it.at("value").get<std::string>()).size() >
                       max_row_bytes;
            }) ||
        row_count > max_transaction_rows ||
        body.dump().size() > max_transaction_bytes;
    if (is_too_large)
    {
        ++refused_size_count_;
        return make_response(400, json::object());
    }
    auto is_rejected = [&](const json& it)
    {
        return rejected_rows_.contains(
            row_key(it.at("table").get<std::string>(),
                it.at("key").get<std::string>()));
    };
    if (std::ranges::any_of(body.at("upserts"), is_rejected))
        return make_response(400, json::object());
    json current = json::array();
    bool is_met = true;
    for (const json& it : body.at("expected"))
    {
        row_key key{it.at("table"), it.at("key")};
        auto found = rows_.find(key);
        bool is_there = found != rows_.end() && !found->second.is_deleted;
        std::uint64_t version = is_there ? found->second.version : 0;
        is_met &= version == it.at("ver").get<std::uint64_t>();
        if (is_there)
            current.push_back(encode_row(key, found->second));
    }
    if (!is_met)
        return make_response(412, {{"rows", current}, {"ver", version_}});
    ++version_;
    for (const json& it : body.at("upserts"))
        rows_[{it.at("table"), it.at("key")}] = {
            it.at("value").get<std::string>(), version_, false};
    for (const json& it : body.at("deletes"))
        rows_[{it.at("table"), it.at("key")}] = {"", version_, true};
    return make_response(200, {{"ver", version_}, {"nowMs", get_clock_ms()}});
}

http_response users_platform::read(const http_request& request) const
{
    json rows = json::array();
    for (const auto& [key, it] : rows_)
        if (key.first == request.get_query("table") && !it.is_deleted &&
            key.second >= request.get_query("from"))
            rows.push_back(encode_row(key, it));
    return make_response(
        200, {{"rows", rows}, {"hasMore", false}, {"ver", version_}});
}

asio::awaitable<http_response> users_platform::handle_feed_request(
    http_request request)
{
    std::uint64_t after = std::stoull(request.get_query("after"));
    std::int64_t end = get_clock_ms() + std::stoll(request.get_query("waitMs"));
    json rows = json::array();
    while (rows.empty() && get_clock_ms() < end)
    {
        for (const auto& [key, it] : rows_)
            if (key.first == request.get_query("table") && it.version > after)
                rows.push_back(encode_row(key, it));
        if (rows.empty())
            co_await sleep(poll_interval);
    }
    co_return make_response(200, {{"rows", rows}, {"ver", version_}});
}

asio::awaitable<http_response> users_platform::handle_transaction(
    store_access& access, http_request request)
{
    if (transaction_time_ > milliseconds(0))
        co_await sleep(transaction_time_);
    json body = json::parse(request.body);
    bool is_release = std::ranges::any_of(body.at("upserts"),
        [](const json& it)
        {
            return it.at("table") == "control" &&
                   json::parse(from_base64(it.at("value").get<std::string>()))
                       .at("released")
                       .get<bool>();
        });
    auto fault = is_release ? std::exchange(access.fault, release_fault::none)
                            : release_fault::none;
    auto report = [&]
    {
        if (is_release && access.on_release)
            std::exchange(access.on_release, {})();
    };
    if (fault == release_fault::refused)
    {
        report();
        co_return make_response(503, json::object());
    }
    if (fault == release_fault::applied_late)
    {
        report();
        co_await sleep(release_delay);
    }
    http_response out = fault == release_fault::not_received
                            ? make_response(503, json::object())
                            : commit(body);
    report();
    // The caller closes the connection when its time-out expires.
    if (fault != release_fault::none)
        co_await sleep(lost_reply_time);
    co_return out;
}

asio::awaitable<http_response> users_platform::handle_store_request(
    store_access& access, http_request request)
{
    if (request.path.starts_with("/-/machine"))
        co_return co_await handle_instance_request(std::move(request));
    while (access.is_cut_off)
        co_await sleep(poll_interval);
    if (is_store_unavailable_)
        co_return make_response(503, json::object());
    if (request.path == "/-/rows-tx")
        co_return co_await handle_transaction(access, std::move(request));
    if (request.path == "/-/rows-get")
        co_return read(request);
    if (request.path == "/-/rows-feed")
        co_return co_await handle_feed_request(std::move(request));
    co_return make_response(404, json::object());
}

asio::awaitable<http_response> users_platform::handle_target_request(
    std::shared_ptr<target> it, http_request request)
{
    json body = json::parse(request.body);
    auto fence = body.at("fenceToken").get<std::uint64_t>();
    while (!it->is_reachable_for(fence))
        co_await sleep(poll_interval);
    if (target_delay_ > milliseconds(0))
        co_await sleep(target_delay_);
    if (fence < it->fence)
        co_return make_response(
            409, {{"clockMs", get_clock_ms()}, {"reason", "fence"}});
    it->fence = fence;
    if (request.path == "/-/run-start")
    {
        auto task = body.at("task").get<std::string>();
        it->end_finished_tasks();
        if (!it->running.contains(task))
        {
            if (!list_running_targets(task).empty())
                overlapping_starts_.push_back(task);
            last_start_ms_ = get_clock_ms();
            if (start_counts_.empty())
                first_start_ms_ = last_start_ms_;
            ++start_counts_[task];
            it->running[task] = {body.at("runId").get<std::uint64_t>(),
                get_clock_ms() + it->task_duration.count(),
                target::get_lease_end(body, lease_limit_)};
        }
        co_return make_response(200, {{"clockMs", get_clock_ms()}});
    }
    if (request.path == "/-/run-stop")
        co_return make_response(200, {{"clockMs", get_clock_ms()}});
    it->end_finished_tasks();
    for (auto& [task, run] : it->running)
        run.lease_end =
            std::max(run.lease_end, target::get_lease_end(body, lease_limit_));
    auto seen = body.value("seenUpto", std::uint64_t{0});
    std::erase_if(it->ended,
        [&](const json& end) { return end[0].get<std::uint64_t>() <= seen; });
    std::int64_t end = get_clock_ms() + body.value("waitMs", std::int64_t{0});
    for (it->end_finished_tasks(); it->ended.empty() && get_clock_ms() < end;
         it->end_finished_tasks())
        co_await sleep(poll_interval);
    if (!it->is_reachable_for(fence))
        co_await sleep(lost_reply_time);
    ++it->poll_count;
    json running = json::array();
    for (const auto& [task, run] : it->running)
        running.push_back(json::array({task, run.number, "", 50, 0}));
    co_return make_response(
        200, {{"clockMs", get_clock_ms()}, {"born", it->incarnation_start},
                 {"running", running}, {"ended", it->ended}});
}

} // namespace cowslippass
