#include "tests/stand_ins/target_service.hpp"

#include <algorithm>

namespace cowslippass
{

using json = nlohmann::json;

namespace
{

constexpr std::string_view tasks_path = "/v1/tasks/";
constexpr std::chrono::minutes ended_retention{10};
constexpr std::size_t max_ended = 4096;
constexpr std::size_t max_ended_bytes = 64 * 1024 * 1024;
constexpr std::size_t max_recorded_starts = 100'000;
constexpr std::size_t max_usage_samples = 4096;
constexpr milliseconds max_sync_wait{30'000};
constexpr double throttled_speed = 0.25;

http_response make_json(unsigned status, const json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response make_error(unsigned status, const std::string& message)
{
    return make_json(status, {{"message", message}});
}

double to_ms(monotonic_time::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

monotonic_time::duration from_ms(double ms)
{
    // Rounded up, so that a timer set to this time finds the work finished.
    return std::chrono::duration_cast<monotonic_time::duration>(
               std::chrono::duration<double, std::milli>(ms)) +
           monotonic_time::duration(1);
}

/// @throws std::exception when the header is missing or not a number.
std::int64_t get_number(const http_request& request, std::string_view name)
{
    std::string text = request.get_header(name);
    if (text.empty())
        throw std::invalid_argument(std::string(name) + " is missing");
    return std::stoll(text);
}

std::string make_result(const std::string& payload)
{
    std::string out = sha256_hex(payload) + "\n";
    out.append(payload.rbegin(), payload.rend());
    return out;
}

std::int64_t get_unix_time_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

target_service::target_service(asio::io_context& io, target_options options)
    : io_(io), options_(std::move(options)), timer_(io)
{
    // Differs between targets, so that a mix-up of clocks shows, and is the
    // same after a restart, so that the clock never goes back.
    constexpr std::uint64_t offset_range_ms = 1'000'000'000;
    clock_offset_ms_ =
        static_cast<std::int64_t>(hash_64(options_.id) % offset_range_ms);
}

std::int64_t target_service::get_clock_ms(monotonic_time at) const
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch())
               .count() +
           clock_offset_ms_;
}

asio::awaitable<void> target_service::wait_until_thawed()
{
    while (std::chrono::steady_clock::now() < frozen_until_)
    {
        asio::steady_timer timer(io_);
        timer.expires_at(frozen_until_);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<stand_in_response> target_service::handle(http_request request)
{
    if (request.path == "/control" && request.method == "POST")
        co_return stand_in_response{set_control(json::parse(request.body))};
    if (request.path == "/control/runs")
        co_return stand_in_response{get_runs()};
    co_await wait_until_thawed();
    stand_in_response out;
    try
    {
        out.response = co_await dispatch(request);
    }
    catch (const std::exception& e)
    {
        out.response = make_error(400, e.what());
    }
    bool is_result = request.path.ends_with("/result");
    if (is_result && out.response.status == 200 && truncates_results_)
        out.how = delivery::cut_short;
    out.response.headers["Target-Boot"] = boot_;
    out.response.headers["Target-Time-Ms"] =
        std::to_string(get_clock_ms(std::chrono::steady_clock::now()));
    co_return out;
}

asio::awaitable<http_response> target_service::dispatch(
    const http_request& request)
{
    update_tasks();
    bool is_get = request.method == "GET";
    bool is_post = request.method == "POST";
    if (request.path == "/v1/sync" && is_post)
        co_return co_await sync(request);
    if (request.path == "/v1/tasks" && is_get)
        co_return list_tasks();
    if (request.path == "/v1/reboot" && is_post)
        co_return reboot();
    if (request.path == "/v1/usage" && is_get)
        co_return get_usage();
    if (!request.path.starts_with(tasks_path))
        co_return make_error(404, "no such path");
    std::string id = request.path.substr(tasks_path.size());
    auto slash = std::min(id.find('/'), id.size());
    std::string operation;
    if (slash < id.size())
        operation = id.substr(slash + 1);
    id.resize(slash);
    if (is_get && operation.empty())
        co_return get_task(id);
    if (is_get && operation == "result")
        co_return get_result(id);
    if (is_post && operation.empty())
        co_return start(id, request);
    if (is_post)
        co_return change_task(id, operation);
    co_return make_error(405, "use GET or POST");
}

http_response target_service::refuse(unsigned status, const std::string& reason)
{
    ++refusals_[reason];
    return make_json(status, {{"refused", reason}});
}

http_response target_service::start(
    const std::string& id, const http_request& request)
{
    auto known = tasks_.find(id);
    if (known != tasks_.end())
    {
        ++repeated_starts_;
        return make_json(200, describe(known->second));
    }
    std::int64_t start_before = 0;
    std::int64_t lease_ms = 0;
    auto run_ms = static_cast<double>(options_.run_time.count());
    try
    {
        start_before = get_number(request, "Start-Before-Ms");
        lease_ms = get_number(request, "Lease-Ms");
        if (!request.get_header("Run-Ms").empty())
            run_ms = static_cast<double>(get_number(request, "Run-Ms"));
    }
    catch (const std::exception&)
    {
        return refuse(400, "malformed");
    }
    auto now = std::chrono::steady_clock::now();
    if (get_clock_ms(now) >= start_before)
        return refuse(412, "deadline");
    if (request.get_header("Start-Boot") != boot_)
        return refuse(412, "boot");
    if (is_leaving_)
        return refuse(503, "leaving");
    if (running_ >= options_.slots)
        return refuse(429, "no_slot");

    task& it = tasks_[id];
    it.id = id;
    it.owner = request.get_header("Owner");
    it.kind = request.get_header("Task-Kind");
    it.request_id = request.get_header("Request-Id");
    it.payload = request.body;
    it.is_failing = fails_all_;
    it.run_ms = it.is_failing ? 0 : run_ms;
    it.remaining_ms = it.run_ms;
    it.advanced_at = now;
    it.lease_end = now + milliseconds(lease_ms);
    highest_running_ = std::max(highest_running_, ++running_);
    note_start(it);
    note_usage();
    json body = describe(it);
    update_tasks();
    return make_json(201, body);
}

void target_service::note_start(task& it)
{
    ++runs_[it.request_id];
    ++start_count_;
    if (starts_.size() >= max_recorded_starts)
        return;
    it.start_index = starts_.size();
    starts_.push_back(
        {{"task", it.id}, {"request_id", it.request_id}, {"kind", it.kind},
            {"owner", it.owner}, {"unix_ms", get_unix_time_ms()}});
}

asio::awaitable<http_response> target_service::sync(const http_request& request)
{
    json body = json::parse(request.body);
    auto owner = body.value("owner", std::string());
    milliseconds wait(body.value("wait_ms", std::int64_t{0}));
    auto ids = body.value("renew", std::vector<std::string>());
    milliseconds lease(0);
    if (!ids.empty())
        lease = milliseconds(body.at("lease_ms").get<std::int64_t>());
    auto now = std::chrono::steady_clock::now();
    for (const auto& id : ids)
    {
        auto it = tasks_.find(id);
        if (it == tasks_.end() || it->second.state != "running")
            continue;
        it->second.owner = owner;
        it->second.lease_end = now + lease;
    }
    update_tasks();
    auto until = now + std::min(wait, max_sync_wait);
    // A task that was started after the poll began ends it as well.
    std::size_t first_new = ended_by_owner_[owner].size();
    const std::string boot = boot_;
    while (!has_ended_task(ids) && ended_by_owner_[owner].size() == first_new &&
           std::chrono::steady_clock::now() < until)
    {
        auto timer = std::make_shared<asio::steady_timer>(io_);
        timer->expires_at(until);
        pollers_.push_back(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        std::erase(pollers_, timer);
    }
    co_await wait_until_thawed();
    update_tasks();
    const auto& ended = ended_by_owner_[owner];
    for (std::size_t i = first_new; i < ended.size(); ++i)
        if (std::find(ids.begin(), ids.end(), ended[i]) == ids.end())
            ids.push_back(ended[i]);
    json states = json::array();
    for (const auto& id : ids)
    {
        auto it = tasks_.find(id);
        states.push_back({{"id", id},
            {"state", it == tasks_.end() ? "unknown" : it->second.state}});
    }
    json answer{
        {"slots", options_.slots}, {"free_slots", options_.slots - running_}};
    if (!states.empty())
        answer["tasks"] = std::move(states);
    // Without a content type: the answer to an idle sync is the most frequent
    // message of a fleet.
    co_return http_response{200, {}, answer.dump()};
}

bool target_service::has_ended_task(const std::vector<std::string>& ids) const
{
    return std::any_of(ids.begin(), ids.end(),
        [&](const std::string& id)
        {
            auto it = tasks_.find(id);
            return it == tasks_.end() || it->second.state != "running";
        });
}

json target_service::describe(const task& it) const
{
    return {{"id", it.id}, {"state", it.state}, {"owner", it.owner},
        {"kind", it.kind}, {"request_id", it.request_id},
        {"throttled", it.is_throttled}, {"checkpoint_ms", it.checkpoint_ms}};
}

http_response target_service::list_tasks() const
{
    json all = json::array();
    for (const auto& [id, it] : tasks_)
        all.push_back(describe(it));
    return make_json(
        200, {{"slots", options_.slots},
                 {"free_slots", options_.slots - running_}, {"tasks", all}});
}

http_response target_service::get_task(const std::string& id) const
{
    auto it = tasks_.find(id);
    if (it == tasks_.end())
        return make_json(404, {{"id", id}, {"state", "unknown"}});
    return make_json(200, describe(it->second));
}

http_response target_service::get_result(const std::string& id) const
{
    auto it = tasks_.find(id);
    if (it == tasks_.end())
        return make_json(404, {{"id", id}, {"state", "unknown"}});
    if (it->second.state != "done")
        return make_json(409, describe(it->second));
    return {200,
        {{"Content-Type", "application/octet-stream"},
            {"Request-Id", it->second.request_id}},
        it->second.result};
}

http_response target_service::change_task(
    const std::string& id, const std::string& operation)
{
    auto found = tasks_.find(id);
    if (found == tasks_.end())
        return make_json(404, {{"id", id}, {"state", "unknown"}});
    task& it = found->second;
    bool is_running = it.state == "running";
    if (is_running)
        advance(it, std::chrono::steady_clock::now());
    if (operation == "stop" && is_running)
        end_task(it, "stopped");
    else if (operation == "throttle" || operation == "resume")
        it.is_throttled = operation == "throttle";
    else if (operation == "checkpoint" && is_running)
        it.checkpoint_ms = it.run_ms - it.remaining_ms;
    else if (operation != "stop" && operation != "checkpoint")
        return make_error(404, "no such operation");
    json body = describe(it);
    update_tasks();
    return make_json(200, body);
}

void target_service::advance(task& it, monotonic_time now)
{
    double speed = it.is_throttled ? throttled_speed : 1.0;
    it.remaining_ms -= speed * to_ms(now - it.advanced_at);
    it.remaining_ms = std::max(it.remaining_ms, 0.0);
    it.advanced_at = now;
}

void target_service::end_task(task& it, const std::string& state)
{
    it.state = state;
    it.ended_at = std::chrono::steady_clock::now();
    if (state == "done")
        it.result = make_result(it.payload);
    it.payload = std::string();
    if (it.start_index)
        starts_[*it.start_index]["ended_unix_ms"] = get_unix_time_ms();
    --running_;
    ended_.push_back(it.id);
    ended_by_owner_[it.owner].push_back(it.id);
    ended_bytes_ += it.result.size();
    note_usage();
    for (const auto& poller : pollers_)
        poller->cancel();
}

void target_service::drop_ended(monotonic_time now)
{
    while (!ended_.empty())
    {
        auto it = tasks_.find(ended_.front());
        bool is_old = now - it->second.ended_at > ended_retention;
        if (!is_old && ended_.size() <= max_ended &&
            ended_bytes_ <= max_ended_bytes)
            return;
        ended_bytes_ -= it->second.result.size();
        tasks_.erase(it);
        ended_.pop_front();
    }
}

void target_service::update_tasks()
{
    auto now = std::chrono::steady_clock::now();
    auto next = monotonic_time::max();
    for (auto& [id, it] : tasks_)
    {
        if (it.state != "running")
            continue;
        // A task whose run ended before its lease did is done, even when
        // both are noticed at the same time.
        advance(it, std::min(now, std::max(it.lease_end, it.advanced_at)));
        if (it.remaining_ms <= 0)
            end_task(it, it.is_failing ? "failed" : "done");
        else if (now >= it.lease_end)
            end_task(it, "lapsed");
        if (it.state != "running")
            continue;
        double speed = it.is_throttled ? throttled_speed : 1.0;
        auto run_end = it.advanced_at + from_ms(it.remaining_ms / speed);
        next = std::min({next, run_end, it.lease_end});
    }
    drop_ended(now);
    if (next == monotonic_time::max())
        return;
    timer_.expires_at(next);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                update_tasks();
        });
}

void target_service::note_usage()
{
    usage_.push_back({std::chrono::steady_clock::now(), running_});
    if (usage_.size() > max_usage_samples)
        usage_.pop_front();
}

http_response target_service::reboot()
{
    tasks_.clear();
    ended_.clear();
    ended_by_owner_.clear();
    ended_bytes_ = 0;
    running_ = 0;
    boot_ = make_random_hex(8);
    ++reboots_;
    for (const auto& poller : pollers_)
        poller->cancel();
    return make_json(200, {{"boot", boot_}});
}

http_response target_service::get_usage() const
{
    auto as_of = std::chrono::steady_clock::now() - options_.usage_lag;
    std::size_t running = 0;
    for (const auto& it : usage_)
        if (it.at <= as_of)
            running = it.running;
    return make_json(
        200, {{"as_of_ms", get_clock_ms(as_of)}, {"slots", options_.slots},
                 {"running_tasks", running}});
}

http_response target_service::set_control(const json& control)
{
    if (control.contains("freeze_ms"))
        frozen_until_ = std::chrono::steady_clock::now() +
                        milliseconds(control["freeze_ms"].get<std::int64_t>());
    fails_all_ = control.value("fail_all", fails_all_);
    is_leaving_ = control.value("leaving", is_leaving_);
    truncates_results_ = control.value("truncate_results", truncates_results_);
    options_.run_time =
        milliseconds(control.value("run_ms", options_.run_time.count()));
    options_.usage_lag =
        milliseconds(control.value("lag_ms", options_.usage_lag.count()));
    return make_json(200, json::object());
}

http_response target_service::get_runs() const
{
    json body = {{"runs", runs_}, {"refused", refusals_},
        {"repeated_starts", repeated_starts_}, {"reboots", reboots_},
        {"start_count", start_count_}, {"starts", starts_},
        {"running_tasks", running_}, {"highest_tasks", highest_running_}};
    if (server_)
    {
        body["connections"] = server_->get_connection_count();
        body["highest_connections"] = server_->get_highest_connection_count();
        body["refused_connections"] = server_->get_refused_connection_count();
    }
    return make_json(200, body);
}

} // namespace cowslippass
