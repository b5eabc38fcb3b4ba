#include "main/pool_runner.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Bounds how late a deadline or a preemption step is noticed.
constexpr milliseconds tick_interval{20};
/// Without work only targets that are set aside are to be looked after.
constexpr milliseconds idle_tick_interval{250};
/// Longer than a restart of the target's process takes; a failed instance
/// counts against its pool's availability budget.
constexpr milliseconds failed_after{30'000};
constexpr std::size_t max_bad_work = 10'000;

struct refusal_answer
{
    placement_rule rule;
    unsigned status;
    const char* message;
};

constexpr refusal_answer refusal_answers[] = {
    {placement_rule::deadline_passed, 503,
        "no slot became free before the deadline"},
    {placement_rule::fits_no_target, 422,
        "the declared size is larger than every target of the pool"},
    {placement_rule::team_queue_full, 429,
        "the team has too much work waiting on this pool"},
    {placement_rule::duplicate_task, 409, "the task exists already"}};

work_result to_refusal(const placement_decision& decision)
{
    for (const auto& it : refusal_answers)
        if (it.rule == decision.rule)
            return make_failure(it.status, to_string(decision.rule), it.message,
                run_answer::no);
    return make_failure(
        503, to_string(decision.rule), "refused", run_answer::no);
}

} // namespace

pool_runner::pool_runner(node_context& node, pool_id pool, grant_source grants,
    target_failure_handler on_failure)
    : node_(node), pool_(std::move(pool)), grants_(std::move(grants)),
      on_failure_(std::move(on_failure)), timer_(node.io)
{
}

void pool_runner::start()
{
    node_.spawn("pool_runner",
        [self = shared_from_this()] { return self->tick_loop(); });
}

task_id pool_runner::make_task_id()
{
    return task_id(std::to_string(node_.session.get()) + "-" + pool_.get() +
                   "-" + std::to_string(++last_task_));
}

pool_runner::active_ptr pool_runner::find(const task_id& id) const
{
    auto it = active_.find(id);
    return it == active_.end() ? nullptr : it->second;
}

asio::awaitable<work_result> pool_runner::run(work_item item)
{
    auto self = shared_from_this();
    if (!is_owned_)
        co_return make_failure(503, "owner_changed",
            "another entry owns the pool", run_answer::no);
    item.task.id = make_task_id();
    auto active = std::make_shared<active_item>(node_.io, std::move(item));
    active_[active->item.task.id] = active;
    if (auto refusal = placement_.add_task(active->item.task))
    {
        log_decision(*refusal, active);
        finish(active, to_refusal(*refusal));
    }
    kick();
    active->done.expires_at(active->item.answer_deadline);
    boost::system::error_code ec;
    if (!active->result)
        co_await active->done.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    if (active->result)
        co_return *active->result;
    // The caller stops waiting. Work that has not been sent is withdrawn.
    if (!active->is_on_target && placement_.cancel_task(active->item.task.id) ==
                                     placement_system::cancel_outcome::not_run)
    {
        auto refused = make_failure(503, "deadline_passed",
            "no slot became free before the deadline", run_answer::no);
        finish(active, refused);
        co_return refused;
    }
    co_return make_failure(504, "answer_deadline",
        "the work was started but did not end before the deadline",
        run_answer::unknown);
}

asio::awaitable<work_result> pool_runner::adopt(
    work_item item, instance_id target)
{
    auto self = shared_from_this();
    auto active = std::make_shared<active_item>(node_.io, std::move(item));
    auto entry = targets_.find(target);
    bool is_adopted =
        entry != targets_.end() &&
        placement_.adopt_running(active->item.task, target, get_now());
    if (!is_adopted)
        co_return make_failure(503, "not_adopted",
            "the task's target is not known", run_answer::unknown);
    active->target = target;
    active->is_on_target = true;
    active->starts = active->item.max_starts;
    active_[active->item.task.id] = active;
    entry->second.link->add_task(active->item.task.id);
    active->done.expires_at(active->item.answer_deadline);
    boost::system::error_code ec;
    co_await active->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    if (active->result)
        co_return *active->result;
    co_return make_failure(504, "answer_deadline",
        "the task did not end before the deadline", run_answer::unknown);
}

void pool_runner::watch(const instance_id& target, const task_id& task)
{
    auto entry = targets_.find(target);
    if (entry != targets_.end())
        entry->second.link->add_task(task);
}

