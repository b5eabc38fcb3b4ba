#include "systems/pools/drain_table.hpp"

#include <algorithm>
#include <utility>

namespace cowslippass
{

namespace
{

/// A stopped task has started up at another target within about this time: a
/// drain that has not advanced for longer waits for something else.
constexpr milliseconds blocked_delay{2'000};
/// A drain that was given up does not begin again for this time, so that the
/// tasks that waited can start and run.
constexpr milliseconds retry_delay{4'000};
/// Time until an instance that cannot be emptied now is considered again.
constexpr milliseconds check_interval{500};
/// Time in which a task that was assigned starts up.
constexpr milliseconds start_up_time{3'000};

/// @return null if the coordinator does not know the drain's target.
const target_entry* find_target(
    const coordinator& decisions, const target_id& id)
{
    auto it = decisions.get_targets().find(id);
    return it == decisions.get_targets().end() ? nullptr : &it->second;
}

/// @return whether another task of the step starts up, after which this one may
///   be interrupted.
bool has_starting_sibling(
    const coordinator& decisions, const task_name& task, boot_time now)
{
    const job* owner = decisions.find_job(task.job);
    if (!owner)
        return false;
    task_name sibling = task;
    std::uint32_t count = owner->get_step(task.key).task_count;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        sibling.key.index = i;
        auto it = decisions.get_runs().find(sibling);
        if (it != decisions.get_runs().end() && it->second.percent < 100 &&
            now - it->second.assigned_at < start_up_time)
            return true;
    }
    return false;
}

} // namespace

const char* to_string(drain_event event)
{
    switch (event)
    {
    case drain_event::begun:
        return "begun";
    case drain_event::finished:
        return "finished";
    case drain_event::postponed:
        return "postponed";
    case drain_event::given_up:
        return "given_up";
    case drain_event::no_longer_due:
        return "no_longer_due";
    }
    return "unknown";
}

bool drain_table::may_retry(const instance_id& id, boot_time now) const
{
    auto it = retry_at_.find(id);
    return it == retry_at_.end() || it->second <= now;
}

void drain_table::postpone(const instance_id& id, const instance_drain& drain,
    const coordinator& decisions)
{
    boot_time retry_at = drain.begun_at + check_interval;
    if (retry_at_.insert_or_assign(id, retry_at).second)
        record_change(id, drain, drain_event::postponed, decisions);
}

void drain_table::begin(const instance_id& id, const instance_drain& drain,
    const coordinator& decisions)
{
    drains_[id] = drain;
    record_change(id, drain, drain_event::begun, decisions);
}

void drain_table::update_progress(
    const instance_id& id, const coordinator& decisions, boot_time now)
{
    instance_drain& drain = drains_.at(id);
    const target_entry* target = find_target(decisions, drain.target);
    if (!target)
        return;
    auto advances = [&](const task_name& it)
    {
        const active_run& run = decisions.get_runs().at(it);
        return run.must_stop || !run.is_long_running ||
               has_starting_sibling(decisions, it, now);
    };
    if (target->runs.empty() || std::ranges::any_of(target->runs, advances))
        drain.advanced_at = now;
}

bool drain_table::is_blocked(const instance_id& id, boot_time now) const
{
    auto it = drains_.find(id);
    return it != drains_.end() && now - it->second.advanced_at >= blocked_delay;
}

void drain_table::give_up(
    const instance_id& id, const coordinator& decisions, boot_time now)
{
    end(id, drain_event::given_up, decisions);
    retry_at_[id] = now + retry_delay;
}

void drain_table::end(
    const instance_id& id, drain_event event, const coordinator& decisions)
{
    retry_at_.erase(id);
    auto it = drains_.find(id);
    if (it == drains_.end())
        return;
    record_change(id, it->second, event, decisions);
    drains_.erase(it);
}

std::vector<drain_change> drain_table::take_changes()
{
    return std::exchange(changes_, {});
}

void drain_table::record_change(const instance_id& id,
    const instance_drain& drain, drain_event event,
    const coordinator& decisions)
{
    const target_entry* target = find_target(decisions, drain.target);
    changes_.push_back({id, drain, event, target ? target->runs.size() : 0});
}

} // namespace cowslippass
