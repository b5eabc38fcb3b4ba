#include "main/maintenance_keeper.hpp"

#include "systems/fleet_planner.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace cowslippass
{

namespace
{

constexpr milliseconds round_interval{2'000};
/// A failed instance that stays silent this long runs nothing any more: a
/// restart takes up to a minute, and a task lease 10 s.
constexpr milliseconds lost_after{90'000};

const char* get_step_name(maintenance_step step)
{
    static constexpr std::array<const char*, 4> names{
        "drain", "reboot", "restore", "exchange"};
    return names[static_cast<std::size_t>(step)];
}

} // namespace

maintenance_keeper::maintenance_keeper(node_context& node, fleet_sync& sync)
    : node_(node), sync_(sync), lease_(node, "maintenance")
{
}

void maintenance_keeper::start()
{
    lease_.start();
    node_.spawn("maintenance", [this] { return run_loop(); });
}

asio::awaitable<void> maintenance_keeper::stop()
{
    co_await lease_.release();
}

asio::awaitable<void> maintenance_keeper::run_loop()
{
    while (true)
    {
        co_await node_.sleep(round_interval);
        bool may_work = lease_.is_held() && node_.is_admitted() &&
                        node_.may_start() && node_.table.is_reachable();
        if (!may_work)
        {
            seen_.clear();
            continue;
        }
        try
        {
            co_await run_round();
        }
        catch (const error& e)
        {
            write_log(log_level::error, "maintenance", "a round failed",
                {{"code", e.get_code()}, {"reason", std::string(e.what())}});
        }
    }
}

void maintenance_keeper::forget_old()
{
    const auto& instances = node_.state.get_instances();
    std::erase_if(seen_,
        [&](const auto& it)
        {
            auto row = instances.find(it.first);
            return row == instances.end() ||
                   row->second.state != it.second.state ||
                   row->second.epoch != it.second.epoch;
        });
    std::erase_if(
        clients_, [&](const auto& it) { return !seen_.contains(it.first); });
}

asio::awaitable<void> maintenance_keeper::run_round()
{
    forget_old();
    std::vector<instance_id> watched;
    for (const auto& [id, row] : node_.state.get_instances())
    {
        bool is_watched = row.state == instance_state::draining ||
                          row.state == instance_state::rebooting ||
                          row.state == instance_state::failed;
        if (!is_watched)
            continue;
        watched.push_back(id);
        observation fresh;
        fresh.state = row.state;
        fresh.epoch = row.epoch;
        fresh.seen = get_now();
        fresh.last_answer = get_now();
        seen_.try_emplace(id, fresh);
    }
    for (const auto& id : watched)
        co_await observe(id);
    instance_reports reports;
    for (const auto& [id, it] : seen_)
        reports[id] = it.report;
    auto now = std::chrono::time_point_cast<std::chrono::seconds>(
        std::chrono::system_clock::now());
    maintenance_input input{node_.state, reports, now, node_.may_start()};
    auto decisions = planner_.plan(input);
    for (auto& it : decisions)
        co_await append(it);
}

asio::awaitable<void> maintenance_keeper::observe(instance_id id)
{
    auto row = node_.state.get_instances().find(id);
    auto it = seen_.find(id);
    if (row == node_.state.get_instances().end() || it == seen_.end())
        co_return;
    auto endpoint = parse_endpoint(row->second.description.address);
    auto& client = clients_[id];
    if (!client || client->get_endpoint() != endpoint)
        client = std::make_shared<target_client>(node_.io, endpoint);
    instance_state state = it->second.state;
    if (state == instance_state::draining)
        co_await observe_draining(id, client);
    else if (state == instance_state::rebooting)
        co_await observe_rebooting(id, client);
    else
        co_await observe_failed(id, client);
}

asio::awaitable<void> maintenance_keeper::observe_draining(
    instance_id id, std::shared_ptr<target_client> client)
{
    auto asked = get_now();
    auto tasks = co_await client->list_tasks();
    auto it = seen_.find(id);
    if (it == seen_.end())
        co_return;
    it->second.report = instance_report::unknown;
    if (!tasks)
        co_return;
    bool is_running = std::ranges::any_of(*tasks, [](const target_task& task)
        { return task.state == target_task_state::running; });
    // Before this an entry that does not know of the drain may still start.
    bool may_start = asked < it->second.seen + node_.config.freshness_limit +
                                 node_.config.start_deadline;
    it->second.report =
        is_running || may_start ? instance_report::busy : instance_report::idle;
}

asio::awaitable<void> maintenance_keeper::observe_rebooting(
    instance_id id, std::shared_ptr<target_client> client)
{
    auto tasks = co_await client->list_tasks();
    auto it = seen_.find(id);
    if (it == seen_.end())
        co_return;
    it->second.report = instance_report::unknown;
    if (!tasks || !client->get_clock_reading())
        co_return;
    const std::string boot = client->get_clock_reading()->boot;
    if (it->second.boot.empty())
    {
        it->second.boot = boot;
        co_await client->reboot();
        co_return;
    }
    if (boot != it->second.boot)
        it->second.report = instance_report::ready;
}

asio::awaitable<void> maintenance_keeper::observe_failed(
    instance_id id, std::shared_ptr<target_client> client)
{
    auto tasks = co_await client->list_tasks();
    auto it = seen_.find(id);
    if (it == seen_.end())
        co_return;
    if (tasks)
    {
        it->second.last_answer = get_now();
        it->second.report = instance_report::ready;
        co_return;
    }
    bool is_lost = get_now() - it->second.last_answer > lost_after;
    it->second.report =
        is_lost ? instance_report::lost : instance_report::unknown;
}

asio::awaitable<void> maintenance_keeper::append(maintenance_decision decision)
{
    config_version planned = node_.state.get_version();
    std::vector<fleet_record> records = decision.records;
    // The steps of one plan are appended one after the other; each is valid
    // only on the version that the step before it made.
    fleet_sync::planner planner = [records, planned](const fleet_state& state)
    {
        if (state.get_version() != planned)
            throw planning_error("no_change",
                "the fleet has changed since the step was planned");
        return records;
    };
    command_id command(
        "maintenance-" + node_.nonce + "-" + std::to_string(++last_command_));
    std::vector<row_condition> conditions{lease_.get_condition()};
    auto result = co_await sync_.append(
        command, std::move(planner), std::move(conditions));
    log_.write(get_step_name(decision.step), decision.rule,
        {{"instance", decision.instance}, {"pool", decision.pool},
            {"committed", result.status == append_status::committed},
            {"version", node_.state.get_version()}});
    node_.metrics.add("cowslippass_maintenance_decisions_total",
        {{"rule", std::string(decision.rule)}});
}

query_table maintenance_keeper::list() const
{
    static constexpr std::array<const char*, 5> states{
        "in_service", "draining", "rebooting", "failed", "out"};
    static constexpr std::array<const char*, 5> reports{
        "unknown", "busy", "idle", "ready", "lost"};
    query_table out;
    out.name = "maintenance";
    out.columns = {
        "instance", "pool", "data_centre", "state", "report", "pass", "entry"};
    if (!lease_.is_held())
        return out;
    for (const auto& [id, row] : node_.state.get_instances())
    {
        if (row.state == instance_state::in_service)
            continue;
        auto it = seen_.find(id);
        auto report =
            it == seen_.end() ? instance_report::unknown : it->second.report;
        out.rows.push_back({make_cell(id), make_cell(row.pool),
            make_cell(row.description.data_centre),
            query_cell(
                std::string(states[static_cast<std::size_t>(row.state)])),
            query_cell(std::string(reports[static_cast<std::size_t>(report)])),
            make_cell(std::uint64_t(row.maintained_pass)),
            make_cell(node_.config.entry)});
    }
    return out;
}

} // namespace cowslippass
