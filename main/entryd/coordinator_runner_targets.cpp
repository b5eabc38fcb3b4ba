#include "drivers/metrics.hpp"
#include "main/entryd/coordinator_runner_internal.hpp"

namespace cowslippass
{

namespace
{

/// Timeout of a request to start or stop a run.
constexpr milliseconds request_timeout{600};
/// Timeout of the first request to start a run. It may be sent again safely,
/// and a target that does not answer it usually answers the next one.
constexpr milliseconds first_start_timeout{250};
/// After this many starts in a row without an answer, those that wait for the
/// same target are planned again.
constexpr std::size_t max_unanswered_starts = 2;
/// Number of starts that are sent before other work gets a turn.
constexpr std::size_t starts_per_turn = 16;
/// Timeout of a poll, beyond the time for which it asks the target to wait.
constexpr milliseconds poll_timeout{600};
/// How long a target may delay its answer to a poll until a run ends.
constexpr milliseconds poll_wait{1'500};
/// The same for a target whose runs end soon, so that a poll that gets no
/// answer delays the news of their ends for less time.
constexpr milliseconds short_poll_wait{400};
constexpr milliseconds short_poll_timeout{350};
/// Pause after a poll that reported ends. Polls are billed, so this limits
/// their number; a task that ends during the pause is noticed later by up to
/// this time.
constexpr milliseconds min_poll_interval{100};
/// With many busy targets the pause grows up to this time, so that polls leave
/// processor time for starts. The next poll reports all ends of the pause.
constexpr milliseconds max_poll_interval{300};
/// Intended number of polls a second for each processor core of the entry. A
/// poll costs about as much as a start, and starts need the rest of the time.
constexpr double polls_per_core_second = 2'000;
/// Pause between the polls of a target without runs.
constexpr milliseconds idle_poll_interval{4'000};
constexpr milliseconds pause_after_poll_failure{150};
constexpr milliseconds stop_retry_interval{300};
/// How long the store may delay its answer to a feed call until the list of
/// targets changes.
constexpr milliseconds feed_wait{1'000};
/// Timeout of a feed call, beyond `feed_wait`.
constexpr milliseconds feed_timeout{700};
constexpr milliseconds pause_after_feed_failure{100};
/// Share of the targets' lease limit that is granted. The rest covers the
/// difference between a target's clock and the estimate of it.
constexpr double lease_share = 0.9;
/// A target's clock may be slower than this process's clock by
/// this share.
constexpr double max_clock_slowness = 0.025;

} // namespace

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
        const auto& targets = coordinator_.get_targets();
        auto known = targets.find(change.target);
        bool was_listed = known != targets.end() && known->second.is_listed;
        bool was_draining =
            known != targets.end() && known->second.report.is_draining;
        bool is_draining = change.report && change.report->is_draining;
        if (was_listed != change.report.has_value() ||
            was_draining != is_draining)
            write_log(log_level::info, "targets",
                !change.report ? "a target is no longer listed"
                : is_draining  ? "a target is listed as draining"
                               : "a target is listed",
                {{"target", change.target}, {"version", it.version}});
        coordinator_.handle_target_change(change, now);
        if (change.report)
            open_link(change.target, *change.report);
    }
    close_unused_links();
    wake();
}

void coordinator_runner::open_link(
    const target_id& id, const target_report& report)
{
    auto it = links_.find(id);
    // A target that was removed from the list may be listed again; its old link
    // is closed then.
    if (it != links_.end() && !it->second->is_closed &&
        it->second->address == report.address)
    {
        it->second->handle_listed_incarnation(report.incarnation_start);
        return;
    }
    if (it != links_.end())
        it->second->is_closed = true;
    link_ptr link;
    try
    {
        link = std::make_shared<target_link>(io_, relays_, report, head_.term);
    }
    catch (const platform_error& e)
    {
        write_log(log_level::warn, "targets",
            "the address of a target is not valid",
            {{"target", id}, {"why", e.what()}});
        return;
    }
    links_[id] = link;
    auto self = shared_from_this();
    tasks_.run_loop(
        "target_polls", [self, link] { return self->poll_loop(link); },
        [self, link] { return self->is_over_ || link->is_closed; });
}

void coordinator_runner::open_links()
{
    for (const auto& [id, target] : coordinator_.get_targets())
        if (target.is_listed)
            open_link(id, target.report);
    close_unused_links();
}

void coordinator_runner::close_unused_links()
{
    if (links_.size() <= coordinator_.get_targets().size())
        return;
    for (auto it = links_.begin(); it != links_.end();)
    {
        if (coordinator_.get_targets().contains(it->first))
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
    rows_result rows = co_await store_.read_all_rows(range, read_timeout);
    if (rows.failure != store_failure::none)
        co_return false;
    targets_version_ = rows.newest;
    std::set<target_id> listed;
    for (const stored_row& it : rows.rows)
        listed.insert(target_id(it.key));
    std::vector<target_id> gone;
    for (const auto& [id, it] : coordinator_.get_targets())
        if (it.is_listed && !listed.contains(id))
            gone.push_back(id);
    for (const target_id& it : gone)
        coordinator_.handle_target_change(
            {it, std::nullopt}, boot_clock::now());
    boot_time now = boot_clock::now();
    for (const stored_row& it : rows.rows)
        if (auto report = decode_target_report(it))
            coordinator_.handle_target_change({report->target, report}, now);
    co_return true;
}

asio::awaitable<void> coordinator_runner::target_feed_loop()
{
    auto self = shared_from_this();
    while (!is_over_)
    {
        rows_result rows =
            co_await store_.wait_for_changes(published_table::targets,
                targets_version_, feed_wait, feed_timeout);
        if (is_over_)
            break;
        if (rows.failure == store_failure::history_expired)
        {
            write_log(log_level::warn, "targets",
                "the store no longer has the feed's history; the list of "
                "targets is read again",
                {{"version", targets_version_}});
            if (co_await read_targets())
                open_links();
            continue;
        }
        if (rows.failure != store_failure::none)
        {
            co_await sleep(pause_after_feed_failure);
            continue;
        }
        targets_version_ = std::max(targets_version_, rows.newest);
        if (!rows.rows.empty())
            apply_target_rows(rows.rows);
    }
}

milliseconds coordinator_runner::get_max_lease_time() const
{
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(settings_.lease_limit.count()) *
        (1 + max_clock_slowness)));
}

boot_time coordinator_runner::get_request_end() const
{
    return std::min(boot_clock::now() + request_timeout, get_term_end());
}

milliseconds coordinator_runner::get_poll_interval() const
{
    double rate = polls_per_core_second * settings_.processor_share;
    milliseconds gap(static_cast<std::int64_t>(
        static_cast<double>(busy_target_count_) * 1'000.0 / rate));
    return std::clamp(gap, min_poll_interval, max_poll_interval);
}

target_time coordinator_runner::grant_lease(const target_link& link)
{
    coordinator_.record_lease(
        link.target, boot_clock::now() + get_max_lease_time());
    auto passed =
        to_milliseconds(boot_clock::now() - link.life->clock_received_at);
    auto lease = static_cast<std::int64_t>(
        static_cast<double>(settings_.lease_limit.count()) * lease_share);
    return target_time(link.life->clock.get() + passed.count() + lease);
}

void coordinator_runner::process_status(const link_ptr& link,
    const target_status& status, boot_time sent_at, boot_time received_at)
{
    if (!link->life ||
        link->life->incarnation_start != status.incarnation_start)
        link->life = target_life{status.incarnation_start, {}, {}, 0};
    // The target read its clock before its answer was received, so an estimate
    // that counts from the time of receipt is never ahead of a correct clock.
    link->life->clock = status.clock;
    link->life->clock_received_at = received_at;
    std::uint64_t before = 0;
    if (auto it = coordinator_.get_targets().find(link->target);
        it != coordinator_.get_targets().end())
        before = it->second.last_end_number;
    collect_ends_to_log(*link, status, before);
    coordinator_.handle_status(link->target, status, sent_at, received_at);
    auto it = coordinator_.get_targets().find(link->target);
    if (it == coordinator_.get_targets().end())
        return;
    std::uint64_t after = it->second.last_end_number;
    if (after == before && status.ended.empty())
        return;
    received_ends_[link] = {status.incarnation_start, after};
    wake();
}

asio::awaitable<void> coordinator_runner::poll_loop(link_ptr link)
{
    auto self = shared_from_this();
    while (!is_over_ && !link->is_closed)
    {
        auto it = coordinator_.get_targets().find(link->target);
        if (it == coordinator_.get_targets().end())
            break;
        const target_entry& target = it->second;
        bool is_busy = !target.runs.empty();
        bool has_short_runs = target.used != target.long_running;
        poll_request request;
        if (link->life)
            request.acknowledged = {
                link->life->incarnation_start, link->life->acknowledged_up_to};
        bool has_unacknowledged_ends =
            target.last_end_number > request.acknowledged.up_to;
        if (coordinator_.should_renew_leases(link->target) && link->life &&
            has_valid_term())
            request.lease_end = grant_lease(*link);
        if (is_busy && target.has_reported &&
            target.consecutive_failures == 0 && !has_unacknowledged_ends)
            request.wait = has_short_runs ? short_poll_wait : poll_wait;
        milliseconds timeout =
            has_short_runs ? short_poll_timeout : poll_timeout;
        boot_time sent_at = boot_clock::now();
        boot_time valid_until = sent_at + timeout;
        if (request.lease_end)
            valid_until = std::min(valid_until, get_term_end());
        poll_reply reply =
            co_await link->channel.poll(request, timeout, valid_until);
        if (is_over_ || link->is_closed)
            break;
        boot_time now = boot_clock::now();
        metrics_.add(
            "cowslippass_looks_total", {{"outcome", to_string(reply.outcome)}});
        if (reply.outcome == request_outcome::stale_fence)
        {
            end_term("a target has seen a higher fence number");
            break;
        }
        if (reply.status)
        {
            if (!link->is_reachable)
                write_log(log_level::info, "targets", "a target answers again",
                    {{"target", link->target}});
            link->is_reachable = true;
            process_status(link, *reply.status, sent_at, now);
            if (is_over_ || link->is_closed)
                break;
            // Ends that occur during the pause share the next poll.
            bool has_ends = !reply.status->ended.empty();
            // An idle target is polled at once when it gets a run.
            it = coordinator_.get_targets().find(link->target);
            bool is_idle =
                it != coordinator_.get_targets().end() &&
                it->second.runs.empty() && !has_ends && link->life &&
                it->second.last_end_number <= link->life->acknowledged_up_to;
            if (!is_idle && !has_ends)
                continue;
            link->timer.expires_after(
                is_idle ? idle_poll_interval : get_poll_interval());
        }
        else
        {
            if (link->is_reachable)
                write_log(log_level::warn, "targets",
                    "a target does not answer",
                    {{"target", link->target},
                        {"outcome", to_string(reply.outcome)},
                        {"why", reply.message}});
            link->is_reachable = false;
            coordinator_.handle_poll_failure(link->target, now);
            wake();
            link->timer.expires_after(pause_after_poll_failure);
        }
        boost::system::error_code ec;
        co_await link->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
    link->is_closed = true;
}

// Requests to start and stop runs.

void coordinator_runner::queue_starts(
    const std::vector<start_decision>& decisions)
{
    starts_to_send_.insert(
        starts_to_send_.end(), decisions.begin(), decisions.end());
    unsent_start_count_ += decisions.size();
    if (is_sending_starts_)
        return;
    is_sending_starts_ = true;
    auto self = shared_from_this();
    tasks_.run_once(
        "starts", [self] { return self->send_queued_starts(); },
        [self] { self->is_sending_starts_ = false; });
}

asio::awaitable<void> coordinator_runner::send_queued_starts()
{
    auto self = shared_from_this();
    while (!starts_to_send_.empty() && !is_over_)
    {
        for (std::size_t i = 0; i < starts_per_turn && !starts_to_send_.empty();
             ++i)
        {
            start_decision it = std::move(starts_to_send_.front());
            starts_to_send_.pop_front();
            begin_start(it);
        }
        co_await asio::post(io_, asio::use_awaitable);
    }
    is_sending_starts_ = false;
    wake();
}

void coordinator_runner::begin_start(const start_decision& decision)
{
    link_ptr link = find_link(decision.target);
    if (!link)
    {
        --unsent_start_count_;
        abandon_start(decision);
        return;
    }
    if (link->starts_in_flight >= max_starts_in_flight)
    {
        link->waiting_starts.push_back(decision);
        return;
    }
    --unsent_start_count_;
    ++link->starts_in_flight;
    auto self = shared_from_this();
    auto on_end = [self, link]
    {
        --link->starts_in_flight;
        self->begin_next_start(link);
    };
    // It is not known whether a start that failed was sent.
    tasks_.run_once(
        "start",
        [self, decision, on_end]() -> asio::awaitable<void>
        {
            co_await self->send_start(decision);
            on_end();
        },
        [self, decision, on_end]
        {
            self->coordinator_.handle_start_reply(
                decision, request_outcome::no_answer, boot_clock::now());
            self->abandon_start(decision);
            on_end();
        });
}

void coordinator_runner::begin_next_start(const link_ptr& link)
{
    // None of them is in flight at this link when the target has another link
    // by now, or none.
    while (!is_over_ && !link->waiting_starts.empty() &&
           link->starts_in_flight < max_starts_in_flight)
    {
        start_decision next = std::move(link->waiting_starts.front());
        link->waiting_starts.pop_front();
        begin_start(next);
    }
}

void coordinator_runner::abandon_waiting_starts(const link_ptr& link)
{
    auto starts = std::exchange(link->waiting_starts, {});
    unsent_start_count_ -= starts.size();
    for (const start_decision& it : starts)
        abandon_start(it);
}

void coordinator_runner::abandon_start(const start_decision& decision)
{
    coordinator_.abandon_start(decision, boot_clock::now());
    wake();
}

asio::awaitable<void> coordinator_runner::send_start(start_decision decision)
{
    auto self = shared_from_this();
    std::optional<target_time> lease_end;
    milliseconds timeout = first_start_timeout;
    while (!is_over_)
    {
        link_ptr link = find_link(decision.target);
        if (!link || !link->life || !has_valid_term())
        {
            abandon_start(decision);
            co_return;
        }
        auto request = coordinator_.make_start_request(decision);
        if (!request)
        {
            abandon_start(decision);
            co_return;
        }
        // A retry keeps the first lease, so that the lease expires at a target
        // that does not answer.
        if (!lease_end)
            lease_end = grant_lease(*link);
        request->lease_end = *lease_end;
        // Ends the pause of an idle target's polls, so that the end of this run
        // is noticed.
        link->timer.cancel();
        boot_time valid_until = get_request_end();
        boot_time sent_at = boot_clock::now();
        request_reply reply =
            co_await link->channel.start(*request, timeout, valid_until);
        timeout = request_timeout;
        if (is_over_)
            co_return;
        metrics_.add("cowslippass_starts_total",
            {{"outcome", to_string(reply.outcome)}});
        if (reply.outcome == request_outcome::stale_fence)
        {
            end_term("a target has seen a higher fence number");
            co_return;
        }
        coordinator_.handle_start_reply(
            decision, reply.outcome, boot_clock::now());
        if (reply.outcome == request_outcome::accepted)
            coordinator_.record_start_time(
                decision.target, to_milliseconds(boot_clock::now() - sent_at));
        bool is_answered = reply.outcome != request_outcome::no_answer &&
                           reply.outcome != request_outcome::not_sent;
        link->unanswered_starts = is_answered ? 0 : link->unanswered_starts + 1;
        if (link->unanswered_starts >= max_unanswered_starts)
            abandon_waiting_starts(link);
        if (reply.outcome != request_outcome::accepted)
            write_log(log_level::info, "decision.coordinator",
                "a start was not confirmed",
                {{"job", decision.task.job}, {"step", decision.task.key.step},
                    {"index", decision.task.key.index}, {"run", decision.run},
                    {"target", decision.target},
                    {"outcome", to_string(reply.outcome)},
                    {"why", reply.message}});
        wake();
        if (reply.outcome != request_outcome::no_answer)
            co_return;
    }
}

void coordinator_runner::send_stops()
{
    auto self = shared_from_this();
    if (!has_valid_term())
        return;
    for (const stop_decision& it : coordinator_.list_stops())
        if (stops_in_flight_.insert(it).second)
            tasks_.run_once(
                "stop", [self, it] { return self->send_stop(it); },
                [self, it] { self->stops_in_flight_.erase(it); });
}

asio::awaitable<void> coordinator_runner::send_stop(stop_decision decision)
{
    auto self = shared_from_this();
    link_ptr link = find_link(decision.target);
    if (link)
    {
        boot_time valid_until = get_request_end();
        request_reply reply = co_await link->channel.stop(
            decision.task, decision.run, request_timeout, valid_until);
        if (is_over_)
            co_return;
        coordinator_log.write("stop", to_string(reply.outcome),
            {{"job", decision.task.job},
                {"occurrence", decision.task.key.occurrence},
                {"step", decision.task.key.step},
                {"index", decision.task.key.index}, {"run", decision.run},
                {"target", decision.target}, {"why", reply.message}});
        coordinator_.handle_stop_reply(
            decision, reply.outcome, boot_clock::now());
    }
    // The run counts as stopped only once a status shows that it has ended.
    // Until then each round of decisions sends the stop again.
    co_await sleep(stop_retry_interval);
    stops_in_flight_.erase(decision);
}

} // namespace cowslippass