void pool_runner::unwatch(const instance_id& target, const task_id& task)
{
    auto entry = targets_.find(target);
    if (entry != targets_.end() && !active_.contains(task))
        entry->second.link->remove_task(task);
}

asio::awaitable<std::optional<target_task_report>> pool_runner::query_task(
    instance_id target, task_id task)
{
    auto entry = targets_.find(target);
    if (entry == targets_.end())
        co_return std::nullopt;
    std::shared_ptr<target_link> link = entry->second.link;
    co_return co_await link->get_client().get_state(std::move(task));
}

asio::awaitable<std::optional<std::string>> pool_runner::fetch_result(
    instance_id target, task_id task, request_id request)
{
    auto entry = targets_.find(target);
    if (entry == targets_.end())
        co_return std::nullopt;
    std::shared_ptr<target_link> link = entry->second.link;
    co_return co_await link->get_client().get_result(
        std::move(task), std::move(request));
}

bool pool_runner::cancel(const request_id& request)
{
    for (const auto& [id, it] : active_)
    {
        if (it->item.request != request)
            continue;
        active_ptr active = it;
        active->is_cancelled = true;
        auto outcome = placement_.cancel_task(id);
        if (outcome == placement_system::cancel_outcome::not_run)
            finish(active, make_failure(409, "cancelled",
                               "the work was cancelled", run_answer::no));
        kick();
        return true;
    }
    return false;
}

void pool_runner::set_owned(bool is_owned)
{
    if (is_owned_ == is_owned)
        return;
    is_owned_ = is_owned;
    write_log(log_level::info, "pool_runner",
        is_owned ? "took over the pool" : "handed over the pool",
        {{"pool", pool_}});
    if (is_owned)
        return;
    std::vector<active_ptr> waiting;
    for (const auto& [id, it] : active_)
        if (!it->is_on_target)
            waiting.push_back(it);
    for (const auto& it : waiting)
        if (placement_.cancel_task(it->item.task.id) ==
            placement_system::cancel_outcome::not_run)
            finish(it, make_failure(503, "owner_changed",
                           "another entry owns the pool now", run_answer::no));
}

bool pool_runner::is_usable(const instance_row& row) const
{
    return row.state == instance_state::in_service &&
           !leaving_.contains(row.description.id) &&
           node_.state.is_in_service(row.description.data_centre);
}

void pool_runner::update_targets()
{
    for (const auto& [id, team] : node_.state.get_teams())
        placement_.set_team(id, team.share);
    const auto& instances = node_.state.get_instances();
    for (const auto& [id, row] : instances)
    {
        if (row.pool != pool_ ||
            row.description.data_centre != node_.config.data_centre)
            continue;
        target_entry& entry = targets_[id];
        bool is_moved =
            entry.link &&
            format_endpoint(entry.link->get_client().get_endpoint()) !=
                row.description.address;
        if (is_moved)
        {
            entry.link->stop();
            entry.link.reset();
        }
        if (!entry.link)
        {
            std::weak_ptr<pool_runner> weak = shared_from_this();
            target_link::observer callbacks;
            callbacks.on_answer =
                [weak](const instance_id& it, const sync_result& answer)
            {
                if (auto self = weak.lock())
                    self->handle_answer(it, answer);
            };
            callbacks.on_silence =
                [weak](const instance_id& it, milliseconds silence)
            {
                if (auto self = weak.lock())
                    self->handle_silence(it, silence);
            };
            callbacks.on_task_ended =
                [weak](const task_id& it, target_task_state state)
            {
                if (auto self = weak.lock())
                    self->handle_task_ended(it, state);
            };
            entry.link = std::make_shared<target_link>(
                node_, id, parse_endpoint(row.description.address), callbacks);
            entry.link->start();
        }
        entry.description.id = id;
        health_.set_target(id);
        entry.description.data_centre = row.description.data_centre;
        entry.description.rack = row.description.rack;
        entry.description.slots = row.description.slots;
        entry.description.memory = row.description.memory;
        entry.description.epoch = row.epoch;
        entry.description.state = is_usable(row) ? instance_state::in_service
                                                 : instance_state::draining;
        update_description(entry);
    }
    for (auto it = targets_.begin(); it != targets_.end();)
    {
        auto row = instances.find(it->first);
        bool is_ours = row != instances.end() && row->second.pool == pool_;
        if (!is_ours)
        {
            placement_.remove_target(it->first);
            health_.remove_target(it->first);
        }
        // Tasks of the old pool are followed to their end.
        if (!is_ours && !it->second.link->has_tasks())
        {
            it->second.link->stop();
            it = targets_.erase(it);
        }
        else
            ++it;
    }
    kick();
}

