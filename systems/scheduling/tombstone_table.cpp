#include "systems/scheduling/tombstone_table.hpp"

#include "systems/workload/job.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds min_retry_delay{1'000};
/// Rows of jobs do not begin like this.
constexpr std::string_view row_prefix = R"({"tombstone":)";

} // namespace

tombstone_table::tombstone_table(tombstone_options options) : options_(options)
{
}

bool tombstone_table::add(const job_id& id, const team_id& team, boot_time now)
{
    if (auto it = entries_.find(id); it != entries_.end())
    {
        it->second.expires_at = now + options_.retention;
        return true;
    }
    auto used = team_counts_.find(team);
    if (entries_.size() >= options_.max_count ||
        (used != team_counts_.end() &&
            used->second >= options_.max_count_per_team))
        return false;
    restore(id, team, now);
    return true;
}

void tombstone_table::restore(
    const job_id& id, const team_id& team, boot_time now)
{
    boot_time expires_at = now + options_.retention;
    if (!entries_.try_emplace(id, entry{team, expires_at}).second)
        return;
    ++team_counts_[team];
    expiries_.emplace(expires_at, id);
}

milliseconds tombstone_table::get_retry_delay(boot_time now) const
{
    if (expiries_.empty())
        return min_retry_delay;
    return std::max(min_retry_delay,
        std::chrono::ceil<milliseconds>(expiries_.begin()->first - now));
}

std::vector<job_id> tombstone_table::take_expired(boot_time now)
{
    std::vector<job_id> out;
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        auto due = expiries_.extract(expiries_.begin());
        auto it = entries_.find(due.mapped());
        if (it->second.expires_at > now)
        {
            due.key() = it->second.expires_at;
            expiries_.insert(std::move(due));
            continue;
        }
        auto used = team_counts_.find(it->second.team);
        if (--used->second == 0)
            team_counts_.erase(used);
        out.push_back(it->first);
        entries_.erase(it);
    }
    return out;
}

std::string encode_tombstone(const team_id& team)
{
    // A reader that does not know tombstones takes the row for the progress of
    // a cancelled job.
    nlohmann::ordered_json out;
    out["tombstone"] = team.get();
    out["state"] = to_string(job_phase::cancelled);
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<team_id> decode_tombstone(std::string_view text)
{
    if (!text.starts_with(row_prefix))
        return std::nullopt;
    json in = json::parse(text, nullptr, false);
    if (!in.is_object() || !in["tombstone"].is_string())
        return std::nullopt;
    return team_id(in["tombstone"].get<std::string>());
}

} // namespace cowslippass
