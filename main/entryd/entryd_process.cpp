#include "main/entryd/entryd_process.hpp"

#include "drivers/log.hpp"
#include "drivers/metrics.hpp"
#include "drivers/peer_server.hpp"
#include "drivers/task_supervisor.hpp"
#include "main/entryd/job_api.hpp"
#include "main/entryd/target_relay.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace cowslippass
{

namespace
{

/// A request of a caller or an operator contains one job of at most this size.
constexpr std::size_t max_body_bytes = 1024 * 1024;
/// Idle connections are closed after this time. Callers keep connections idle
/// for longer than the load balancer's checks take.
constexpr milliseconds idle_timeout{15'000};
/// The load balancer sends no new callers after two failed checks, one a
/// second.
constexpr milliseconds balancer_lag{2'500};
constexpr milliseconds stop_check_interval{50};
/// Time between the last response to a caller and the end of the process.
constexpr milliseconds last_response_margin{300};
/// Part of the grace period that is reserved for the end of the process.
constexpr milliseconds stop_margin{700};

/// One entry: its servers, its clients, and its part in the election of the
/// coordinator.
class entryd
{
public:
    entryd(asio::io_context& io, std::string path, entry_settings settings)
        : io_(io), path_(std::move(path)), settings_(std::move(settings)),
          metrics_(get_entryd_metrics()),
          tasks_(io, [this](const std::string& name, const std::string& why)
              { report_failure(name, why); }),
          store_(io, settings_.store),
          config_(io, store_,
              [this] { coordinator_role_.handle_published_change(); }),
          coordinator_role_(io, settings_, store_, metrics_, tasks_, config_),
          relay_(io, metrics_, coordinator_role_.get_boot_id()),
          job_api_(settings_, config_, coordinator_role_, metrics_),
          peer_server_(
              io, settings_.peer_listen,
              [this](peer_body body) { return answer_peer(std::move(body)); },
              [](const std::string& code, const std::string& message) {
                  write_log(
                      log_level::debug, "peer_link", message, {{"code", code}});
              }),
          caller_server_(io, make_options(settings_.front_listen),
              [this](http_request it)
              { return job_api_.handle(std::move(it)); }),
          readiness_server_(io, make_options(settings_.readiness_listen),
              [this](http_request) { return answer_readiness(); }),
          metrics_server_(io, make_options(settings_.metrics_listen),
              [this](http_request) { return answer_metrics(); }),
          signals_(io, SIGTERM, SIGINT, SIGHUP)
    {
    }

    void start()
    {
        write_log(log_level::info, "process", "start",
            {{"entry", settings_.entry},
                {"data_centre", settings_.data_centre}});
        auto never = [] { return false; };
        tasks_.run_loop(
            "configuration", [this] { return config_.run(); }, never);
        tasks_.run_loop(
            "coordinator_role", [this] { return coordinator_role_.run(); },
            never);
        tasks_.run_loop(
            "signals", [this] { return wait_for_signals(); }, never);
    }

private:
    static http_server_options make_options(const tcp::endpoint& endpoint)
    {
        http_server_options out;
        out.endpoint = endpoint;
        out.max_body_bytes = max_body_bytes;
        out.idle_timeout = idle_timeout;
        return out;
    }

    void report_failure(const std::string& name, const std::string& why)
    {
        metrics_.add("cowslippass_task_failures_total", {{"task", name}});
        write_log(log_level::error, "process", "a task failed",
            {{"task", name}, {"why", why}});
    }

    asio::awaitable<std::optional<peer_body>> answer_peer(peer_body body)
    {
        // The reply to a liveness check, while the peer waits for a slow call.
        if (std::holds_alternative<peer_hello>(body))
            co_return peer_hello{};
        if (auto* request = std::get_if<peer_target_call>(&body))
        {
            peer_body reply = co_await relay_.handle(std::move(*request));
            co_return reply;
        }
        auto* call = std::get_if<peer_coordinator_call>(&body);
        if (!call)
            co_return std::nullopt;
        peer_body reply =
            co_await coordinator_role_.handle_peer_call(std::move(*call));
        co_return reply;
    }

    asio::awaitable<http_response> answer_readiness()
    {
        http_response out;
        out.status = job_api_.is_ready() ? 200 : 503;
        co_return out;
    }

    asio::awaitable<http_response> answer_metrics()
    {
        http_response out;
        out.headers["Content-Type"] = "text/plain; version=0.0.4";
        out.body = metrics_.format();
        co_return out;
    }

    asio::awaitable<void> wait_for_signals()
    {
        for (;;)
        {
            boost::system::error_code ec;
            int number = co_await signals_.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            if (number == SIGHUP)
            {
                reload();
                continue;
            }
            if (is_stopping_)
            {
                io_.stop();
                co_return;
            }
            is_stopping_ = true;
            tasks_.run_once(
                "stop", [this] { return stop(); }, [this] { io_.stop(); });
        }
    }

    /// Reads the settings again. Some of them, such as addresses, keep their
    /// old values until a restart.
    void reload()
    {
        try
        {
            entry_settings fresh = load_entry_settings(path_);
            settings_.key_withdrawal = fresh.key_withdrawal;
            settings_.lease_limit = fresh.lease_limit;
            settings_.stop_grace = fresh.stop_grace;
            settings_.status_time = fresh.status_time;
            settings_.move_time = fresh.move_time;
            settings_.maintenance_time = fresh.maintenance_time;
            settings_.notice_time = fresh.notice_time;
            settings_.log_level = fresh.log_level;
            configure_log(settings_.log_level, log_to_stdout);
            write_log(log_level::info, "process", "reloaded");
        }
        catch (const error& e)
        {
            write_log(log_level::error, "process",
                "the settings were not reloaded; the old ones stay in force",
                {{"why", e.what()}});
        }
    }

    /// Makes a planned stop: drains callers' requests and releases the
    /// coordinator role, then ends the process.
    asio::awaitable<void> stop()
    {
        boot_time end = boot_clock::now() + settings_.stop_grace - stop_margin;
        boot_time balancer_deadline = boot_clock::now() + balancer_lag;
        write_log(log_level::info, "process", "stop");
        job_api_.start_draining(end - last_response_margin);
        coordinator_role_.resign();
        relay_.start_leaving();
        asio::steady_timer timer(io_);
        while (boot_clock::now() < end)
        {
            timer.expires_after(stop_check_interval);
            boost::system::error_code ec;
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
            if (boot_clock::now() >= balancer_deadline &&
                caller_server_.get_active_count() == 0 &&
                !coordinator_role_.is_coordinator())
                break;
        }
        write_log(log_level::info, "process", "stopped",
            {{"open_calls", caller_server_.get_active_count()},
                {"is_coordinator", coordinator_role_.is_coordinator()}});
        io_.stop();
    }

    asio::io_context& io_;
    std::string path_;
    entry_settings settings_;
    metrics_registry metrics_;
    task_supervisor tasks_;
    store_client store_;
    config_watcher config_;
    coordinator_role coordinator_role_;
    target_relay relay_;
    job_api job_api_;
    peer_server peer_server_;
    http_server caller_server_;
    http_server readiness_server_;
    http_server metrics_server_;
    asio::signal_set signals_;
    bool is_stopping_ = false;
};

} // namespace

std::vector<metric_description> get_entryd_metrics()
{
    using enum metric_kind;
    return {
        {"cowslippass_calls_total", counter,
            "Calls of callers, by method and status."},
        {"cowslippass_call_seconds", distribution,
            "Seconds from a caller's whole call to its answer."},
        {"cowslippass_ledger_commit_seconds", distribution,
            "Seconds of the ledger's transactions."},
        {"cowslippass_outage_refusals_total", counter,
            "Submissions refused because the store accepts nothing."},
        {"cowslippass_ledger_rejected_rows_total", counter,
            "Rows that the store rejects; their jobs are refused or held."},
        {"cowslippass_ledger_retries_total", counter,
            "Transactions that were sent again."},
        {"cowslippass_refused_jobs_total", counter,
            "Jobs refused for want of room, by queue and team."},
        {"cowslippass_starts_total", counter,
            "Orders to start a task, by outcome."},
        {"cowslippass_instance_orders_total", counter,
            "Orders to instances, by order and outcome."},
        {"cowslippass_looks_total", counter, "Looks at targets, by outcome."},
        {"cowslippass_relayed_requests_total", counter,
            "Requests sent to targets for the coordinator, by request and "
            "outcome."},
        {"cowslippass_task_failures_total", counter,
            "Failures of the process's own tasks, by task."},
        {"cowslippass_takeovers_total", counter,
            "Terms as coordinator that began in this process."},
    };
}

int run_entryd(const std::string& path, entry_settings settings)
{
    // Without this, a write to a connection that a peer has closed would end
    // the process.
    std::signal(SIGPIPE, SIG_IGN);
    configure_log(settings.log_level, log_to_stdout);
    asio::io_context io(1);
    entryd node(io, path, std::move(settings));
    node.start();
    io.run();
    return 0;
}

} // namespace cowslippass
