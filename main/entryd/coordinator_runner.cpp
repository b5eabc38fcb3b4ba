#include "main/entryd/coordinator_runner.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"
#include "drivers/metrics.hpp"

namespace cowslippass
{

namespace
{

/// How long orders may extend leases after the last durable transaction was
/// sent. A successor counts on it for targets that it cannot reach.
constexpr milliseconds authority{4'000};
/// Orders to instances need a transaction this young. A candidate waits
/// longer, so that two coordinators never take turns on one instance.
constexpr milliseconds machine_authority{1'000};
/// The head row is rewritten at least so often.
constexpr milliseconds renewal_interval{400};
/// Batches are not sent more often, so that rows share transactions.
constexpr milliseconds batch_interval{20};
/// Rows that are read at a time at a takeover.
constexpr std::size_t jobs_between_pauses = 20;
/// Without news, decisions are looked at again after this time.
constexpr milliseconds idle_interval{100};
constexpr milliseconds read_timeout{2'000};
constexpr milliseconds first_commit_timeout{500};
constexpr milliseconds longest_commit_timeout{1'200};
constexpr milliseconds pause_after_refusal{60};
constexpr milliseconds order_timeout{600};
constexpr milliseconds look_timeout{600};
/// Longest wait of one look for an end.
constexpr milliseconds look_wait{1'500};
/// Pause after a look that listed ends. Looks are priced, and a task that
/// ends meanwhile is noticed later by up to this time.
constexpr milliseconds look_gap{100};
/// Pause between the looks at a target without runs.
constexpr milliseconds idle_look_interval{4'000};
constexpr milliseconds pause_after_look_failure{150};
constexpr milliseconds feed_wait{1'000};
constexpr milliseconds feed_timeout{700};
/// Below the targets' limit, as their clocks may run ahead of the estimate.
constexpr double lease_share = 0.9;
/// A target's clock may be slower than ours by this share.
constexpr double clock_slack = 0.025;

milliseconds to_milliseconds(boot_clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

platform_time get_wall_time()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return platform_time(std::chrono::duration_cast<milliseconds>(now).count());
}

const decision_log decisions_log("coordinator");

} // namespace

/// The connection to one target and what is known of its clock.
struct coordinator_runner::target_link
{
    target_link(
        asio::io_context& io, const target_report& report, fencing_number fence)
        : target(report.target), address(report.address),
          client(io, parse_endpoint(report.address), report.target, fence),
          timer(io)
    {
    }

    target_id target;
    std::string address;
    runner_client client;
    asio::steady_timer timer;
    bool is_closed = false;
    bool is_looking = false;
    /// The target's clock at `clock_at`, the earliest time it can have had it.
    std::optional<target_time> clock;
    boot_time clock_at{};
    std::uint64_t seen_up_to = 0; ///< Ends that are durable.
    bool was_reached = true;
};

coordinator_runner::coordinator_runner(asio::io_context& io,
    const entry_settings& settings, store_client& store,
    metrics_registry& metrics, ledger_head head, row_version version,
    boot_time renewed, bool was_released)
    : io_(io), settings_(settings), store_(store), metrics_(metrics),
      head_(head), ledger_(head, version),
      decisions_(
          {milliseconds(1'000), settings.status_time + milliseconds(30'000)}),
      was_released_(was_released), renewed_(renewed), wake_timer_(io)
{
}

bool coordinator_runner::has_authority() const
{
    return !is_over_ && boot_clock::now() - renewed_ < authority;
}

milliseconds coordinator_runner::get_renewed_age() const
{
    return to_milliseconds(boot_clock::now() - renewed_);
}

void coordinator_runner::wake()
{
    wake_timer_.cancel();
}

asio::awaitable<void> coordinator_runner::sleep(milliseconds time)
{
    asio::steady_timer timer(io_);
    timer.expires_after(time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void coordinator_runner::end_term(const char* why)
{
    if (is_over_)
        return;
    is_over_ = true;
    write_log(log_level::warn, "coordinator", "term ended",
        {{"term", head_.term}, {"why", why},
            {"renewed_age_ms", get_renewed_age().count()}});
    for (auto& [id, link] : links_)
    {
        link->is_closed = true;
        link->timer.cancel();
    }
    links_.clear();
    // What has not become durable is for the next coordinator to tell.
    for (const auto& it : durable_waits_)
        it->cancel();
    wake();
}

asio::awaitable<void> coordinator_runner::load_jobs(
    std::vector<stored_row> specs, std::vector<stored_row> states)
{
    std::map<std::string, std::string> by_id;
    for (stored_row& it : states)
        by_id[it.key] = std::move(it.value);
    boot_time now = boot_clock::now();
    std::size_t n = 0;
    for (const stored_row& it : specs)
    {
        // The term has to be renewed while a slow processor reads many rows.
        if (++n % jobs_between_pauses == 0)
            co_await sleep(milliseconds(1));
        try
        {
            job_id id(it.key);
            const std::string& progress = by_id[it.key];
            if (job::is_settled_progress(progress))
            {
                job_record known = decode_job_identity(it.value);
                decisions_.load_ended_job(
                    id, known.queue, known.team, progress, now);
            }
            else
                decisions_.load_job(id, decode_job_record(it.value), progress,
                    now, get_wall_time());
            if (decisions_.find_job(id)->is_ended())
                durable_ended_.insert(id);
        }
        catch (const systems_error& e)
        {
            write_log(log_level::error, "coordinator",
                "a job's row cannot be read",
                {{"job", it.key}, {"version", it.version}, {"why", e.what()}});
        }
    }
}

asio::awaitable<bool> coordinator_runner::recover()
{
    auto self = shared_from_this();
    row_range jobs{ledger_table::jobs, ledger_table::part, "", ""};
    store_rows specs = co_await store_.read_all_rows(jobs, read_timeout);
    if (specs.failure != store_failure::none)
        co_return false;
    row_range progress{ledger_table::progress, ledger_table::part, "", ""};
    store_rows states = co_await store_.read_all_rows(progress, read_timeout);
    if (states.failure != store_failure::none)
        co_return false;
    row_range waves{ledger_table::waves, ledger_table::part, "", ""};
    store_rows begun = co_await store_.read_all_rows(waves, read_timeout);
    if (begun.failure != store_failure::none)
        co_return false;
    wave_rows_ = std::move(begun.rows);
    if (!co_await read_targets())
        co_return false;
    co_await load_jobs(std::move(specs.rows), std::move(states.rows));
    if (is_over_)
        co_return false;
    boot_time now = boot_clock::now();
    milliseconds left = was_released_ ? milliseconds(0) : authority;
    for (const auto& [id, target] : decisions_.get_targets())
        decisions_.note_lease(id, now + left + get_longest_lease());
    write_log(log_level::info, "coordinator", "recovered",
        {{"term", head_.term}, {"jobs", decisions_.count_jobs()},
            {"runs", decisions_.get_runs().size()},
            {"targets", decisions_.get_targets().size()}});
    co_return true;
}

void coordinator_runner::start_renewing()
{
    asio::co_spawn(
        io_, [self = shared_from_this()] { return self->write_loop(); },
        asio::detached);
}

void coordinator_runner::abandon()
{
    end_term("the ledger cannot be read");
}

void coordinator_runner::start(const published_state& state)
{
    decisions_.set_publication(state);
    is_recovered_ = true;
    open_links();
    auto self = shared_from_this();
    asio::co_spawn(
        io_, [self] { return self->target_feed_loop(); }, asio::detached);
    if (settings_.machines.port() != 0)
        start_pools();
}

void coordinator_runner::start_pools()
{
    auto self = shared_from_this();
    pool_keeper::term term{head_.term, decisions_, ledger_,
        [self]
        {
            return !self->is_over_ && !self->is_releasing_ &&
                   self->get_renewed_age() < machine_authority;
        },
        [self] { return self->is_over_; }, [self] { self->wake(); }};
    auto keeper = std::make_shared<pool_keeper>(
        io_, settings_, store_, metrics_, std::move(term));
    keeper->load(wave_rows_);
    asio::co_spawn(
        io_, [keeper] { return keeper->run(); }, asio::detached);
}

void coordinator_runner::set_publication(const published_state& state)
{
    decisions_.set_publication(state);
    wake();
}

void coordinator_runner::release()
{
    is_releasing_ = true;
    ledger_.release();
    wake();
}

// Decisions and the ledger.

void coordinator_runner::put_changed_rows()
{
    for (const job_id& id : decisions_.take_changed())
    {
        const job* it = decisions_.find_job(id);
        if (!it)
            continue;
        ledger_.put(ledger_table::progress, id.get(), it->encode_progress());
        if (it->is_ended() && !durable_ended_.contains(id))
            ledger_.when_durable([self = shared_from_this(), id]
                { self->durable_ended_.insert(id); });
    }
    for (const job_id& id : decisions_.take_forgotten(boot_clock::now()))
    {
        durable_ended_.erase(id);
        ledger_.erase(ledger_table::jobs, id.get());
        ledger_.erase(ledger_table::progress, id.get());
    }
}

void coordinator_runner::log_starts(const std::vector<start_decision>& starts)
{
    // One line for the tasks of a step that start together.
    for (auto it = starts.begin(); it != starts.end();)
    {
        auto first = it;
        std::string tasks;
        for (; it != starts.end() && it->task.job == first->task.job &&
               it->task.key.step == first->task.key.step &&
               it->task.key.occurrence == first->task.key.occurrence;
             ++it)
            tasks += (tasks.empty() ? "" : " ") +
                     std::to_string(it->task.key.index) + "/" +
                     std::to_string(it->run.get()) + "@" + it->target.get();
        decisions_log.write("assign", "fullest_with_room",
            {{"job", first->task.job},
                {"occurrence", first->task.key.occurrence},
                {"step", first->task.key.step}, {"tasks", tasks},
                {"term", head_.term},
                {"renewed_age_ms", get_renewed_age().count()}});
    }
}

void coordinator_runner::log_ends(const target_link& link,
    const target_look& look, std::uint64_t before) const
{
    for (const end_report& it : look.ended)
        if (it.number > before)
            decisions_log.write("end", to_string(it.end),
                {{"job", it.task.job}, {"occurrence", it.task.key.occurrence},
                    {"step", it.task.key.step}, {"index", it.task.key.index},
                    {"run", it.run}, {"target", link.target},
                    {"number", it.number}});
}

void coordinator_runner::decide()
{
    boot_time now = boot_clock::now();
    decisions_.expire(now);
    std::vector<start_decision> starts;
    if (!is_releasing_ && has_authority())
        starts = decisions_.plan(now, get_wall_time());
    put_changed_rows();
    log_starts(starts);
    auto self = shared_from_this();
    for (const start_decision& it : starts)
    {
        ledger_.when_durable(
            [self, it]
            {
                asio::co_spawn(
                    self->io_, [self, it] { return self->send_start(it); },
                    asio::detached);
            });
    }
    send_stops();
}

asio::awaitable<void> coordinator_runner::commit_batch(bool& is_done)
{
    milliseconds timeout = first_commit_timeout;
    while (!is_over_)
    {
        ledger_batch batch = ledger_.make_batch();
        boot_time sent = boot_clock::now();
        batch_answer answer = co_await store_.commit(batch, timeout);
        ledger_.note_answer(answer);
        if (ledger_.is_lost())
        {
            end_term("another coordinator has taken the ledger");
            co_return;
        }
        if (!ledger_.is_in_flight())
        {
            // A batch that an earlier copy has committed may be older.
            renewed_ = std::max(renewed_, sent);
            metrics_.observe("cowslippass_ledger_commit_seconds",
                std::chrono::duration<double>(boot_clock::now() - sent)
                    .count());
            is_done = true;
            co_return;
        }
        metrics_.add("cowslippass_ledger_retries_total");
        if (answer.outcome == batch_answer::kind::refused)
            co_await sleep(pause_after_refusal);
        else
            timeout = std::min(timeout * 2, longest_commit_timeout);
    }
}

asio::awaitable<void> coordinator_runner::write_loop()
{
    auto self = shared_from_this();
    while (!is_over_)
    {
        if (is_recovered_)
            decide();
        boot_time now = boot_clock::now();
        bool is_due = now - last_batch_ >= renewal_interval;
        if (ledger_.has_changes() || is_due)
        {
            last_batch_ = now;
            bool is_done = false;
            co_await commit_batch(is_done);
            if (ledger_.is_released())
                end_term("planned stop");
        }
        if (is_over_)
            break;
        // Changes that came up meanwhile share the next transaction.
        milliseconds since = to_milliseconds(boot_clock::now() - last_batch_);
        if (since < batch_interval)
            co_await sleep(batch_interval - since);
        if (ledger_.has_changes() || is_over_)
            continue;
        wake_timer_.expires_after(idle_interval);
        boost::system::error_code ec;
        co_await wake_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<bool> coordinator_runner::wait_until_durable(boot_time deadline)
{
    auto self = shared_from_this();
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(to_milliseconds(deadline - boot_clock::now()));
    auto is_durable = std::make_shared<bool>(false);
    ledger_.when_durable(
        [timer, is_durable]
        {
            *is_durable = true;
            timer->cancel();
        });
    if (*is_durable || is_over_)
        co_return *is_durable;
    durable_waits_.insert(timer);
    boost::system::error_code ec;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    durable_waits_.erase(timer);
    co_return *is_durable;
}

// Targets.

void coordinator_runner::apply_target_rows(const std::vector<stored_row>& rows)
{
    boot_time now = boot_clock::now();
    for (const stored_row& it : rows)
    {
        target_change change{target_id(it.key), std::nullopt};
        if (!it.is_deleted)
        {
            change.report = decode_target_report(it);
            if (!change.report)
                continue;
        }
        const auto& targets = decisions_.get_targets();
        auto known = targets.find(change.target);
        bool was_listed = known != targets.end() && known->second.is_listed;
        bool was_draining =
            known != targets.end() && known->second.report.is_draining;
        bool is_draining = change.report && change.report->is_draining;
        if (was_listed != change.report.has_value() ||
            was_draining != is_draining)
            write_log(log_level::info, "targets",
                !change.report ? "target gone"
                : is_draining  ? "target drains"
                               : "target listed",
                {{"target", change.target}, {"version", it.version}});
        decisions_.note_target_change(change, now);
    }
    open_links();
    wake();
}

void coordinator_runner::open_links()
{
    for (const auto& [id, target] : decisions_.get_targets())
    {
        if (!target.is_listed)
            continue;
        auto it = links_.find(id);
        // The link of a target that was given up is closed; the target may
        // be listed again.
        if (it != links_.end() && !it->second->is_closed &&
            it->second->address == target.report.address)
            continue;
        if (it != links_.end())
            it->second->is_closed = true;
        link_ptr link;
        try
        {
            link =
                std::make_shared<target_link>(io_, target.report, head_.term);
        }
        catch (const platform_error& e)
        {
            write_log(log_level::warn, "targets", "unusable address",
                {{"target", id}, {"why", e.what()}});
            continue;
        }
        links_[id] = link;
        auto self = shared_from_this();
        asio::co_spawn(
            io_, [self, link] { return self->watch_target(link); },
            asio::detached);
    }
    for (auto it = links_.begin(); it != links_.end();)
    {
        if (decisions_.get_targets().contains(it->first))
        {
            ++it;
            continue;
        }
        it->second->is_closed = true;
        it->second->timer.cancel();
        it = links_.erase(it);
    }
}

coordinator_runner::link_ptr coordinator_runner::find_link(
    const target_id& target) const
{
    auto it = links_.find(target);
    return it == links_.end() ? nullptr : it->second;
}

asio::awaitable<bool> coordinator_runner::read_targets()
{
    row_range range{published_table::targets, "", "", ""};
    store_rows rows = co_await store_.read_all_rows(range, read_timeout);
    if (rows.failure != store_failure::none)
        co_return false;
    targets_newest_ = rows.newest;
    std::set<target_id> listed;
    for (const stored_row& it : rows.rows)
        listed.insert(target_id(it.key));
    std::vector<target_id> gone;
    for (const auto& [id, it] : decisions_.get_targets())
        if (it.is_listed && !listed.contains(id))
            gone.push_back(id);
    for (const target_id& it : gone)
        decisions_.note_target_change({it, std::nullopt}, boot_clock::now());
    boot_time now = boot_clock::now();
    for (const stored_row& it : rows.rows)
        if (auto report = decode_target_report(it))
            decisions_.note_target_change({report->target, report}, now);
    co_return true;
}

asio::awaitable<void> coordinator_runner::target_feed_loop()
{
    auto self = shared_from_this();
    while (!is_over_)
    {
        store_rows rows = co_await store_.follow(
            published_table::targets, targets_newest_, feed_wait, feed_timeout);
        if (is_over_)
            break;
        if (rows.failure == store_failure::history_gone)
        {
            write_log(log_level::warn, "targets",
                "the store has dropped the feed's history",
                {{"version", targets_newest_}});
            if (co_await read_targets())
                open_links();
            continue;
        }
        if (rows.failure != store_failure::none)
        {
            co_await sleep(milliseconds(100));
            continue;
        }
        targets_newest_ = std::max(targets_newest_, rows.newest);
        if (!rows.rows.empty())
            apply_target_rows(rows.rows);
    }
}

milliseconds coordinator_runner::get_longest_lease() const
{
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(settings_.lease_limit.count()) *
        (1 + clock_slack)));
}

target_time coordinator_runner::grant_lease(const target_link& link)
{
    decisions_.note_lease(link.target, boot_clock::now() + get_longest_lease());
    auto passed = to_milliseconds(boot_clock::now() - link.clock_at);
    auto lease = static_cast<std::int64_t>(
        static_cast<double>(settings_.lease_limit.count()) * lease_share);
    return target_time(link.clock->get() + passed.count() + lease);
}

void coordinator_runner::process_look(target_link& link,
    const target_look& look, boot_time sent_at, boot_time received_at)
{
    // The answer was written after the request was sent: the estimate made
    // from the time of sending is never late.
    link.clock = look.clock;
    link.clock_at = received_at;
    std::uint64_t before = 0;
    if (auto it = decisions_.get_targets().find(link.target);
        it != decisions_.get_targets().end())
        before = it->second.last_end;
    log_ends(link, look, before);
    decisions_.note_look(link.target, look, sent_at, received_at);
    auto it = decisions_.get_targets().find(link.target);
    if (it == decisions_.get_targets().end())
        return;
    std::uint64_t after = it->second.last_end;
    if (after < before)
        link.seen_up_to = 0;
    if (after == before && look.ended.empty())
        return;
    put_changed_rows();
    auto shared = find_link(link.target);
    ledger_.when_durable(
        [shared, after]
        {
            if (shared)
                shared->seen_up_to = std::max(shared->seen_up_to, after);
        });
    wake();
}

asio::awaitable<void> coordinator_runner::watch_target(link_ptr link)
{
    auto self = shared_from_this();
    co_await look_loop(link);
    link->is_closed = true;
}

asio::awaitable<void> coordinator_runner::look_loop(link_ptr link)
{
    auto self = shared_from_this();
    while (!is_over_ && !link->is_closed)
    {
        auto it = decisions_.get_targets().find(link->target);
        if (it == decisions_.get_targets().end())
            break;
        const target_entry& target = it->second;
        bool is_busy = !target.runs.empty();
        bool has_unseen = target.last_end > link->seen_up_to;
        look_order order;
        order.seen_up_to = link->seen_up_to;
        if (decisions_.wants_lease(link->target) && link->clock &&
            has_authority())
            order.lease_end = grant_lease(*link);
        if (is_busy && target.is_known && target.failures == 0 && !has_unseen)
            order.wait = look_wait;
        boot_time sent_at = boot_clock::now();
        look_reply reply = co_await link->client.look(order, look_timeout);
        if (is_over_ || link->is_closed)
            break;
        boot_time now = boot_clock::now();
        metrics_.add(
            "cowslippass_looks_total", {{"outcome", to_string(reply.outcome)}});
        if (reply.outcome == order_outcome::stale_fence)
        {
            end_term("a target has seen a higher fence number");
            break;
        }
        if (reply.look)
        {
            if (!link->was_reached)
                write_log(log_level::info, "targets", "target reached again",
                    {{"target", link->target}});
            link->was_reached = true;
            process_look(*link, *reply.look, sent_at, now);
            if (is_over_ || link->is_closed)
                break;
            // An idle target is asked again when it gets a run.
            it = decisions_.get_targets().find(link->target);
            bool is_idle = it != decisions_.get_targets().end() &&
                           it->second.runs.empty() &&
                           it->second.last_end <= link->seen_up_to;
            // Ends that come in the meantime share the next look.
            bool has_ends = !reply.look->ended.empty();
            if (!is_idle && !has_ends)
                continue;
            link->timer.expires_after(is_idle ? idle_look_interval : look_gap);
        }
        else
        {
            if (link->was_reached)
                write_log(log_level::warn, "targets", "target does not answer",
                    {{"target", link->target},
                        {"outcome", to_string(reply.outcome)},
                        {"why", reply.message}});
            link->was_reached = false;
            decisions_.note_look_failure(link->target, now);
            wake();
            link->timer.expires_after(pause_after_look_failure);
        }
        boost::system::error_code ec;
        co_await link->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

// Orders.

asio::awaitable<void> coordinator_runner::send_start(start_decision decision)
{
    auto self = shared_from_this();
    std::optional<target_time> lease_end;
    while (!is_over_)
    {
        link_ptr link = find_link(decision.target);
        if (!link || !link->clock || !has_authority())
        {
            decisions_.abandon_start(decision, boot_clock::now());
            co_return;
        }
        auto order = decisions_.make_start_order(decision);
        if (!order)
        {
            decisions_.abandon_start(decision, boot_clock::now());
            wake();
            co_return;
        }
        // A repeat keeps the first lease: a silent target must run out of it.
        if (!lease_end)
            lease_end = grant_lease(*link);
        order->lease_end = *lease_end;
        // Ends of this run have to be seen; an idle target is not asked.
        link->timer.cancel();
        order_reply reply = co_await link->client.start(*order, order_timeout);
        if (is_over_)
            co_return;
        metrics_.add("cowslippass_starts_total",
            {{"outcome", to_string(reply.outcome)}});
        if (reply.outcome == order_outcome::stale_fence)
        {
            end_term("a target has seen a higher fence number");
            co_return;
        }
        decisions_.note_start_reply(decision, reply.outcome, boot_clock::now());
        if (reply.outcome != order_outcome::accepted)
            write_log(log_level::info, "decision.coordinator",
                "start not confirmed",
                {{"job", decision.task.job}, {"step", decision.task.key.step},
                    {"index", decision.task.key.index}, {"run", decision.run},
                    {"target", decision.target},
                    {"outcome", to_string(reply.outcome)},
                    {"why", reply.message}});
        wake();
        if (reply.outcome != order_outcome::no_answer)
            co_return;
    }
}

void coordinator_runner::send_stops()
{
    auto self = shared_from_this();
    if (!has_authority())
        return;
    for (const stop_decision& it : decisions_.list_stops())
        if (stops_in_flight_.insert(it.task).second)
            asio::co_spawn(
                io_, [self, it] { return self->send_stop(it); },
                asio::detached);
}

asio::awaitable<void> coordinator_runner::send_stop(stop_decision decision)
{
    auto self = shared_from_this();
    link_ptr link = find_link(decision.target);
    if (link)
    {
        order_reply reply = co_await link->client.stop(
            decision.task, decision.run, order_timeout);
        if (is_over_)
            co_return;
        decisions_log.write("stop", to_string(reply.outcome),
            {{"job", decision.task.job},
                {"occurrence", decision.task.key.occurrence},
                {"step", decision.task.key.step},
                {"index", decision.task.key.index}, {"run", decision.run},
                {"target", decision.target}, {"why", reply.message}});
        decisions_.note_stop_reply(decision, reply.outcome, boot_clock::now());
    }
    // The run is gone when the target lists its end; until then the stop is
    // repeated.
    co_await sleep(milliseconds(300));
    stops_in_flight_.erase(decision.task);
}

// Callers.

asio::awaitable<peer_coordinator_reply> coordinator_runner::submit(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    job_record record;
    std::optional<std::string> fault;
    try
    {
        record = {
            call.queue, call.team, get_wall_time(), decode_job_spec(call.spec)};
    }
    catch (const systems_error& e)
    {
        fault = e.what();
    }
    if (fault)
    {
        write_log(log_level::warn, "coordinator", "unreadable submission",
            {{"job", call.job}, {"why", *fault}});
        reply.result = coordinator_result::invalid;
        co_return reply;
    }
    std::string text = encode_job_record(record);
    auto outcome =
        decisions_.submit(call.job, std::move(record), boot_clock::now());
    if (outcome == submit_outcome::added)
    {
        ledger_.put(ledger_table::jobs, call.job.get(), std::move(text));
        wake();
    }
    bool is_durable = co_await wait_until_durable(deadline);
    if (!is_durable || is_over_)
    {
        // Whether the row was written is for the next coordinator to tell.
        reply.result = coordinator_result::not_coordinator;
        co_return reply;
    }
    decisions_log.write("accept",
        outcome == submit_outcome::added ? "new" : "submitted_before",
        {{"job", call.job}, {"queue", call.queue}, {"team", call.team},
            {"term", head_.term}});
    reply.result = coordinator_result::done;
    co_return reply;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::cancel(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    if (!decisions_.cancel(call.job, boot_clock::now()))
    {
        reply.result = coordinator_result::unknown_job;
        co_return reply;
    }
    put_changed_rows();
    wake();
    bool is_durable = co_await wait_until_durable(deadline);
    decisions_log.write("cancel", "asked_by_caller",
        {{"job", call.job}, {"durable", is_durable}});
    reply.result = is_durable && !is_over_
                       ? coordinator_result::done
                       : coordinator_result::not_coordinator;
    co_return reply;
}

asio::awaitable<peer_coordinator_reply> coordinator_runner::handle(
    peer_coordinator_call call, boot_time deadline)
{
    auto self = shared_from_this();
    peer_coordinator_reply reply;
    if (!is_over_)
    {
        switch (call.operation)
        {
        case coordinator_operation::submit:
            reply = co_await submit(std::move(call), deadline);
            break;
        case coordinator_operation::cancel:
            reply = co_await cancel(std::move(call), deadline);
            break;
        case coordinator_operation::status:
        {
            const job* it = decisions_.find_job(call.job);
            reply.result = it && it->get_queue() == call.queue
                               ? coordinator_result::done
                               : coordinator_result::unknown_job;
            // An ended job is shown as such only once that is durable.
            if (reply.result != coordinator_result::done)
                break;
            auto phase = static_cast<std::uint8_t>(it->get_phase());
            if (it->is_ended() && !durable_ended_.contains(call.job) &&
                !co_await wait_until_durable(deadline))
                phase = static_cast<std::uint8_t>(job_phase::running);
            reply.phase = phase;
            break;
        }
        case coordinator_operation::count:
            reply.result = coordinator_result::done;
            reply.count = decisions_.count_queued(call.queue);
            break;
        case coordinator_operation::probe:
            reply.result = coordinator_result::done;
            break;
        }
    }
    reply.renewed_age = get_renewed_age();
    co_return reply;
}

} // namespace cowslippass
