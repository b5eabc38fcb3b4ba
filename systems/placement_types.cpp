#include "systems/placement_types.hpp"

#include <sstream>

namespace cowslippass
{

namespace
{

template <class Enum, std::size_t Count>
const char* get_name(const std::array<const char*, Count>& names, Enum value)
{
    auto index = static_cast<std::size_t>(value);
    return index < Count ? names[index] : "invalid";
}

} // namespace

const char* to_string(placement_action action)
{
    static constexpr std::array<const char*, 6> names{
        "start", "throttle", "resume", "checkpoint", "stop", "refuse"};
    return get_name(names, action);
}

const char* to_string(placement_rule rule)
{
    static constexpr std::array<const char*, 15> names{"urgent_first",
        "long_wait", "spare_capacity", "share_debt", "reservation",
        "first_come", "urgent_waits", "checkpoint_done", "checkpoint_overdue",
        "urgent_served", "cancelled", "deadline_passed", "fits_no_target",
        "team_queue_full", "duplicate_task"};
    return get_name(names, rule);
}

const char* to_string(start_refusal reason)
{
    static constexpr std::array<const char*, 4> names{
        "deadline_passed", "no_free_slot", "leaving", "unreachable"};
    return get_name(names, reason);
}

const char* to_string(task_outcome outcome)
{
    static constexpr std::array<const char*, 5> names{
        "done", "failed", "stopped", "lapsed", "unknown"};
    return get_name(names, outcome);
}

const char* to_string(target_health_state state)
{
    static constexpr std::array<const char*, 3> names{
        "sound", "probation", "set_aside"};
    return get_name(names, state);
}

std::string placement_decision::describe() const
{
    std::ostringstream out;
    out << "action=" << to_string(action) << " rule=" << to_string(rule)
        << " task=" << task.get() << " team=" << team.get()
        << " kind=" << (kind == queue_kind::urgent ? "urgent" : "slow");
    if (!target.get().empty())
        out << " target=" << target.get() << " epoch=" << target_epoch
            << " rack=" << rack.get();
    out << " candidates=" << candidates << " free_slots=" << free_slots
        << " waiting=" << waiting << " waited_ms=" << waited.count();
    return out.str();
}

} // namespace cowslippass
