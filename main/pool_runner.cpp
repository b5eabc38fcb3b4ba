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
    else if (!take_room(active))
    {
        placement_.cancel_task(active->item.task.id);
        finish_without_room(active);
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
    // Nobody reads the result any more, and other work needs the slot.
    bool is_useless = active->item.task.is_idempotent &&
                      active->item.task.kind == queue_kind::urgent;
    if (is_useless && active->is_on_target)
    {
        active->is_cancelled = true;
        placement_.cancel_task(active->item.task.id);
        kick();
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

std::size_t pool_runner::count_urgent() const
{
    return std::ranges::count_if(active_, [](const auto& it)
        { return it.second->item.task.kind == queue_kind::urgent; });
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
    node_.metrics.add("cowslippass_decisions_total",
        {{"decision", to_string(decision.action)},
            {"rule", to_string(decision.rule)}});
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
        node_.waiting.remove(active->item.task.id);
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

void pool_runner::retry_or_finish(
    const active_ptr& active, work_result otherwise)
{
    bool may_retry = active->item.task.is_idempotent &&
                     active->starts < active->item.max_starts &&
                     !active->is_cancelled && is_owned_ &&
                     get_now() < active->item.answer_deadline &&
                     !bad_work_.contains(get_work_id(*active)) &&
                     health_.get_retry_budget().try_acquire(get_now());
    if (!may_retry)
    {
        finish(active, std::move(otherwise));
        return;
    }
    node_.metrics.add("cowslippass_retries_total", {{"pool", pool_.get()}});
    active_.erase(active->item.task.id);
    // A new id, as the target may still know the old one.
    active->item.task.id = make_task_id();
    auto& avoided_targets = active->item.task.avoided_targets;
    if (std::ranges::find(avoided_targets, active->target) ==
        avoided_targets.end())
        avoided_targets.push_back(active->target);
    active->target = {};
    active_[active->item.task.id] = active;
    if (auto refusal = placement_.add_task(active->item.task))
        finish(active, to_refusal(*refusal));
    else
        note_waiting(active);
    kick();
}

void pool_runner::note_waiting(const active_ptr& active)
{
    const placement_task& task = active->item.task;
    node_.waiting.readmit(task.id, task.team,
        byte_count(active->item.payload.size()), task.kind == queue_kind::slow);
}

bool pool_runner::take_room(const active_ptr& active)
{
    const placement_task& task = active->item.task;
    auto victims = node_.waiting.add(task.id, task.team,
        byte_count(active->item.payload.size()), task.kind == queue_kind::slow);
    if (!victims)
        return false;
    for (const auto& it : *victims)
        node_.refuse_waiting(it);
    return true;
}

bool pool_runner::refuse_waiting(const task_id& id)
{
    active_ptr active = find(id);
    bool is_waiting = active && !active->is_on_target && !active->result;
    if (!is_waiting ||
        placement_.cancel_task(id) != placement_system::cancel_outcome::not_run)
        return false;
    finish_without_room(active);
    return true;
}

void pool_runner::finish_without_room(const active_ptr& active)
{
    const team_id& team = active->item.task.team;
    node_.metrics.add(
        "cowslippass_waiting_refusals_total", {{"team", team.get()}});
    log_.write("refuse", waiting_full_code,
        {{"request", active->item.request}, {"task", active->item.task.id},
            {"team", team}, {"queue", active->item.queue}, {"pool", pool_},
            {"team_bytes", node_.waiting.get_bytes(team).get()},
            {"bytes", node_.waiting.get_bytes().get()}});
    finish(active, make_failure(429, waiting_full_code,
                       "too much work waits in the entry, and the team has "
                       "more than its part of it",
                       run_answer::no));
}

void pool_runner::finish(const active_ptr& active, work_result result)
{
    if (active->result)
        return;
    // A refused retry says nothing about the starts before it.
    if (result.run == run_answer::no && active->may_have_run)
        result.run = run_answer::unknown;
    node_.waiting.remove(active->item.task.id);
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

std::vector<pool_runner::task_view> pool_runner::list_tasks() const
{
    std::vector<task_view> out;
    for (const auto& [id, it] : active_)
        out.push_back({id, it->item.task.team, it->item.queue, it->item.request,
            it->is_on_target ? it->target : instance_id()});
    return out;
}

} // namespace cowslippass
