#include "bench/driver.hpp"

#include <algorithm>

namespace cowslippass::bench
{

namespace
{

constexpr double fast_failure_s = 0.05;
/// A connection to a silent target is given up after so long.
constexpr double connect_s = 1.0;
constexpr double checkpoint_low_s = 0.05;
constexpr double checkpoint_high_s = 0.3;
constexpr double lease_s = 10.0;
/// Session death and adoption of the jobs elsewhere.
constexpr double adoption_s = 14.0;
constexpr int most_attempts = 5;
constexpr double cancel_part = 0.5;

} // namespace

void driver::apply(owner_row& owner, const placement_decision& item)
{
    std::size_t index = std::stoull(item.task.get().substr(1));
    task_row& task = tasks_[index];
    switch (item.action)
    {
    case placement_action::start:
        ++out_.starts;
        task.target = owner.numbers.at(item.target);
        ++task.generation;
        schedule(plan_.network_ms / 1000, event_kind::start_arrives, index,
            task.generation);
        break;
    case placement_action::throttle:
        ++out_.preemptions;
        halt(task);
        task.halted_s = now_s_;
        break;
    case placement_action::checkpoint:
        schedule(random_.draw_uniform(checkpoint_low_s, checkpoint_high_s),
            event_kind::checkpointed, index, task.generation);
        break;
    case placement_action::resume:
        out_.preempted_work += now_s_ - task.halted_s;
        proceed(task, index);
        break;
    case placement_action::stop:
        if (item.rule != placement_rule::cancelled)
            out_.preempted_work += now_s_ - task.halted_s;
        stop(task, index);
        break;
    case placement_action::refuse:
        give_up(task);
        break;
    }
}

void driver::on_start_arrives(std::size_t index)
{
    task_row& task = tasks_[index];
    target_row& target = targets_[task.target];
    if (target.is_dead)
    {
        schedule(connect_s, event_kind::start_refused, index, task.generation);
        return;
    }
    double back_s = plan_.network_ms / 1000;
    if (target.busy >= target.description.slots.get())
    {
        schedule(back_s, event_kind::start_refused, index, task.generation);
        return;
    }
    ++task.attempts;
    take_slot(task);
    proceed(task, index);
    // The confirmation and the end are separate: an end can be known first.
    schedule(back_s, event_kind::start_confirmed, index);
}

void driver::take_slot(task_row& task)
{
    target_row& target = targets_[task.target];
    ++target.busy;
    target.urgent += task.task.kind == queue_kind::urgent ? 1 : 0;
    task.has_slot = true;
}

void driver::free_slot(task_row& task)
{
    target_row& target = targets_[task.target];
    --target.busy;
    target.urgent -= task.task.kind == queue_kind::urgent ? 1 : 0;
    task.has_slot = false;
}

void driver::on_start_confirmed(std::size_t index)
{
    task_row& task = tasks_[index];
    owner_row& owner = owners_[task.owner];
    if (owner.is_dead || task.is_over)
        return;
    owner.placement->on_started(task.task.id, get_now());
    if (task.task.kind != queue_kind::urgent || task.attempts > 1)
        return;
    auto wait = get_now() - task.task.arrival;
    out_.urgent_waits_ms.push_back(
        std::chrono::duration<float, std::milli>(wait).count());
}

void driver::on_start_refused(std::size_t index)
{
    task_row& task = tasks_[index];
    owner_row& owner = owners_[task.owner];
    if (owner.is_dead)
        return;
    ++out_.refused_starts;
    bool is_silent = targets_[task.target].is_dead;
    owner.placement->on_start_refused(task.task.id,
        is_silent ? start_refusal::unreachable : start_refusal::no_free_slot,
        get_now());
    if (is_silent && plan_.has.has_health)
        owner.health->on_silent(
            targets_[task.target].description.id, get_now());
    schedule_tick(task.owner, coalesce_s);
}

void driver::halt(task_row& task)
{
    if (!task.is_running)
        return;
    task.progress_s += now_s_ - task.since_s;
    task.is_running = false;
    ++task.generation;
}

void driver::proceed(task_row& task, std::size_t index)
{
    task.is_running = true;
    task.since_s = now_s_;
    ++task.generation;
    double left_s = task.run_s - task.kept_s - task.progress_s;
    task.outcome = task_outcome::done;
    if (task.is_bad || targets_[task.target].fails_all)
    {
        left_s = std::min(left_s, fast_failure_s);
        task.outcome = task_outcome::failed;
    }
    schedule(left_s, event_kind::finish, index, task.generation);
}

void driver::stop(task_row& task, std::size_t index)
{
    halt(task);
    ++task.generation;
    if (!task.has_slot)
    {
        // The start is still under way; the target never gets it.
        task.outcome = task_outcome::stopped;
        schedule(plan_.network_ms / 1000, event_kind::end_known, index,
            task.generation);
        return;
    }
    free_slot(task);
    (task.is_cancelled ? out_.wasted_work : out_.preempted_work) +=
        task.progress_s;
    task.progress_s = 0.0;
    task.outcome = task_outcome::stopped;
    schedule(2 * plan_.network_ms / 1000, event_kind::end_known, index,
        task.generation);
}

void driver::on_finish(std::size_t index)
{
    task_row& task = tasks_[index];
    halt(task);
    free_slot(task);
    if (task.outcome == task_outcome::failed)
    {
        out_.wasted_work += task.progress_s;
        task.progress_s = 0.0;
    }
    ++task.generation;
    schedule(
        plan_.network_ms / 1000, event_kind::end_known, index, task.generation);
}

void driver::on_end_known(std::size_t index)
{
    task_row& task = tasks_[index];
    owner_row& owner = owners_[task.owner];
    if (owner.is_dead || task.is_over)
        return;
    owner.placement->on_started(task.task.id, get_now());
    owner.placement->on_task_end(task.task.id, task.outcome, get_now());
    if (plan_.has.has_health)
        owner.health->on_task_end(task.task.id,
            targets_[task.target].description.id, task.outcome, get_now());
    schedule_tick(task.owner, coalesce_s);
    if (task.outcome != task_outcome::done)
    {
        retry_or_give_up(task, index);
        return;
    }
    task.is_over = true;
    bool is_urgent = task.task.kind == queue_kind::urgent;
    if (task.is_cancelled)
        out_.wasted_work += task.run_s;
    else if (is_urgent)
        out_.urgent_work += task.run_s;
    ++(is_urgent ? out_.urgent_done : out_.slow_done);
}

void driver::retry_or_give_up(task_row& task, std::size_t index)
{
    bool is_failure = task.outcome == task_outcome::failed;
    bool is_preempted = task.outcome == task_outcome::stopped;
    // A preemption is not the job's fault and does not count as an attempt.
    task.attempts -= is_preempted ? 1 : 0;
    bool may_run_again = task.task.is_idempotent && !task.is_cancelled &&
                         task.attempts < most_attempts;
    if (may_run_again && is_failure && task.task.kind == queue_kind::urgent)
        may_run_again =
            owners_[task.owner].health->get_retry_budget().try_acquire(
                get_now());
    if (!may_run_again)
    {
        give_up(task);
        return;
    }
    if (is_failure && plan_.has.has_health)
        task.task.avoided_targets.push_back(
            targets_[task.target].description.id);
    task.outcome = task_outcome::done;
    add_again(index, 0.0);
}

void driver::give_up(task_row& task)
{
    if (task.is_over)
        return;
    task.is_over = true;
    task.outcome = task_outcome::failed;
    if (task.is_cancelled)
        return;
    if (task.task.kind == queue_kind::slow)
        ++out_.slow_parked;
    else if (task.attempts == 0)
        ++out_.urgent_refused;
    else
        ++out_.urgent_lost;
}

void driver::add_again(std::size_t index, double after_s)
{
    task_row& task = tasks_[index];
    ++task.generation;
    if (after_s > 0.0)
        schedule(after_s, event_kind::add_again, index, task.generation);
    else
        on_add_again(index);
}

void driver::on_add_again(std::size_t index)
{
    task_row& task = tasks_[index];
    const owner_row& last = owners_[task.owner];
    auto owner = choose_owner(last.pool, last.data_centre);
    if (owner)
        add_to_owner(index, *owner);
    else if (task.task.kind == queue_kind::slow)
        add_again(index, 1.0);
    else
        give_up(task);
}

void driver::on_checkpointed(std::size_t index)
{
    task_row& task = tasks_[index];
    task.kept_s += task.progress_s;
    task.progress_s = 0.0;
    owners_[task.owner].placement->on_checkpointed(task.task.id, get_now());
    schedule_tick(task.owner, coalesce_s);
}

void driver::judge_health(owner_row& owner)
{
    // One tenth of the targets, and at least one, may be unavailable.
    auto budget = std::max<std::size_t>(1, owner.targets.size() / 10);
    auto out = owner.health->tick(get_now(), [&](const instance_id&)
        { return owner.aside < budget && ++owner.aside > 0; });
    for (const health_change& change : out.changes)
    {
        target_row& target = targets_[owner.numbers.at(change.target)];
        bool was_aside =
            target.description.health == target_health_state::quarantined;
        owner.aside -= was_aside ? 1 : 0;
        target.description.health = change.state;
        owner.placement->set_target(target.description);
    }
    if (!plan_.has.parks_bad_tasks)
        return;
    for (const bad_task& bad : out.bad_tasks)
    {
        std::size_t index = std::stoull(bad.task.get().substr(1));
        task_row& task = tasks_[index];
        auto cancelled = owner.placement->cancel_task(bad.task);
        if (cancelled == placement_system::cancel_outcome::not_run)
            give_up(task);
        task.attempts = most_attempts;
    }
}

void driver::lose_tasks_on(std::size_t target, double known_after_s)
{
    std::uint64_t urgent = 0;
    for (std::size_t i = 0; i < tasks_.size(); ++i)
    {
        task_row& task = tasks_[i];
        if (!task.has_slot || task.target != target)
            continue;
        urgent += task.task.kind == queue_kind::urgent ? 1 : 0;
        halt(task);
        ++task.generation;
        out_.wasted_work += task.progress_s;
        task.progress_s = 0.0;
        free_slot(task);
        task.outcome = task_outcome::lapsed;
        schedule(known_after_s, event_kind::end_known, i, task.generation);
    }
    out_.urgent_hit += urgent;
}

void driver::lose_owner(owner_row& owner)
{
    for (std::size_t i : std::exchange(owner.live, {}))
    {
        task_row& task = tasks_[i];
        bool is_here = &owners_[task.owner] == &owner && !task.is_over;
        if (!is_here)
            continue;
        halt(task);
        ++task.generation;
        if (task.has_slot)
            free_slot(task);
        out_.wasted_work += task.progress_s;
        task.progress_s = 0.0;
        // The caller of urgent work was connected to this data centre.
        bool is_durable = task.task.kind == queue_kind::slow &&
                          (task.task.is_idempotent || task.attempts == 0);
        if (is_durable)
        {
            task.outcome = task_outcome::done;
            add_again(i, adoption_s);
        }
        else
        {
            ++task.attempts;
            give_up(task);
        }
    }
}

void driver::on_fault_begins(std::size_t index)
{
    const fault& fault = plan_.faults[index];
    if (fault.kind == fault_kind::cancellations)
        cancel_wave();
    for (std::size_t i : fault.targets)
        targets_[i].fails_all = true;
    if (fault.kind == fault_kind::data_centre_out)
        for (owner_row& owner : owners_)
            if (owner.data_centre == fault.data_centre)
            {
                owner.is_dead = true;
                lose_owner(owner);
            }
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        target_row& target = targets_[i];
        bool is_hit = target.data_centre == fault.data_centre &&
                      (fault.kind == fault_kind::data_centre_out ||
                          (fault.kind == fault_kind::rack_out &&
                              target.rack == fault.rack));
        if (!is_hit)
            continue;
        lose_tasks_on(i, lease_s);
        target.is_dead = true;
    }
}