void pool_runner::set_leaving(const std::set<instance_id>& leaving)
{
    if (leaving == leaving_)
        return;
    leaving_ = leaving;
    update_targets();
}

void pool_runner::update_description(target_entry& entry)
{
    // Nothing is placed on a target before its first answer tells which of
    // its slots are free.
    if (!entry.description.free_slots)
        return;
    entry.description.health = entry.is_answering
                                   ? health_.get_state(entry.description.id)
                                   : target_health_state::set_aside;
    placement_.set_target(entry.description);
}

std::uint32_t pool_runner::count_targets() const
{
    std::uint32_t n = 0;
    for (const auto& [id, it] : targets_)
        if (it.is_answering &&
            it.description.state == instance_state::in_service)
            ++n;
    return n;
}

std::size_t pool_runner::count_urgent() const
{
    return std::ranges::count_if(active_, [](const auto& it)
        { return it.second->item.task.kind == queue_kind::urgent; });
}

void pool_runner::handle_answer(
    const instance_id& id, const sync_result& answer)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    it->second.is_answering = true;
    health_.on_answer(id, get_now());
    it->second.description.free_slots = slot_count(answer.free_slots);
    update_description(it->second);
    kick();
}

void pool_runner::handle_silence(const instance_id& id, milliseconds silence)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    if (it->second.is_answering)
        write_log(log_level::warn, "pool_runner", "a target does not answer",
            {{"target", id}, {"pool", pool_}});
    it->second.is_answering = false;
    health_.on_silent(id, get_now());
    update_description(it->second);
    if (is_owned_ && silence > failed_after)
        on_failure_(id);
    // Repeatable work is not left waiting for a silent target.
    if (silence < node_.config.start_deadline)
        return;
    std::vector<active_ptr> stranded;
    for (const auto& [task, active] : active_)
        if (active->target == id && active->is_on_target &&
            active->item.task.is_idempotent &&
            active->item.task.kind == queue_kind::urgent)
            stranded.push_back(active);
    for (const auto& active : stranded)
    {
        // The target may go on with the task until its lease lapses.
        release(active, task_outcome::unknown,
            node_.config.start_deadline + node_.config.task_lease);
        retry_or_finish(
            active, make_failure(502, "target_silent",
                        "the target stopped answering", run_answer::unknown));
    }
}

void pool_runner::kick()
{
    timer_.cancel();
}

