#include "drivers/metrics.hpp"
#include "main/entryd/coordinator_runner_internal.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds order_timeout{600};
/// Starts that are sent before other work has its turn.
constexpr std::size_t starts_per_turn = 16;
constexpr milliseconds look_timeout{600};
/// Longest wait of one look for an end.
constexpr milliseconds look_wait{1'500};
/// Pause after a look that listed ends. Looks are priced, and a task that
/// ends meanwhile is noticed later by up to this time.
constexpr milliseconds look_gap{100};
/// With many busy targets the pause grows up to this, so that looks leave the
/// processor time for starts; ends that come meanwhile share a look.
constexpr milliseconds longest_look_gap{300};
/// Looks a second for each processor core of the entry. A look costs about as
/// much as a start, which wants the rest of the time.
constexpr double looks_per_core = 2'000;
/// Pause between the looks at a target without runs.
constexpr milliseconds idle_look_interval{4'000};
constexpr milliseconds pause_after_look_failure{150};
constexpr milliseconds feed_wait{1'000};
constexpr milliseconds feed_timeout{700};
/// Below the targets' limit, as their clocks may run ahead of the estimate.
constexpr double lease_share = 0.9;
/// A target's clock may be slower than ours by this share.
constexpr double clock_slack = 0.025;

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
                !change.report ? "target gone"
                : is_draining  ? "target drains"
                               : "target listed",
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
    // The link of a target that was given up is closed; the target may be
    // listed again.
    if (it != links_.end() && !it->second->is_closed &&
        it->second->address == report.address)
        return;
    if (it != links_.end())
        it->second->is_closed = true;
    link_ptr link;
    try
    {
        link = std::make_shared<target_link>(io_, report, head_.term);
    }
    catch (const platform_error& e)
    {
        write_log(log_level::warn, "targets", "unusable address",
            {{"target", id}, {"why", e.what()}});
        return;
    }
    links_[id] = link;
    auto self = shared_from_this();
    asio::co_spawn(
        io_, [self, link] { return self->watch_target(link); }, asio::detached);
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
    store_rows rows = co_await store_.read_all_rows(range, read_timeout);
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
        store_rows rows = co_await store_.follow(published_table::targets,
            targets_version_, feed_wait, feed_timeout);
        if (is_over_)
            break;
        if (rows.failure == store_failure::history_gone)
        {
            write_log(log_level::warn, "targets",
                "the store has dropped the feed's history",
                {{"version", targets_version_}});
            if (co_await read_targets())
                open_links();
            continue;
        }
        if (rows.failure != store_failure::none)
        {
            co_await sleep(milliseconds(100));
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
        (1 + clock_slack)));
}

milliseconds coordinator_runner::get_poll_interval() const
{
    double rate = looks_per_core * settings_.processor_share;
    milliseconds gap(static_cast<std::int64_t>(
        static_cast<double>(busy_target_count_) * 1'000.0 / rate));
    return std::clamp(gap, look_gap, longest_look_gap);
}

target_time coordinator_runner::grant_lease(const target_link& link)
{
    coordinator_.record_lease(
        link.target, boot_clock::now() + get_max_lease_time());
    auto passed = to_milliseconds(boot_clock::now() - link.clock_received_at);
    auto lease = static_cast<std::int64_t>(
        static_cast<double>(settings_.lease_limit.count()) * lease_share);
    return target_time(link.clock->get() + passed.count() + lease);
}

void coordinator_runner::process_status(const link_ptr& link,
    const target_status& look, boot_time sent_at, boot_time received_at)
{
    if (look.incarnation_start != link->incarnation_start)
    {
        link->incarnation_start = look.incarnation_start;
        link->acknowledged_up_to = 0;
        received_end_numbers_.erase(link);
    }
    // The answer was written after the request was sent: the estimate made
    // from the time of sending is never late.
    link->clock = look.clock;
    link->clock_received_at = received_at;
    std::uint64_t before = 0;
    if (auto it = coordinator_.get_targets().find(link->target);
        it != coordinator_.get_targets().end())
        before = it->second.last_end_number;
    collect_ends_to_log(*link, look, before);
    coordinator_.handle_status(link->target, look, sent_at, received_at);
    auto it = coordinator_.get_targets().find(link->target);
    if (it == coordinator_.get_targets().end())
        return;
    std::uint64_t after = it->second.last_end_number;
    if (after == before && look.ended.empty())
        return;
    received_end_numbers_[link] = after;
    wake();
}

asio::awaitable<void> coordinator_runner::watch_target(link_ptr link)
{
    auto self = shared_from_this();
    co_await poll_loop(link);
    link->is_closed = true;
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
        bool has_unseen = target.last_end_number > link->acknowledged_up_to;
        poll_request order;
        order.acknowledged_up_to = link->acknowledged_up_to;
        if (coordinator_.should_renew_leases(link->target) && link->clock &&
            has_valid_term())
            order.lease_end = grant_lease(*link);
        if (is_busy && target.has_reported &&
            target.consecutive_failures == 0 && !has_unseen)
            order.wait = look_wait;
        boot_time sent_at = boot_clock::now();
        poll_reply reply = co_await link->client.look(order, look_timeout);
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
                write_log(log_level::info, "targets", "target reached again",
                    {{"target", link->target}});
            link->is_reachable = true;
            process_status(link, *reply.status, sent_at, now);
            if (is_over_ || link->is_closed)
                break;
            // An idle target is asked again when it gets a run.
            it = coordinator_.get_targets().find(link->target);
            bool is_idle =
                it != coordinator_.get_targets().end() &&
                it->second.runs.empty() &&
                it->second.last_end_number <= link->acknowledged_up_to;
            // Ends that come in the meantime share the next look.
            bool has_ends = !reply.status->ended.empty();
            if (!is_idle && !has_ends)
                continue;
            link->timer.expires_after(
                is_idle ? idle_look_interval : get_poll_interval());
        }
        else
        {
            if (link->is_reachable)
                write_log(log_level::warn, "targets", "target does not answer",
                    {{"target", link->target},
                        {"outcome", to_string(reply.outcome)},
                        {"why", reply.message}});
            link->is_reachable = false;
            coordinator_.handle_poll_failure(link->target, now);
            wake();
            link->timer.expires_after(pause_after_look_failure);
        }
        boost::system::error_code ec;
        co_await link->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

// Orders.

void coordinator_runner::queue_start(const start_decision& decision)
{
    starts_to_send_.push_back(decision);
    if (is_sending_starts_)
        return;
    is_sending_starts_ = true;
    auto self = shared_from_this();
    asio::co_spawn(
        io_, [self] { return self->send_queued_starts(); }, asio::detached);
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
            asio::co_spawn(
                io_, [self, it] { return self->send_start(it); },
                asio::detached);
        }
        co_await asio::post(io_, asio::use_awaitable);
    }
    is_sending_starts_ = false;
    wake();
}

asio::awaitable<void> coordinator_runner::send_start(start_decision decision)
{
    auto self = shared_from_this();
    std::optional<target_time> lease_end;
    while (!is_over_)
    {
        link_ptr link = find_link(decision.target);
        if (!link || !link->clock || !has_valid_term())
        {
            coordinator_.abandon_start(decision, boot_clock::now());
            co_return;
        }
        auto order = coordinator_.make_start_request(decision);
        if (!order)
        {
            coordinator_.abandon_start(decision, boot_clock::now());
            wake();
            co_return;
        }
        // A repeat keeps the first lease: a silent target must run out of it.
        if (!lease_end)
            lease_end = grant_lease(*link);
        order->lease_end = *lease_end;
        // Ends of this run have to be seen; an idle target is not asked.
        link->timer.cancel();
        request_reply reply =
            co_await link->client.start(*order, order_timeout);
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
        if (reply.outcome != request_outcome::accepted)
            write_log(log_level::info, "decision.coordinator",
                "start not confirmed",
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
        request_reply reply = co_await link->client.stop(
            decision.task, decision.run, order_timeout);
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
    // The run is gone when the target lists its end; until then the stop is
    // repeated.
    co_await sleep(milliseconds(300));
    stops_in_flight_.erase(decision.task);
}

} // namespace cowslippass