void driver::on_fault_ends(std::size_t index)
{
    const fault& fault = plan_.faults[index];
    for (std::size_t i : fault.targets)
        targets_[i].fails_all = false;
    if (fault.kind == fault_kind::fails_all ||
        fault.kind == fault_kind::cancellations)
        return;
    for (target_row& target : targets_)
    {
        if (target.data_centre != fault.data_centre || !target.is_dead)
            continue;
        target.is_dead = false;
        for (std::size_t owner : target.owners)
            owners_[owner].health->on_answer(target.description.id, get_now());
    }
    for (owner_row& owner : owners_)
        if (owner.is_dead && owner.data_centre == fault.data_centre)
        {
            owner.is_dead = false;
            reset_owner(owner);
        }
}

void driver::cancel_wave()
{
    for (std::size_t i = 0; i < tasks_.size(); ++i)
    {
        task_row& task = tasks_[i];
        bool is_hit = !task.is_over && task.team == 0 && !task.is_cancelled &&
                      random_.draw_chance(cancel_part);
        if (!is_hit)
            continue;
        task.is_cancelled = true;
        if (!plan_.has.stops_cancelled)
            continue;
        auto& placement = *owners_[task.owner].placement;
        if (placement.cancel_task(task.task.id) ==
            placement_system::cancel_outcome::not_run)
            give_up(task);
        else
            schedule_tick(task.owner, coalesce_s);
    }
}

} // namespace cowslippass::bench
