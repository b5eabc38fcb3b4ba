#include "main/entryd/coordinator_runner.hpp"

#include "drivers/metrics.hpp"
#include "main/entryd/coordinator_runner_internal.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Orders to instances need a more recent renewal. A candidate waits longer
/// than this before a takeover, so that two coordinators never send orders to
/// instances at the same time.
constexpr milliseconds max_renewal_age_for_instance_orders{700};
/// The head row is rewritten at least this often.
constexpr milliseconds renewal_interval{400};
/// Minimum time between batches, so that rows share transactions.
constexpr milliseconds batch_interval{20};
/// Time between rounds of decisions when nothing has changed.
constexpr milliseconds idle_interval{100};
/// Maximum number of starts of one round of decisions. A slow processor needs
/// part of a second to send this many.
constexpr std::size_t max_starts_per_round = 400;
/// While this many starts are still to be sent, no further ones are planned.
constexpr std::size_t max_queued_starts = 100;
constexpr milliseconds load_report_interval{1'000};
/// A change of a pool's overload is logged if the former state held this long.
constexpr milliseconds min_logged_overload{500};
constexpr milliseconds relay_update_interval{250};
/// Time between the removals of expired jobs.
constexpr milliseconds erase_interval{1'000};
/// Number of ends of tasks after which their shared log line is written.
constexpr std::size_t ends_per_log_line = 50;
constexpr milliseconds first_commit_timeout{500};
constexpr milliseconds max_commit_timeout{1'200};
constexpr milliseconds pause_after_refusal{60};

/// Callers may ask for an ended job a little longer than the deployment states,
/// because their clocks differ.
constexpr milliseconds status_time_margin{30'000};
/// Time between the writes of what was learned of run times. A successor that
/// misses the last samples forecasts nearly the same.
constexpr milliseconds run_time_record_interval{5'000};

coordinator_options make_coordinator_options(const entry_settings& settings)
{
    coordinator_options out;
    out.gang_wait = settings.gang_wait;
    out.starts_in_flight = max_starts_in_flight;
    out.ended_job_retention = settings.status_time + status_time_margin;
    out.learns_run_times = settings.learn_run_times;
    out.sheds_overload = settings.shed_overload;
    out.refuses_overload = settings.refuse_overload;
    out.packs_by_shape = settings.pack_by_shape;
    out.judges_targets = settings.judge_targets;
    return out;
}

/// A term may be released only if this is true: the successor of a released
/// term relies on it that no earlier coordinator can extend leases any more.
/// @return whether the predecessor can no longer extend leases.
bool is_previous_term_over(
    bool was_previous_term_released, boot_time taken_over_at)
{
    return was_previous_term_released ||
           boot_clock::now() - taken_over_at >= max_renewal_age;
}

} // namespace

coordinator_runner::coordinator_runner(asio::io_context& io,
    const entry_settings& settings, store_client& store,
    metrics_registry& metrics, const task_supervisor& tasks, ledger_head head,
    row_version version, boot_time renewed_at, bool was_previous_term_released)
    : io_(io), settings_(settings), store_(store), metrics_(metrics),
      tasks_(tasks), head_(head), ledger_(head, version),
      coordinator_(make_coordinator_options(settings)),
      was_previous_term_released_(was_previous_term_released),
      taken_over_at_(boot_clock::now()), renewed_at_(renewed_at),
      wake_timer_(io), relays_(io, tasks, settings.peer_listen)
{
}

bool coordinator_runner::has_valid_term() const
{
    return boot_clock::now() < get_term_end();
}

boot_time coordinator_runner::get_term_end() const
{
    // The successor of a released term does not wait for this one's validity.
    if (is_over_ || ledger_.may_be_released())
        return boot_time{};
    return renewed_at_ + max_renewal_age;
}

void coordinator_runner::record_probe(const peer_coordinator_call& probe)
{
    relays_.record_contact(probe);
}

void coordinator_runner::update_relays()
{
    boot_time now = boot_clock::now();
    if (now < next_relay_update_at_)
        return;
    next_relay_update_at_ = now + relay_update_interval;
    std::map<data_centre_id, std::size_t> targets;
    for (const auto& [id, it] : coordinator_.get_targets())
        if (it.is_listed)
            ++targets[it.report.data_centre];
    relays_.update(targets);
}

milliseconds coordinator_runner::get_renewal_age() const
{
    return to_milliseconds(boot_clock::now() - renewed_at_);
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
            {"renewed_age_ms", get_renewal_age().count()}});
    for (auto& [id, link] : links_)
    {
        link->is_closed = true;
        link->timer.cancel();
    }
    links_.clear();
    relays_.close();
    // Only the next coordinator will know whether the rows that these calls
    // wait for became durable.
    for (const auto& it : ledger_waits_)
        it->cancel();
    wake();
}

void coordinator_runner::start_renewing()
{
    auto self = shared_from_this();
    tasks_.run_loop(
        "ledger_writes", [self] { return self->write_loop(); },
        [self] { return self->is_over_; });
}

void coordinator_runner::abandon()
{
    end_term("the ledger cannot be read");
}

void coordinator_runner::start(const published_state& state)
{
    coordinator_.set_published_state(state);
    is_recovered_ = true;
    open_links();
    auto self = shared_from_this();
    tasks_.run_loop(
        "target_feed", [self] { return self->target_feed_loop(); },
        [self] { return self->is_over_; });
    if (settings_.machines.port() != 0)
        start_pool_plan_executor();
}

void coordinator_runner::start_pool_plan_executor()
{
    auto self = shared_from_this();
    pool_plan_executor::term term{head_.term, coordinator_, ledger_,
        [self]
        {
            return !self->is_over_ && !self->is_releasing_ &&
                   self->get_renewal_age() <
                       max_renewal_age_for_instance_orders;
        },
        [self] { return self->is_over_; }, [self] { self->wake(); }};
    pool_plan_executor_ = std::make_shared<pool_plan_executor>(
        io_, settings_, store_, metrics_, tasks_, std::move(term));
    pool_plan_executor_->load(wave_rows_);
    tasks_.run_loop(
        "pool_plan",
        [executor = pool_plan_executor_] { return executor->run(); },
        [self] { return self->is_over_; });
}

void coordinator_runner::set_published_state(const published_state& state)
{
    coordinator_.set_published_state(state);
    wake();
}

void coordinator_runner::release()
{
    is_releasing_ = true;
    wake();
}

void coordinator_runner::release_when_nothing_to_send()
{
    bool has_orders =
        pool_plan_executor_ && pool_plan_executor_->has_orders_in_flight();
    // Starts that are left over would wait for the successor's polls.
    if (is_releasing_ && !has_orders && unsent_start_count_ == 0 &&
        is_previous_term_over(was_previous_term_released_, taken_over_at_))
        ledger_.release();
}

// Decisions and the ledger.

void coordinator_runner::erase_parts(
    const char* table, const job_id& id, const std::set<std::uint32_t>& parts)
{
    for (std::uint32_t part : parts)
        ledger_.erase(table, encode_job_row_key({id, part}));
}

void coordinator_runner::handle_rejected_rows(const std::string& why)
{
    for (const ledger_change& it : ledger_.take_rejected_changes())
    {
        metrics_.add("cowslippass_ledger_rejected_rows_total");
        write_log(log_level::error, "ledger", "the store rejects a row",
            {{"table", it.table}, {"key", it.key},
                {"bytes", it.value ? it.value->size() : 0}, {"why", why}});
        auto key = decode_job_row_key(it.key);
        if (!key || !it.value)
            continue;
        if (it.table == ledger_table::progress)
        {
            held_jobs_.insert(key->job);
            coordinator_.hold_job(key->job);
            continue;
        }
        const job* owner = coordinator_.find_job(key->job);
        if (it.table != ledger_table::jobs || !owner)
            continue;
        rejected_jobs_.insert(key->job);
        erase_parts(
            ledger_table::progress, key->job, owner->list_used_segments());
        ledger_.erase(ledger_table::progress, key->job.get());
        ledger_.erase(ledger_table::jobs, key->job.get());
        if (auto parts = record_parts_.extract(key->job))
            erase_parts(ledger_table::jobs, key->job, parts.mapped());
        coordinator_.withdraw_job(key->job);
    }
}

void coordinator_runner::put_changed_queues()
{
    for (auto& it : coordinator_.take_queue_changes())
        if (it.value)
            ledger_.put(
                ledger_table::queues, it.queue.get(), std::move(*it.value));
        else
            ledger_.erase(ledger_table::queues, it.queue.get());
}

void coordinator_runner::put_progress(const job& it)
{
    const job_id& id = it.get_id();
    auto segments = coordinator_.take_changed_segments(id);
    // The main row of a settled job replaces all segments.
    if (!it.is_settled())
        for (std::uint32_t segment : segments)
            ledger_.put(ledger_table::progress,
                encode_job_row_key({id, segment}), it.encode_segment(segment));
    ledger_.put(ledger_table::progress, id.get(), it.encode_progress());
}

void coordinator_runner::erase_rows_of_settled_job(const job& it)
{
    const job_id& id = it.get_id();
    ledger_.erase(ledger_table::jobs, id.get());
    if (auto parts = record_parts_.extract(id))
        erase_parts(ledger_table::jobs, id, parts.mapped());
    // A successor that finds neither the segments nor the settled job's row
    // would run the tasks again.
    if (it.has_segments())
        ledger_.when_durable(
            [self = shared_from_this(), id, parts = it.list_used_segments()]
            { self->erase_parts(ledger_table::progress, id, parts); });
}

void coordinator_runner::put_changed_rows()
{
    for (const job_id& id : coordinator_.take_changed_jobs())
    {
        const job* it = coordinator_.find_job(id);
        if (!it || held_jobs_.contains(id))
            continue;
        put_progress(*it);
        if (it->is_settled())
            erase_rows_of_settled_job(*it);
        if (it->is_ended() && !durably_ended_jobs_.contains(id))
            ledger_.when_durable([self = shared_from_this(), id]
                { self->durably_ended_jobs_.insert(id); });
    }
    // A queue's row is deleted after the ends of its jobs.
    put_changed_queues();
}

void coordinator_runner::put_run_times()
{
    boot_time now = boot_clock::now();
    if (now < next_run_time_record_at_)
        return;
    next_run_time_record_at_ = now + run_time_record_interval;
    for (auto& it : coordinator_.take_run_time_changes())
        ledger_.put(
            ledger_table::run_times, it.queue.get(), std::move(it.value));
}

void coordinator_runner::erase_expired_rows()
{
    boot_time now = boot_clock::now();
    if (now < next_erase_at_)
        return;
    next_erase_at_ = now + erase_interval;
    for (const job_id& id : coordinator_.take_expired_jobs(now))
    {
        durably_ended_jobs_.erase(id);
        held_jobs_.erase(id);
        ledger_.erase(ledger_table::progress, id.get());
    }
    for (const job_id& id : coordinator_.get_tombstones().take_expired(now))
        ledger_.erase(ledger_table::progress, id.get());
}

void coordinator_runner::acknowledge_ends_when_durable()
{
    if (received_ends_.empty())
        return;
    for (const auto& [link, ends] : received_ends_)
        ledger_.when_durable(
            [link = link, ends = ends]
            {
                auto& life = link->life;
                if (life && life->incarnation_start == ends.incarnation_start)
                    life->acknowledged_up_to =
                        std::max(life->acknowledged_up_to, ends.up_to);
            });
    received_ends_.clear();
}

void coordinator_runner::log_starts(const std::vector<start_decision>& starts)
{
    // Writes one line for the tasks of a step that start in the same round.
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
        coordinator_log.write("assign", "fullest_with_room",
            {{"job", first->task.job},
                {"occurrence", first->task.key.occurrence},
                {"step", first->task.key.step}, {"tasks", tasks},
                {"term", head_.term},
                {"renewed_age_ms", get_renewal_age().count()}});
    }
}

void coordinator_runner::collect_ends_to_log(const target_link& link,
    const target_status& status, std::uint64_t last_known_number)
{
    for (const end_report& it : status.ended)
    {
        if (it.number <= last_known_number)
            continue;
        ++ends_to_log_count_;
        ends_to_log_ += (ends_to_log_.empty() ? "" : " ") + it.task.job.get() +
                        "." + std::to_string(it.task.key.occurrence) + "." +
                        std::to_string(it.task.key.step) + "." +
                        std::to_string(it.task.key.index) + "/" +
                        std::to_string(it.run.get()) + "@" + link.target.get() +
                        "#" + std::to_string(it.number) + ":" +
                        to_string(it.end);
    }
    if (ends_to_log_count_ >= ends_per_log_line)
        log_ends();
}

void coordinator_runner::log_ends()
{
    if (ends_to_log_count_ > 0)
        coordinator_log.write("ends", "listed_by_targets",
            {{"count", ends_to_log_count_}, {"ends", ends_to_log_},
                {"term", head_.term}});
    ends_to_log_count_ = 0;
    ends_to_log_.clear();
}

void coordinator_runner::log_load()
{
    boot_time now = boot_clock::now();
    if (now < next_load_report_at_)
        return;
    next_load_report_at_ = now + load_report_interval;
    coordinator_log.write("load", "each_second",
        {{"rows_waiting", ledger_.count_pending_changes()},
            {"starts_to_send", unsent_start_count_},
            {"relays", relays_.count_ready()},
            {"busy_targets", busy_target_count_},
            {"runs", coordinator_.get_runs().size()},
            {"commits", commit_count_},
            {"longest_commit_ms", longest_commit_.count()},
            {"term", head_.term}});
    for (const job_id& it : coordinator_.take_gangs_beyond_start_rate())
        coordinator_log.write("wait", "gang_cannot_be_started_in_time",
            {{"job", it}, {"gang_wait_ms", settings_.gang_wait.count()},
                {"term", head_.term}});
    commit_count_ = 0;
    longest_commit_ = milliseconds(0);
    for (const auto& [from, count] : std::exchange(refused_jobs_to_log_, {}))
        coordinator_log.write("refuse", "no_room_in_late_time",
            {{"queue", from.first}, {"team", from.second}, {"count", count},
                {"term", head_.term}});
}

void coordinator_runner::log_overloads()
{
    for (const overload_change& it : coordinator_.take_overload_changes())
    {
        // A pool at its limit enters and leaves several times a second.
        if (it.lasted < min_logged_overload)
            continue;
        coordinator_log.write("overload",
            it.state.is_overloaded ? "not_all_can_be_in_time" : "all_fit",
            {{"pool", it.pool}, {"can_be_in_time", it.state.selected},
                {"left_out", it.state.left_out},
                {"former_state_ms", it.lasted.count()}, {"term", head_.term}});
    }
}

void coordinator_runner::decide()
{
    boot_time now = boot_clock::now();
    coordinator_.end_runs_without_lease(now);
    std::vector<start_decision> starts;
    // A start that is planned later uses more recent statuses of the targets.
    bool is_keeping_up = starts_to_send_.size() < max_queued_starts;
    // Tasks start as before until the term can be released.
    bool is_handing_over =
        is_releasing_ &&
        is_previous_term_over(was_previous_term_released_, taken_over_at_);
    if (!is_handing_over && is_keeping_up && has_valid_term())
        starts = coordinator_.plan(now, get_wall_time(), max_starts_per_round);
    put_changed_rows();
    acknowledge_ends_when_durable();
    erase_expired_rows();
    put_run_times();
    log_ends();
    log_load();
    log_overloads();
    update_relays();
    busy_target_count_ = static_cast<std::size_t>(
        std::ranges::count_if(coordinator_.get_targets(),
            [](const auto& it) { return !it.second.runs.empty(); }));
    log_starts(starts);
    if (!starts.empty())
        ledger_.when_durable(
            [self = shared_from_this(), starts = std::move(starts)]
            { self->queue_starts(starts); });
    send_stops();
}

asio::awaitable<void> coordinator_runner::commit_batch(bool& is_committed)
{
    milliseconds timeout = first_commit_timeout;
    while (!is_over_)
    {
        ledger_batch batch = ledger_.make_batch();
        boot_time sent = boot_clock::now();
        is_request_under_way_ = true;
        batch_result result = co_await store_.commit(batch, timeout);
        is_request_under_way_ = false;
        ledger_.handle_result(result);
        if (ledger_.is_lost())
        {
            end_term("another coordinator has taken over the ledger");
            co_return;
        }
        if (result.outcome != batch_result::kind::committed &&
            last_commit_failure_ != result.message)
            write_log(log_level::warn, "ledger",
                "the store did not apply a transaction",
                {{"term", head_.term}, {"rows", batch.changes.size()},
                    {"why", result.message}});
        last_commit_failure_ = result.message;
        if (result.outcome == batch_result::kind::rejected)
            handle_rejected_rows(result.message);
        else if (!ledger_.is_in_flight())
        {
            // The store may have applied an earlier copy of this batch, before
            // `sent`.
            renewed_at_ = std::max(renewed_at_, sent);
            ++commit_count_;
            longest_commit_ = std::max(
                longest_commit_, to_milliseconds(boot_clock::now() - sent));
            metrics_.observe("cowslippass_ledger_commit_seconds",
                std::chrono::duration<double>(boot_clock::now() - sent)
                    .count());
            is_committed = true;
            co_return;
        }
        metrics_.add("cowslippass_ledger_retries_total");
        if (result.outcome == batch_result::kind::unknown)
            timeout = std::min(timeout * 2, max_commit_timeout);
        else if (ledger_.is_in_flight())
            co_await sleep(pause_after_refusal);
    }
}

asio::awaitable<void> coordinator_runner::write_loop()
{
    auto self = shared_from_this();
    while (!is_over_)
    {
        if (is_recovered_)
            decide();
        release_when_nothing_to_send();
        boot_time now = boot_clock::now();
        bool is_due = now - last_batch_at_ >= renewal_interval;
        if (ledger_.has_changes() || is_due)
        {
            last_batch_at_ = now;
            bool is_committed = false;
            co_await commit_batch(is_committed);
            if (ledger_.is_released())
                end_term("planned stop");
        }
        if (is_over_)
            break;
        // Changes that are made meanwhile share the next transaction.
        milliseconds since =
            to_milliseconds(boot_clock::now() - last_batch_at_);
        if (since < batch_interval && !ledger_.has_full_batch())
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
    return wait_for_ledger([this](std::function<void()> done)
        { ledger_.when_durable(std::move(done)); },
        deadline);
}

asio::awaitable<bool> coordinator_runner::wait_until_confirmed(
    boot_time deadline)
{
    return wait_for_ledger([this](std::function<void()> done)
        { ledger_.when_confirmed(std::move(done)); },
        deadline);
}

asio::awaitable<bool> coordinator_runner::wait_for_ledger(
    std::function<void(std::function<void()>)> request, boot_time deadline)
{
    auto self = shared_from_this();
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(to_milliseconds(deadline - boot_clock::now()));
    auto is_called = std::make_shared<bool>(false);
    request(
        [timer, is_called]
        {
            *is_called = true;
            timer->cancel();
        });
    if (*is_called || is_over_)
        co_return *is_called;
    ledger_waits_.insert(timer);
    boost::system::error_code ec;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    ledger_waits_.erase(timer);
    co_return *is_called;
}

} // namespace cowslippass
