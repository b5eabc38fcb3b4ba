#include "main/entryd/entryd_process.hpp"

#include "drivers/log.hpp"
#include "drivers/loop_delay_meter.hpp"
#include "drivers/metrics.hpp"
#include "drivers/peer_server.hpp"
#include "drivers/refusal_reporter.hpp"
#include "drivers/task_supervisor.hpp"
#include "main/entryd/job_api.hpp"
#include "main/entryd/target_relay.hpp"
#include "platform/submission_codec.hpp"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>

#include <sys/resource.h>

namespace cowslippass
{

namespace
{

/// Parts of the machine's descriptors that callers and peers may use. The rest
/// is for the store, the targets and files.
constexpr std::size_t caller_descriptors_divisor = 2;
constexpr std::size_t peer_descriptors_divisor = 4;
/// Connections of the load balancer, and of scrapers.
constexpr std::size_t max_check_connections = 16;
constexpr std::size_t max_check_body_bytes = 4 * 1024;
constexpr std::size_t max_check_bytes = 4 * 1024 * 1024;
/// Part of the machine's memory that requests and responses may hold, and
/// unfinished frames of peers.
constexpr std::size_t buffered_memory_divisor = 8;
/// Without a limit of the deployment.
constexpr std::size_t default_descriptors = 8'192;
constexpr std::size_t default_memory_mb = 256;
constexpr std::size_t mebibyte = 1024 * 1024;
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

/// @return how many descriptors the process may open, by the deployment and by
///   the system.
std::size_t get_descriptor_limit(const entry_settings& settings)
{
    std::size_t out = settings.max_descriptors != 0 ? settings.max_descriptors
                                                    : default_descriptors;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
        out = std::min(out, static_cast<std::size_t>(limit.rlim_cur));
    return out;
}

connection_limits get_limits(
    const entry_settings& settings, std::size_t descriptors_divisor)
{
    std::size_t memory_mb =
        settings.memory_mb != 0 ? settings.memory_mb : default_memory_mb;
    return {get_descriptor_limit(settings) / descriptors_divisor,
        memory_mb * mebibyte / buffered_memory_divisor};
}

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
          loop_delay_(io), job_api_(settings_, config_, coordinator_role_,
                               metrics_, loop_delay_),
          peer_server_(
              io, settings_.peer_listen,
              [this](peer_body body) { return answer_peer(std::move(body)); },
              [](const std::string& code, const std::string& message) {
                  write_log(
                      log_level::debug, "peer_link", message, {{"code", code}});
              },
              get_limits(settings_, peer_descriptors_divisor)),
          caller_server_(io, make_caller_options(),
              [this](http_request it)
              { return job_api_.handle(std::move(it)); }),
          readiness_server_(io, make_check_options(settings_.readiness_listen),
              [this](http_request) { return answer_readiness(); }),
          metrics_server_(io, make_check_options(settings_.metrics_listen),
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
            "loop_delay", [this] { return loop_delay_.run(); }, never);
        tasks_.run_loop(
            "configuration", [this] { return config_.run(); }, never);
        tasks_.run_loop(
            "coordinator_role", [this] { return coordinator_role_.run(); },
            never);
        tasks_.run_loop(
            "signals", [this] { return wait_for_signals(); }, never);
    }

private:
    http_server_options make_options(const tcp::endpoint& endpoint)
    {
        http_server_options out;
        out.endpoint = endpoint;
        out.idle_timeout = idle_timeout;
        out.message_timeout = settings_.message_time;
        out.on_refusal = [this](std::string_view cause)
        { refusals_.report(cause); };
        return out;
    }

    http_server_options make_caller_options()
    {
        auto out = make_options(settings_.front_listen);
        out.max_body_bytes = settings_.max_body_bytes;
        out.limits = get_limits(settings_, caller_descriptors_divisor);
        out.make_error = [](unsigned status, const std::string& code,
                             const std::string& message)
        {
            http_response response;
            response.status = status;
            response.headers["Content-Type"] = "application/json";
            response.body = encode_caller_error(code, message);
            return response;
        };
        return out;
    }

    /// For the load balancer and the scrapers.
    http_server_options make_check_options(const tcp::endpoint& endpoint)
    {
        auto out = make_options(endpoint);
        out.max_body_bytes = max_check_body_bytes;
        out.limits = {max_check_connections, max_check_bytes};
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
    refusal_reporter refusals_{metrics_};
    task_supervisor tasks_;
    store_client store_;
    config_watcher config_;
    coordinator_role coordinator_role_;
    target_relay relay_;
    loop_delay_meter loop_delay_;
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
        {"cowslippass_refused_cancellations_total", counter,
            "Cancellations of unknown jobs that were refused, as there were "
            "too many."},
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
        get_refusal_metric(),
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
