#include "main/pool_runner.hpp"

// The life of a task on its target: start, proof, end and result.

namespace cowslippass
{

asio::awaitable<void> pool_runner::start_task(
    active_ptr active, instance_id target)
{
    auto self = shared_from_this();
    auto entry = targets_.find(target);
    if (entry == targets_.end())
    {
        note_not_started(active, start_refusal::leaving);
        co_return;
    }
    std::shared_ptr<target_link> link = entry->second.link;
    auto deadline = co_await link->make_start_deadline();
    if (!deadline)
    {
        note_not_started(active, start_refusal::unreachable);
        co_return;
    }
    start_place place{active->item.task.id, target, *deadline};
    if (active->item.prepare_start)
    {
        auto refused = co_await active->item.prepare_start(place);
        if (refused)
        {
            release(active, task_outcome::stopped, milliseconds(0));
            finish(active, *refused);
            co_return;
        }
        // Making the start durable took time; the configuration may have
        // changed, or its freshness may have run out.
        if (!node_.may_start())
        {
            note_not_started(active, start_refusal::unreachable);
            co_return;
        }
    }
    auto row = node_.state.get_instances().find(target);
    if (row == node_.state.get_instances().end() || row->second.pool != pool_ ||
        !is_usable(row->second))
    {
        note_not_started(active, start_refusal::leaving);
        co_return;
    }
    ++active->starts;
    bool had_run = active->may_have_run;
    active->may_have_run = true;
    active->start_before = deadline;
    start_request request;
    request.id = place.task;
    request.owner = node_.session;
    request.start_before = deadline->time;
    request.boot = deadline->boot;
    request.lease = node_.config.task_lease;
    request.is_urgent = active->item.task.kind == queue_kind::urgent;
    request.request = active->item.request;
    request.run_ms = active->item.run_ms;
    request.payload = active->item.payload;
    start_outcome outcome =
        co_await link->get_client().start(std::move(request));
    if (proves_not_started(outcome))
        active->may_have_run = had_run;
    switch (outcome)
    {
    case start_outcome::started:
    case start_outcome::already_known:
        note_started(active);
        break;
    case start_outcome::unknown:
        co_await resolve_start(active);
        break;
    case start_outcome::no_slot:
        note_not_started(active, start_refusal::no_free_slot);
        break;
    case start_outcome::leaving:
        note_not_started(active, start_refusal::leaving);
        break;
    case start_outcome::deadline_passed:
        note_not_started(active, start_refusal::deadline_passed);
        break;
    case start_outcome::not_sent:
        note_not_started(active, start_refusal::unreachable);
        break;
    }
}

void pool_runner::note_started(const active_ptr& active)
{
    // It may have been given up as stranded in the meantime.
    if (!active->is_on_target || active->result)
        return;
    placement_.on_started(active->item.task.id, get_now());
    auto entry = targets_.find(active->target);
    if (entry != targets_.end())
        entry->second.link->add_task(active->item.task.id);
}

void pool_runner::note_not_started(
    const active_ptr& active, start_refusal reason)
{
    if (!active->is_on_target || active->result)
        return;
    active->is_on_target = false;
    node_.metrics.add(
        "cowslippass_starts_refused_total", {{"reason", to_string(reason)}});
    placement_.on_start_refused(active->item.task.id, reason, get_now());
    note_waiting(active);
    // While starts are not allowed the task waits for its deadline.
    if (!is_owned_ && placement_.cancel_task(active->item.task.id) ==
                          placement_system::cancel_outcome::not_run)
        finish(active, make_failure(503, "owner_changed",
                           "another entry owns the pool now", run_answer::no));
    kick();
}

asio::awaitable<void> pool_runner::resolve_start(active_ptr active)
{
    constexpr milliseconds poll_interval{250};
    // Ended tasks are kept by targets for ten minutes.
    auto give_up = get_now() + std::chrono::minutes(10);
    bool is_repeatable = active->item.task.is_idempotent;
    auto abandon = get_now() + node_.config.start_deadline;
    while (get_now() < (is_repeatable ? abandon : give_up))
    {
        auto entry = targets_.find(active->target);
        if (entry == targets_.end() || !active->is_on_target)
            break;
        std::shared_ptr<target_link> link = entry->second.link;
        auto report =
            co_await link->get_client().get_state(active->item.task.id);
        if (!active->is_on_target || active->result)
            co_return;
        if (report && report->state != target_task_state::unknown)
        {
            note_started(active);
            co_return;
        }
        bool is_same_boot =
            report && report->clock.boot == active->start_before->boot;
        if (is_same_boot && report->clock.time > active->start_before->time)
        {
            active->may_have_run = active->starts > 1;
            note_not_started(active, start_refusal::deadline_passed);
            co_return;
        }
        // A restarted target has lost its records; it proves nothing.
        if (report && !is_same_boot)
            break;
        co_await node_.sleep(poll_interval);
    }
    if (!active->is_on_target || active->result)
        co_return;
    release(active, task_outcome::unknown,
        node_.config.start_deadline + node_.config.task_lease);
    retry_or_finish(active,
        make_failure(504, "start_unknown",
            "the target may have started the work", run_answer::unknown));
}

asio::awaitable<void> pool_runner::control_task(
    active_ptr active, placement_action action)
{
    auto self = shared_from_this();
    auto entry = targets_.find(active->target);
    if (entry == targets_.end())
        co_return;
    std::shared_ptr<target_link> link = entry->second.link;
    if (action == placement_action::stop && !active->is_cancelled)
        active->is_preempted = true;
    bool is_done = co_await link->get_client().control(
        active->item.task.id, to_string(action));
    if (is_done && action == placement_action::checkpoint)
        placement_.on_checkpointed(active->item.task.id, get_now());
    kick();
}

void pool_runner::release(
    const active_ptr& active, task_outcome outcome, milliseconds keep_grant_for)
{
    active->is_on_target = false;
    const task_id& id = active->item.task.id;
    health_.on_task_end(
        get_work_id(*active), active->target, outcome, get_now());
    auto entry = targets_.find(active->target);
    if (entry != targets_.end())
        entry->second.link->remove_task(id);
    placement_.on_task_end(id, outcome, get_now());
    team_id team = active->item.task.team;
    if (keep_grant_for == milliseconds(0))
    {
        grants_.give_back(team);
        return;
    }
    node_.spawn("pool_runner",
        [self = shared_from_this(), team,
            keep_grant_for]() -> asio::awaitable<void>
        {
            co_await self->node_.sleep(keep_grant_for);
            self->grants_.give_back(team);
        });
}

void pool_runner::handle_task_ended(const task_id& id, target_task_state state)
{
    active_ptr active = find(id);
    if (!active)
    {
        // A watched task of another session; its row tells what to do.
        for (const auto& [target, entry] : targets_)
            entry.link->remove_task(id);
        return;
    }
    if (active->result || !active->is_on_target)
        return;
    switch (state)
    {
    case target_task_state::running:
        return;
    case target_task_state::done:
        node_.spawn("pool_runner", [self = shared_from_this(), active]
            { return self->deliver_result(active); });
        return;
    case target_task_state::failed:
        release(active, task_outcome::failed, milliseconds(0));
        retry_or_finish(
            active, make_failure(502, "task_failed",
                        "the work failed on its target", run_answer::yes));
        return;
    case target_task_state::stopped:
        release(active, task_outcome::stopped, milliseconds(0));
        finish(active,
            make_failure(409, active->is_cancelled ? "cancelled" : "preempted",
                "the work was stopped on its target", run_answer::yes));
        return;
    case target_task_state::lapsed:
    case target_task_state::unknown:
        release(active,
            state == target_task_state::lapsed ? task_outcome::lapsed
                                               : task_outcome::unknown,
            milliseconds(0));
        retry_or_finish(
            active, make_failure(502, "task_lost",
                        "the target stopped the work or lost its record",
                        run_answer::unknown));
        return;
    }
}

asio::awaitable<void> pool_runner::deliver_result(active_ptr active)
{
    auto self = shared_from_this();
    constexpr int max_tries = 8;
    constexpr milliseconds retry_interval{100};
    auto entry = targets_.find(active->target);
    if (entry == targets_.end())
        co_return;
    std::shared_ptr<target_link> link = entry->second.link;
    link->remove_task(active->item.task.id);
    std::optional<std::string> bytes;
    for (int i = 0; i < max_tries && !bytes; ++i)
    {
        if (i > 0)
            co_await node_.sleep(retry_interval * i);
        bytes = co_await link->get_client().get_result(
            active->item.task.id, active->item.request);
    }
    if (active->result || !active->is_on_target)
        co_return;
    // Counts against the target, which would otherwise be given the work again
    // and again.
    release(active, bytes ? task_outcome::done : task_outcome::failed,
        milliseconds(0));
    if (bytes)
    {
        work_result result;
        result.status = 200;
        result.run = run_answer::yes;
        result.payload = std::move(*bytes);
        finish(active, std::move(result));
        co_return;
    }
    retry_or_finish(
        active, make_failure(502, "result_cut_short",
                    "the work ran but its result did not arrive whole",
                    run_answer::yes));
}

} // namespace cowslippass
