#include "systems/waiting_budget.hpp"

#include <algorithm>

namespace cowslippass
{

std::optional<std::vector<task_id>> waiting_budget::add(
    const task_id& id, const team_id& team, byte_count payload, bool is_durable)
{
    std::uint64_t bytes = payload.get() + task_overhead_bytes;
    std::vector<task_id> evicted;
    if (total_bytes_ + bytes > max_bytes_ && total_bytes_ > 0)
    {
        std::uint64_t teams = teams_.size() + (teams_.contains(team) ? 0 : 1);
        if (get_bytes(team).get() + bytes > max_bytes_ / teams)
            return std::nullopt;
        // This team stays within its part, so another team exceeds its part.
        while (total_bytes_ + bytes > max_bytes_)
        {
            evicted.push_back(
                find_largest_team()->second.tasks.rbegin()->second);
            remove(evicted.back());
        }
    }
    readmit(id, team, payload, is_durable);
    return evicted;
}

void waiting_budget::readmit(
    const task_id& id, const team_id& team, byte_count payload, bool is_durable)
{
    remove(id);
    task_row& row = tasks_[id];
    row.team = team;
    row.bytes = payload.get() + task_overhead_bytes;
    row.key = {is_durable, ++last_sequence_};
    team_row& owner = teams_[team];
    owner.bytes += row.bytes;
    owner.tasks.emplace(row.key, id);
    total_bytes_ += row.bytes;
}

void waiting_budget::remove(const task_id& id)
{
    auto it = tasks_.find(id);
    if (it == tasks_.end())
        return;
    auto owner = teams_.find(it->second.team);
    owner->second.bytes -= it->second.bytes;
    owner->second.tasks.erase(it->second.key);
    total_bytes_ -= it->second.bytes;
    if (owner->second.tasks.empty())
        teams_.erase(owner);
    tasks_.erase(it);
}

byte_count waiting_budget::get_bytes(const team_id& team) const
{
    auto it = teams_.find(team);
    return byte_count(it == teams_.end() ? 0 : it->second.bytes);
}

std::map<team_id, waiting_budget::team_row>::iterator
waiting_budget::find_largest_team()
{
    return std::max_element(teams_.begin(), teams_.end(),
        [](const auto& a, const auto& b)
        { return a.second.bytes < b.second.bytes; });
}

} // namespace cowslippass