asio::awaitable<void> pool_runner::tick_loop()
{
    auto self = shared_from_this();
    while (true)
    {
        tick();
        timer_.expires_after(
            active_.empty() ? idle_tick_interval : tick_interval);
        boost::system::error_code ec;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

task_id pool_runner::get_work_id(const active_item& active)
{
    return task_id(active.item.request.get());
}

bool pool_runner::may_set_aside() const
{
    auto pool = node_.state.get_pools().find(pool_);
    if (pool == node_.state.get_pools().end())
        return false;
    std::uint32_t n = node_.state.count_unavailable(pool_);
    for (const auto& [id, it] : targets_)
        if (health_.get_state(id) == target_health_state::set_aside &&
            it.description.state == instance_state::in_service)
            ++n;
    return n < pool->second.max_unavailable;
}

void pool_runner::judge_targets()
{
    auto judged = health_.tick(
        get_now(), [this](const instance_id&) { return may_set_aside(); });
    for (const auto& it : judged.changes)
    {
        log_.write(to_string(it.state), to_string(it.rule),
            {{"target", it.target}, {"pool", pool_}, {"failures", it.failures},
                {"evidence", it.evidence}});
        auto entry = targets_.find(it.target);
        if (entry != targets_.end())
            update_description(entry->second);
    }
    // Bounded: the ids are only needed while attempts are under way.
    if (bad_work_.size() > max_bad_work)
        bad_work_.clear();
    for (const auto& it : judged.bad_tasks)
    {
        log_.write("give_up", "fails_on_sound_targets",
            {{"request", it.task}, {"pool", pool_},
                {"targets", it.targets.size()}});
        bad_work_.insert(it.task);
    }
}

void pool_runner::tick()
{
    judge_targets();
    auto decisions = placement_.tick(get_now(), [this](const team_id& team)
        { return node_.may_start() && grants_.take(team); });
    for (const auto& team : decisions.returned_grants)
        grants_.give_back(team);
    for (const auto& it : decisions.items)
        carry_out(it);
    if (!decisions.teams_without_grant.empty())
        grants_.want_more();
}

void pool_runner::log_decision(
    const placement_decision& decision, const active_ptr& active) const
{
    log_.write(to_string(decision.action), to_string(decision.rule),
        {{"request", active->item.request}, {"task", decision.task},
            {"team", decision.team}, {"queue", active->item.queue},
            {"pool", pool_}, {"target", decision.target},
            {"rack", decision.rack}, {"data_centre", node_.config.data_centre},
            {"candidates", decision.candidates},
            {"free_slots", decision.free_slots}, {"waiting", decision.waiting},
            {"waited_ms", decision.waited.count()},
            {"version", node_.state.get_version()},
            {"age_ms",
                node_.get_freshness_age().value_or(milliseconds(-1)).count()}});
}

void pool_runner::carry_out(const placement_decision& decision)
{
    active_ptr active = find(decision.task);
    if (!active)
        return;
    log_decision(decision, active);
    switch (decision.action)
    {
    case placement_action::start:
        active->is_on_target = true;
        active->target = decision.target;
        node_.metrics.observe(decision.kind == queue_kind::urgent
                                  ? "cowslippass_urgent_start_seconds"
                                  : "cowslippass_slow_wait_seconds",
            double(decision.waited.count()) / 1000);
        node_.spawn("pool_runner",
            [self = shared_from_this(), active, target = decision.target]
            { return self->start_task(active, target); });
        break;
    case placement_action::refuse:
        finish(active, to_refusal(decision));
        break;
    default:
        node_.spawn("pool_runner",
            [self = shared_from_this(), active, action = decision.action]
            { return self->control_task(active, action); });
    }
}

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
    if (is_proof_of_no_start(outcome))
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

void pool_runner::retry_or_finish(
    const active_ptr& active, work_result otherwise)
{
    bool may_retry = active->item.task.is_idempotent &&
                     active->starts < active->item.max_starts &&
                     !active->is_cancelled && is_owned_ &&
                     get_now() < active->item.answer_deadline &&
                     !bad_work_.contains(get_work_id(*active)) &&
                     health_.get_retries().try_take(get_now());
    if (!may_retry)
    {
        finish(active, std::move(otherwise));
        return;
    }
    node_.metrics.add("cowslippass_retries_total", {{"pool", pool_.get()}});
    active_.erase(active->item.task.id);
    // A new id, as the target may still know the old one.
    active->item.task.id = make_task_id();
    active->target = {};
    active_[active->item.task.id] = active;
    if (auto refusal = placement_.add_task(active->item.task))
        finish(active, to_refusal(*refusal));
    kick();
}

void pool_runner::finish(const active_ptr& active, work_result result)
{
    if (active->result)
        return;
    // A refused retry says nothing about the starts before it.
    if (result.run == run_answer::no && active->may_have_run)
        result.run = run_answer::unknown;
    active->result = std::move(result);
    health_.forget_task(get_work_id(*active));
    node_.spawn("pool_runner",
        [self = shared_from_this(), active]() -> asio::awaitable<void>
        {
            if (active->item.on_end)
                co_await active->item.on_end(*active->result);
            active->done.cancel();
            self->active_.erase(active->item.task.id);
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
    release(active, bytes ? task_outcome::done : task_outcome::unknown,
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

std::vector<pool_runner::task_view> pool_runner::list_tasks() const
{
    std::vector<task_view> out;
    for (const auto& [id, it] : active_)
        out.push_back({id, it->item.task.team, it->item.queue, it->item.request,
            it->is_on_target ? it->target : instance_id()});
    return out;
}

std::vector<pool_runner::target_view> pool_runner::list_targets() const
{
    std::vector<target_view> out;
    for (const auto& [id, it] : targets_)
        out.push_back({id, it.description.slots.get(),
            it.description.free_slots.value_or(slot_count(0)).get(),
            it.is_answering});
    return out;
}

} // namespace cowslippass
