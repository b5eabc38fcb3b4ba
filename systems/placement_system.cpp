#include "systems/placement_system.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cowslippass
{

placement_system::task_order& placement_system::team_row::get_queue(
    task_class from)
{
    return waiting[static_cast<std::size_t>(from)];
}

const placement_system::task_order& placement_system::team_row::get_queue(
    task_class from) const
{
    return waiting[static_cast<std::size_t>(from)];
}

std::size_t placement_system::team_row::count_waiting() const
{
    return waiting[0].size() + waiting[1].size() + waiting[2].size();
}

placement_system::task_class placement_system::get_task_class(
    const placement_task& task)
{
    if (task.kind == queue_kind::urgent)
        return task_class::urgent;
    return task.is_idempotent ? task_class::slow : task_class::non_preemptible;
}

placement_system::placement_system(placement_policy policy)
    : policy_(policy), targets_(policy)
{
}

void placement_system::set_target(const placement_target& target)
{
    targets_.set(target);
}

void placement_system::remove_target(const instance_id& id)
{
    targets_.remove(id);
}

void placement_system::set_team(const team_id& team, std::uint32_t share)
{
    if (share == 0)
        throw systems_error("bad_share", "the share must be at least 1");
    shares_.set_weight(get_team(team).account, share);
}

std::optional<placement_decision> placement_system::add_task(
    const placement_task& task)
{
    if (auto obstacle = find_obstacle(task))
    {
        task_row refused;
        refused.task = task;
        auto decision = make_decision(
            refused, placement_action::refuse, *obstacle, task.arrival);
        decision.candidates = targets_.get_target_count();
        return decision;
    }
    task_row& row = tasks_[task.id];
    row.task = task;
    row.team = &get_team(task.team);
    row.sequence = ++last_sequence_;
    enqueue(row);
    return std::nullopt;
}

std::optional<placement_rule> placement_system::find_obstacle(
    const placement_task& task)
{
    if (tasks_.contains(task.id))
        return placement_rule::duplicate_task;
    if (policy_.refuses_oversized_tasks &&
        !targets_.fits_any_target(task.memory))
        return placement_rule::fits_no_target;
    if (get_team(task.team).get_queue(get_task_class(task)).size() >=
        policy_.max_waiting_per_class)
        return placement_rule::team_queue_full;
    return std::nullopt;
}

placement_system::cancel_outcome placement_system::cancel_task(
    const task_id& id)
{
    task_row* row = find_task(id);
    if (row == nullptr)
        return cancel_outcome::not_found;
    if (row->state == task_state::waiting)
    {
        dequeue(*row);
        erase(*row);
        return cancel_outcome::not_run;
    }
    if (!row->is_cancelled)
    {
        row->is_cancelled = true;
        cancelled_.push_back(id);
    }
    return cancel_outcome::stopping;
}

void placement_system::on_started(const task_id& id, monotonic_time now)
{
    task_row* row = find_task(id);
    if (row == nullptr || row->state != task_state::starting)
        return;
    row->state = task_state::running;
    row->started = now;
    targets_.confirm_start(*row->target);
    add_victim(*row);
}

void placement_system::on_start_refused(
    const task_id& id, start_refusal reason, monotonic_time now)
{
    task_row* row = find_task(id);
    if (row == nullptr || row->state != task_state::starting)
        return;
    targets_.on_refused(*row->target, reason, now);
    vacate(*row, now);
    ++row->team->unused_grants;
    enqueue(*row);
    if (row->is_cancelled)
        cancelled_.push_back(id);
}

void placement_system::on_checkpointed(const task_id& id, monotonic_time now)
{
    task_row* row = find_task(id);
    if (row == nullptr || row->state != task_state::checkpointing)
        return;
    row->is_checkpointed = true;
    set_preemption_step(*row, task_state::checkpointing, now);
}

void placement_system::on_task_end(
    const task_id& id, task_outcome /*outcome*/, monotonic_time now)
{
    task_row* row = find_task(id);
    if (row == nullptr || row->state == task_state::waiting)
        return;
    vacate(*row, now);
    erase(*row);
}

bool placement_system::adopt_running(
    const placement_task& task, const instance_id& target, monotonic_time now)
{
    placement_targets::target_row* place = targets_.find(target);
    task_row* known = find_task(task.id);
    if (place == nullptr)
        return false;
    if (known != nullptr && known->state != task_state::waiting)
        return false;
    if (known != nullptr)
        dequeue(*known);
    task_row& row = tasks_[task.id];
    row.task = task;
    row.team = &get_team(task.team);
    row.sequence = ++last_sequence_;
    occupy(row, *place, task_state::running, now);
    add_victim(row);
    return true;
}

placement_decisions placement_system::tick(
    monotonic_time now, const grant_strategy& take_grant)
{
    placement_decisions out;
    context ctx{now, take_grant, out};
    begin_tick(ctx);
    finish_cancelled(ctx);
    refuse_overdue(ctx);
    start_waiting(ctx);
    if (policy_.is_preemptive)
        preempt(ctx);
    end_tick(ctx);
    return out;
}

std::uint32_t placement_system::count_waiting(queue_kind kind) const
{
    return waiting_count_[static_cast<std::size_t>(kind)];
}

std::uint32_t placement_system::count_waiting(const team_id& team) const
{
    auto it = teams_.find(team);
    if (it == teams_.end())
        return 0;
    return static_cast<std::uint32_t>(it->second.count_waiting());
}

std::uint32_t placement_system::count_running(const team_id& team) const
{
    auto it = teams_.find(team);
    return it == teams_.end() ? 0 : it->second.account.running_tasks;
}

placement_system::team_row& placement_system::get_team(const team_id& id)
{
    auto [it, is_new] = teams_.try_emplace(id);
    if (is_new)
        it->second.id = id;
    return it->second;
}

placement_system::task_row* placement_system::find_task(const task_id& id)
{
    auto it = tasks_.find(id);
    return it == tasks_.end() ? nullptr : &it->second;
}

void placement_system::enqueue(task_row& row)
{
    team_row& team = *row.team;
    if (team.count_waiting() == 0)
        team.has_begun_waiting = true;
    row.state = task_state::waiting;
    team.get_queue(get_task_class(row.task))
        .emplace(row.task.arrival, row.sequence, &row);
    if (row.task.deadline != monotonic_time::max())
        deadlines_.emplace(row.task.deadline, row.sequence, &row);
    ++waiting_count_[static_cast<std::size_t>(row.task.kind)];
}

void placement_system::dequeue(task_row& row)
{
    row.team->get_queue(get_task_class(row.task))
        .erase({row.task.arrival, row.sequence, &row});
    deadlines_.erase({row.task.deadline, row.sequence, &row});
    --waiting_count_[static_cast<std::size_t>(row.task.kind)];
    targets_.release(row.task);
}

void placement_system::occupy(task_row& row,
    placement_targets::target_row& target, task_state state, monotonic_time now)
{
    shares_.advance(now, is_contended_);
    row.state = state;
    row.target = &target;
    row.started = now;
    targets_.occupy(target, row.task, state == task_state::starting);
    shares_.on_start(row.team->account);
    non_preemptible_running_ +=
        get_task_class(row.task) == task_class::non_preemptible ? 1 : 0;
}

void placement_system::vacate(task_row& row, monotonic_time now)
{
    shares_.advance(now, is_contended_);
    end_preemption(row);
    row.team->victims.erase({row.started, row.sequence, &row});
    targets_.vacate(*row.target, row.task, row.state == task_state::starting);
    shares_.on_end(row.team->account);
    non_preemptible_running_ -=
        get_task_class(row.task) == task_class::non_preemptible ? 1 : 0;
    row.target = nullptr;
}

void placement_system::erase(task_row& row)
{
    // A copy: erase would destroy the key while it still uses it.
    task_id id = row.task.id;
    tasks_.erase(id);
}

void placement_system::begin_tick(context& ctx)
{
    shares_.advance(ctx.now, is_contended_);
    targets_.begin_tick(ctx.now);
    double least = std::numeric_limits<double>::max();
    for (auto& [id, team] : teams_)
    {
        team.is_blocked = {};
        team.is_without_grant = false;
        if (team.count_waiting() > 0 && !team.has_begun_waiting)
            least = std::min(least, shares_.get_weighted_usage(team.account));
    }
    if (least < std::numeric_limits<double>::max())
        shares_.raise_usage_floor(least);
    for (auto& [id, team] : teams_)
        if (std::exchange(team.has_begun_waiting, false))
            shares_.raise_to_floor(team.account);
}

void placement_system::finish_cancelled(context& ctx)
{
    for (const task_id& id : cancelled_)
    {
        task_row* row = find_task(id);
        if (row == nullptr)
            continue;
        if (row->state == task_state::waiting)
        {
            // The start was refused after the task had been cancelled.
            add_decision(*row, placement_action::refuse,
                placement_rule::cancelled, 0, ctx);
            dequeue(*row);
            erase(*row);
            continue;
        }
        stop_victim(*row, placement_rule::cancelled, ctx);
    }
    cancelled_.clear();
}

void placement_system::refuse_overdue(context& ctx)
{
    while (!deadlines_.empty() && std::get<0>(*deadlines_.begin()) <= ctx.now)
    {
        task_row& row = *std::get<2>(*deadlines_.begin());
        add_decision(row, placement_action::refuse,
            placement_rule::deadline_passed, targets_.get_target_count(), ctx);
        dequeue(row);
        erase(row);
    }
}

void placement_system::start_waiting(context& ctx)
{
    using chooser = start_choice (placement_system::*)(monotonic_time);
    static constexpr chooser choosers[] = {
        &placement_system::choose_by_fair_share,
        &placement_system::choose_first_come};
    chooser next = choosers[static_cast<std::size_t>(policy_.order)];
    start_reserved(ctx);
    while (targets_.get_free_slots() > 0)
    {
        start_choice chosen = (this->*next)(ctx.now);
        if (chosen.team == nullptr)
            return;
        start_from_queue(chosen, ctx);
    }
}

bool placement_system::take_grant(team_row& team, context& ctx)
{
    if (team.unused_grants > 0)
    {
        --team.unused_grants;
        return true;
    }
    return take_new_grant(team, ctx);
}

bool placement_system::take_new_grant(team_row& team, context& ctx)
{
    if (ctx.take_grant(team.id))
        return true;
    team.is_without_grant = true;
    ctx.out.teams_without_grant.push_back(team.id);
    return false;
}

void placement_system::start(task_row& row,
    const placement_targets::choice& where, placement_rule rule, context& ctx)
{
    placement_decision decision =
        make_decision(row, placement_action::start, rule, ctx.now);
    decision.target = where.target->target.id;
    decision.target_epoch = where.target->target.epoch;
    decision.rack = where.target->target.rack;
    decision.candidates = where.candidates;
    ctx.out.items.push_back(std::move(decision));
    dequeue(row);
    occupy(row, *where.target, task_state::starting, ctx.now);
}

void placement_system::end_tick(context& ctx)
{
    is_contended_ = false;
    accounts_.clear();
    for (auto& [id, team] : teams_)
    {
        team.account.waiting_tasks = team.count_waiting();
        accounts_.push_back(&team.account);
        bool is_waiting = team.count_waiting() > 0;
        if (is_waiting && !team.is_without_grant)
            is_contended_ = true;
        // Unused grants are kept only while slots are being freed.
        std::size_t wanted = slots_being_freed_ > 0
                                 ? team.get_queue(task_class::urgent).size()
                                 : 0;
        while (team.unused_grants > wanted)
        {
            --team.unused_grants;
            ctx.out.returned_grants.push_back(id);
        }
    }
    // At the end of the tick, when the slots of tasks that ended before it are
    // in use again.
    shares_.update_fair_slots(accounts_, targets_.get_usable_slots(), ctx.now);
}

placement_decision placement_system::make_decision(const task_row& row,
    placement_action action, placement_rule rule, monotonic_time now) const
{
    placement_decision decision;
    decision.action = action;
    decision.rule = rule;
    decision.task = row.task.id;
    decision.team = row.task.team;
    decision.kind = row.task.kind;
    if (row.target != nullptr)
    {
        decision.target = row.target->target.id;
        decision.target_epoch = row.target->target.epoch;
        decision.rack = row.target->target.rack;
    }
    decision.free_slots = targets_.get_free_slots();
    decision.waiting = count_waiting(row.task.kind);
    decision.waited =
        std::chrono::duration_cast<milliseconds>(now - row.task.arrival);
    return decision;
}

void placement_system::add_decision(task_row& row, placement_action action,
    placement_rule rule, std::uint32_t candidates, context& ctx)
{
    ctx.out.items.push_back(make_decision(row, action, rule, ctx.now));
    ctx.out.items.back().candidates = candidates;
}

} // namespace cowslippass
