#pragma once

#include "systems/placement_system.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace cowslippass::placement_test
{

using namespace std::chrono_literals;

inline const monotonic_time epoch{1h};

inline placement_target make_target(
    const std::string& id, std::uint32_t slots = 8)
{
    placement_target target;
    target.id = instance_id(id);
    target.rack = rack_id("r" + id);
    target.slots = slot_count(slots);
    return target;
}

inline placement_task make_task(const std::string& id, const std::string& team,
    queue_kind kind = queue_kind::urgent, monotonic_time arrival = epoch)
{
    placement_task task;
    task.id = task_id(id);
    task.team = team_id(team);
    task.kind = kind;
    task.arrival = arrival;
    return task;
}

/// Grants every task.
inline bool always(const team_id&)
{
    return true;
}

/// Runs a tick and confirms every start.
inline std::vector<placement_decision> tick(
    placement_system& system, monotonic_time now)
{
    auto out = system.tick(now, always);
    for (const auto& item : out.items)
        if (item.action == placement_action::start)
            system.on_started(item.task, now);
    return out.items;
}

inline std::vector<placement_rule> get_rules(
    const std::vector<placement_decision>& items)
{
    std::vector<placement_rule> rules;
    std::transform(items.begin(), items.end(), std::back_inserter(rules),
        [](const auto& item) { return item.rule; });
    return rules;
}

inline placement_policy make_policy(double headroom)
{
    placement_policy policy;
    policy.headroom = headroom;
    return policy;
}

} // namespace cowslippass::placement_test
