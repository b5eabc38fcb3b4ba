#include "main/entry_node.hpp"

#include "main/node_tables.hpp"
#include "systems/fleet_planner.hpp"

#include <algorithm>
#include <utility>

namespace cowslippass
{

namespace
{

constexpr milliseconds ownership_interval{200};
constexpr milliseconds drain_poll_interval{50};
/// Most starts of one idempotent request.
constexpr std::uint32_t max_idempotent_starts = 4;

std::string fill_address(const std::string& advertised,
    const tcp::endpoint& listen, unsigned short port)
{
    if (!advertised.empty())
        return advertised;
    return format_endpoint({listen.address(), port});
}

} // namespace

entry_node::entry_node(
    asio::io_context& io, settings& config, const start_policy& policy)
    : config_(config), table_(io, config.platform),
      node_(io, config, table_, policy), sync_(node_), peers_(node_, sync_),
      grants_(node_, sync_, [this] { return count_waiting(); }),
      router_(
          node_, peers_,
          [this](peer_forward request)
          { return run_local(std::move(request)); },
          [this](const pool_id& pool) { return summarize(pool); }),
      claims_(node_), janitor_(node_, sync_, grants_),
      jobs_(node_, grants_, peers_, janitor_,
          [this](const pool_id& pool) { return find_runner(pool); }),
      maintenance_(node_, sync_), collector_(node_, peers_),
      operator_api_(node_, sync_, peers_,
          {[this](std::string name) { return collector_.collect(name); },
              [this] { return collector_.get_names(); },
              [this](cancel_command cancel)
              { return jobs_.cancel_by_operator(std::move(cancel)); }}),
      caller_api_(node_,
          {[this](peer_forward request)
              { return router_.route_request(std::move(request)); },
              [this](peer_forward request, queue_record queue)
              { return jobs_.accept(std::move(request), std::move(queue)); },
              [this](team_id team, queue_id queue, request_id id)
              { return claims_.find_outcome(team, queue, id); },
              [this](team_id team, job_id id) { return jobs_.find(team, id); },
              [this](team_id team, job_id id)
              { return jobs_.fetch_result(team, id); },
              [this](team_id team, job_id id)
              { return jobs_.cancel(team, id); }}),
      leaving_(node_, peers_,
          [this](const std::set<instance_id>& it) { apply_leaving(it); })
{
    table_.set_call_observer(
        [this](const std::string& operation, double seconds, bool is_failed)
        {
            metric_labels labels{{"operation", operation}};
            node_.metrics.observe(
                "cowslippass_platform_call_seconds", seconds, labels);
            if (is_failed)
                node_.metrics.add(
                    "cowslippass_platform_failures_total", labels);
        });
    node_.refuse_waiting = [this](const task_id& id)
    {
        for (const auto& [pool, runner] : runners_)
            if (runner->refuse_waiting(id))
                return;
    };
    peers_.listen([this](bool is_local) { return make_summary(is_local); },
        [this](peer_body body) { return handle_peer(std::move(body)); });
    http_server_options options;
    options.endpoint = config.http_listen;
    options.max_body_bytes = config.max_body_bytes;
    options.limits = {config.max_connections, config.max_buffered_bytes};
    options.message_timeout = config.message_time;
    options.on_refusal = [this](std::string_view cause)
    { refusals_.report(cause); };
    options.make_error =
        [](unsigned status, const std::string& code, const std::string& message)
    {
        return make_error_response(status, code, message,
            status == 500 ? run_answer::unknown : run_answer::no);
    };
    http_ = std::make_unique<http_server>(io, options,
        [this](http_request request)
        { return handle_http(std::move(request)); });
    config_.http_advertise = fill_address(
        config.http_advertise, config.http_listen, get_http_port());
    config_.peer_advertise = fill_address(
        config.peer_advertise, config.peer_listen, get_peer_port());
    collector_.add_source(
        "tasks", [this] { return list_tasks(node_, runners_); });
    collector_.add_source(
        "targets", [this] { return list_targets(node_, runners_); });
    collector_.add_source(
        "grants", [this] { return list_grants(node_, grants_); });
    collector_.add_derived("limits", "grants",
        [this](const query_table& grants)
        { return make_limit_table(node_.state, grants); });
    collector_.add_source(
        "entries", [this] { return list_own_entry(node_, runners_); });
    collector_.add_absent_row("entries", [this](session_id session)
        { return make_entry_row(node_, session, "silent", ""); });
    collector_.add_source(
        "maintenance", [this] { return maintenance_.list(); });
    collector_.add_platform_source(
        "jobs", [this] { return jobs_.list_jobs(); });
}

unsigned short entry_node::get_http_port() const
{
    return http_->get_port();
}

unsigned short entry_node::get_peer_port() const
{
    return peers_.get_port();
}

void entry_node::start(std::function<void()> on_session_ended)
{
    on_session_ended_ = std::move(on_session_ended);
    node_.spawn("entry_node", [this] { return join(); });
}

bool entry_node::has_ended_session() const
{
    return node_.session.get() != 0 &&
           !node_.state.get_sessions().contains(node_.session);
}

void entry_node::watch_session()
{
    if (!has_ended_session() || node_.is_leaving || !on_session_ended_)
        return;
    write_log(log_level::warn, "entry_node",
        "the session was ended by others; this entry joins anew",
        {{"session", node_.session}});
    std::exchange(on_session_ended_, nullptr)();
}

asio::awaitable<void> entry_node::join()
{
    co_await sync_.join();
    write_log(log_level::info, "entry_node", "joined the fleet",
        {{"session", node_.session}, {"entry", config_.entry},
            {"data_centre", config_.data_centre},
            {"version", node_.state.get_version()}});
    sync_.start([this] { return peers_.relay_heartbeat(); });
    peers_.start();
    grants_.start();
    janitor_.start();
    jobs_.start();
    maintenance_.start();
    node_.listeners.push_back([this] { update_runners(); });
    node_.listeners.push_back([this] { watch_session(); });
    update_runners();
    node_.spawn("entry_node", [this] { return ownership_loop(); });
    leaving_.start();
}

std::shared_ptr<pool_runner> entry_node::find_runner(const pool_id& pool) const
{
    auto it = runners_.find(pool);
    return it == runners_.end() ? nullptr : it->second;
}

std::shared_ptr<pool_runner> entry_node::get_runner(const pool_id& pool)
{
    auto& runner = runners_[pool];
    if (runner)
        return runner;
    runner = std::make_shared<pool_runner>(node_, pool,
        grant_source{[this](const team_id& team) { return grants_.take(team); },
            [this](const team_id& team) { grants_.give_back(team); },
            [this] { grants_.kick(); }},
        [this](const instance_id& instance) { report_failure(instance); });
    runner->set_leaving(leaving_.get_leaving());
    runner->update_targets();
    runner->start();
    return runner;
}

void entry_node::report_failure(const instance_id& instance)
{
    auto row = node_.state.get_instances().find(instance);
    bool is_news = row != node_.state.get_instances().end() &&
                   row->second.state == instance_state::in_service &&
                   node_.may_start() && node_.is_admitted();
    // One append at a time for each instance.
    if (!is_news || !reporting_.insert(instance).second)
        return;
    node_.spawn(
        "entry_node", [this, instance] { return append_failure(instance); });
}

asio::awaitable<void> entry_node::append_failure(instance_id instance)
{
    fleet_sync::planner planner = [instance](const fleet_state& state)
    { return plan_instance_failure(state, instance); };
    command_id command("failure-" + node_.nonce + "-" + make_random_hex(8));
    try
    {
        auto result =
            co_await sync_.append(std::move(command), std::move(planner));
        write_log(log_level::warn, "entry_node",
            "a target has been silent for long and counts as failed",
            {{"target", instance},
                {"committed", result.status == append_status::committed}});
    }
    catch (const systems_error& e)
    {
        write_log(log_level::info, "entry_node",
            "a failed target was not recorded",
            {{"target", instance}, {"code", e.get_code()}});
    }
    reporting_.erase(instance);
}

void entry_node::update_runners()
{
    for (const auto& [pool, record] : node_.state.get_pools())
    {
        bool is_owner =
            peers_.find_owner(pool, config_.data_centre) == node_.session;
        auto runner = is_owner ? get_runner(pool) : find_runner(pool);
        if (!runner)
            continue;
        runner->set_owned(is_owner);
        runner->update_targets();
    }
}

asio::awaitable<void> entry_node::ownership_loop()
{
    while (true)
    {
        for (const auto& [pool, record] : node_.state.get_pools())
        {
            bool is_owner =
                peers_.find_owner(pool, config_.data_centre) == node_.session;
            auto runner = is_owner ? get_runner(pool) : find_runner(pool);
            if (runner)
                runner->set_owned(is_owner);
        }
        for (const auto& summary : peers_.get_summaries())
            for (const auto& it : summary.teams)
                grants_.note_peer_waiting(summary.session, it.team, it.waiting);
        co_await node_.sleep(ownership_interval);
    }
}

void entry_node::apply_leaving(const std::set<instance_id>& leaving)
{
    for (const auto& [pool, runner] : runners_)
        runner->set_leaving(leaving);
    std::set<entry_id> entries;
    for (const auto& id : leaving)
        entries.emplace(id.get());
    peers_.set_leaving(std::move(entries));
}

asio::awaitable<std::optional<peer_body>> entry_node::handle_peer(
    peer_body body)
{
    if (auto* request = std::get_if<peer_forward>(&body))
    {
        work_result result = co_await run_local(std::move(*request));
        co_return peer_body(to_forward_reply(result));
    }
    if (auto* query = std::get_if<peer_query>(&body))
        co_return peer_body(
            peer_query_reply{collector_.answer_peer(query->text)});
    if (auto* cancel = std::get_if<peer_cancel>(&body))
    {
        for (const auto& [pool, runner] : runners_)
            runner->cancel(request_id(cancel->job.get()));
        co_return peer_body(peer_hello{node_.session});
    }
    co_return std::nullopt;
}

work_item entry_node::make_item(
    peer_forward request, const queue_record& queue) const
{
    work_item out;
    out.task.team = request.team;
    out.task.kind = queue.kind;
    out.task.is_idempotent = queue.is_idempotent;
    out.task.memory = request.declared_memory;
    out.task.arrival = get_now();
    out.task.deadline = get_now() + request.deadline;
    out.answer_deadline = out.task.deadline;
    out.request = request.request;
    out.queue = request.queue;
    // Moved, as each copy of the payload stays while the work waits.
    out.payload = std::move(request.payload);
    out.run_ms = request.run_ms;
    out.is_first_attempt = request.is_first_attempt;
    out.max_starts = queue.is_idempotent ? max_idempotent_starts : 1;
    return out;
}

asio::awaitable<work_result> entry_node::run_local(peer_forward request)
{
    if (request.version > node_.state.get_version())
        co_await sync_.catch_up();
    auto it = node_.state.get_queues().find(request.queue);
    if (!node_.may_start() || it == node_.state.get_queues().end())
        co_return make_failure(503, "not_fresh",
            "the entry cannot confirm the configuration in force",
            run_answer::no);
    queue_record queue = it->second;
    auto runner = find_runner(queue.pool);
    if (!runner)
        co_return make_failure(503, "owner_changed",
            "another entry owns the pool", run_answer::no);
    if (!node_.state.is_in_service(config_.data_centre))
        co_return make_failure(503, "no_target",
            "the data centre is out of service", run_answer::no);
    work_item item = make_item(std::move(request), queue);
    if (queue.is_idempotent)
        co_return co_await runner->run(std::move(item));
    co_return co_await claims_.run(runner, std::move(item));
}

asio::awaitable<http_response> entry_node::handle_http(http_request request)
{
    if (request.path == "/healthz")
        co_return http_response{200, {}, "alive\n"};
    if (request.path == "/readyz")
        co_return report_readiness();
    if (request.path == "/metrics")
        co_return report_metrics();
    if (request.path == "/v1/command")
        co_return co_await operator_api_.handle(std::move(request));
    auto answer = co_await caller_api_.handle(request);
    if (answer)
        co_return std::move(*answer);
    co_return make_error_response(
        404, "unknown_path", "there is no such path", run_answer::no);
}

std::size_t entry_node::count_active() const
{
    std::size_t n = http_->get_active_count();
    for (const auto& [pool, runner] : runners_)
        n += runner->count_urgent();
    return n;
}

void entry_node::stop(std::function<void()> on_stopped)
{
    node_.spawn(
        "entry_node", [this, on_stopped] { return run_stop(on_stopped); });
}

asio::awaitable<void> entry_node::run_stop(std::function<void()> on_stopped)
{
    write_log(log_level::info, "entry_node", "a planned stop begins");
    node_.is_leaving = true;
    // The balancer goes on sending requests until it has seen the unready
    // answer; they are served as usual, through other owners.
    if (!has_ended_session())
        co_await node_.sleep(config_.balancer_lag);
    auto end = get_now() + config_.urgent_deadline;
    while (count_active() > 0 && get_now() < end)
        co_await node_.sleep(drain_poll_interval);
    http_->stop();
    if (node_.session.get() != 0 && !has_ended_session())
    {
        jobs_.stop();
        co_await janitor_.stop();
        co_await maintenance_.stop();
        co_await grants_.return_all();
        session_id session = node_.session;
        try
        {
            fleet_sync::planner planner = [session](const fleet_state& state)
            { return plan_session_end(state, session); };
            command_id command("end-session-" + std::to_string(session.get()));
            co_await sync_.append(std::move(command), std::move(planner));
        }
        catch (const error& e)
        {
            write_log(log_level::warn, "entry_node",
                "the session could not be ended",
                {{"reason", std::string(e.what())}});
        }
    }
    peers_.stop();
    write_log(log_level::info, "entry_node", "the planned stop is complete");
    on_stopped();
}

} // namespace cowslippass
