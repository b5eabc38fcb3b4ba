#include "systems/grant_ledger.hpp"

#include <algorithm>

namespace cowslippass
{

grant_ledger::grant_ledger(session_id own, grant_settings settings)
    : own_session_(own), settings_(settings),
      writes_(settings.writes_per_second, settings.write_burst),
      reads_(settings.reads_per_second, settings.read_burst)
{
}

bool grant_ledger::try_acquire(const team_id& team)
{
    auto& entry = get_entry(team);
    if (entry.in_use >= entry.get_usable())
        return false;
    ++entry.in_use;
    entry.peak_demand = std::max(entry.peak_demand, entry.in_use);
    return true;
}

void grant_ledger::give_back(const team_id& team)
{
    auto& entry = get_entry(team);
    if (entry.in_use == 0)
        throw systems_error("grant_not_in_use",
            "a grant of team " + team.get() + " was given back twice");
    --entry.in_use;
}

void grant_ledger::on_limit(
    const team_id& team, task_count limit, config_version version)
{
    auto& entry = get_entry(team);
    known_version_ = std::max(known_version_, version);
    if (entry.limit && version <= entry.limit_version)
        return;
    entry.limit = limit;
    entry.limit_version = version;
    // A raise counts as well: after a snapshot, a lowering in between may
    // have gone unseen.
    entry.needs_read = true;
}

void grant_ledger::on_config_head(config_version version, row_version head)
{
    known_version_ = std::max(known_version_, version);
    if (config_head_version_ && version < *config_head_version_)
        return;
    is_config_head_stale_ = false;
    config_head_version_ = version;
    config_head_ = head;
}

void grant_ledger::on_row(
    const team_id& team, const row& value, config_version read_at_version)
{
    auto& entry = get_entry(team);
    entry.is_reading = false;
    entry.has_new_row = true;
    // A newer head may have come in since; then nothing more would end the
    // wait for one.
    if (entry.conflicted_version == value.version &&
        entry.conflicted_config_head == config_head_)
        is_config_head_stale_ = true;
    entry.conflicted_version.reset();
    bool is_older = entry.is_row_known && value.version < entry.version;
    bool is_same = entry.is_row_known && value.version == entry.version;
    if (is_same)
        entry.read_at = std::max(entry.read_at, read_at_version);
    else if (!is_older)
        install_row(entry, grant_row::decode(value.value), value.version,
            read_at_version);
    if (is_older || !entry.is_current())
        entry.needs_read = true;
}

void grant_ledger::on_read_failed(const team_id& team)
{
    auto& entry = get_entry(team);
    entry.is_reading = false;
    entry.needs_read = true;
}

void grant_ledger::set_waiting(const team_id& team, task_count count)
{
    get_entry(team).waiting = count.get();
}

void grant_ledger::on_peer_waiting(
    session_id peer, const team_id& team, task_count count, monotonic_time now)
{
    auto& entry = get_entry(team);
    if (count.get() == 0)
        entry.peers.erase(peer);
    else
        entry.peers[peer] = team_grants::peer_demand{count.get(), now};
}

std::vector<team_id> grant_ledger::plan_reads(monotonic_time now)
{
    std::vector<team_id> result;
    for (auto& team : get_teams_after(last_read_team_))
    {
        auto& entry = get_entry(team);
        if (!is_read_due(entry, now))
            continue;
        if (!reads_.try_acquire(now))
            break;
        entry.needs_read = false;
        entry.is_reading = true;
        last_read_team_ = team;
        result.push_back(team);
    }
    return result;
}

void grant_ledger::request_read(const team_id& team)
{
    get_entry(team).needs_read = true;
}

std::vector<grant_transfer> grant_ledger::plan_transfers(monotonic_time now)
{
    std::vector<grant_transfer> result;
    for (auto& team : get_teams_after(last_written_team_))
    {
        auto& entry = get_entry(team);
        entry.discard_demand_before(now - settings_.peer_waiting_lifetime);
        entry.update_cap();
        if (std::exchange(entry.has_new_row, false))
            entry.row_seen_at = now;
        if (!is_transfer_due(entry, now))
            continue;
        auto target = choose_held_count(entry, now);
        // An open transfer of unknown outcome is settled by any write that
        // moves the row's version past its condition.
        if (target == entry.get_own_grants() && entry.open_transfers.empty())
            continue;
        if (now - *entry.row_seen_at > settings_.max_row_age)
        {
            entry.needs_read = true;
            continue;
        }
        if (!writes_.try_acquire(now))
            break;
        entry.last_transfer = now;
        entry.idle_since.reset();
        last_written_team_ = team;
        result.push_back(begin_own_transfer(team, entry, target));
    }
    return result;
}

std::optional<grant_transfer> grant_ledger::plan_adoption(session_id dead,
    const team_id& team, task_count count, monotonic_time ended_observed,
    monotonic_time now)
{
    auto& entry = get_entry(team);
    bool can_write = entry.is_row_known && entry.open_transfers.empty();
    if (!can_write || dead == own_session_ || count.get() == 0 ||
        entry.row_value.get(dead) < count.get() ||
        now < get_adoption_time(ended_observed))
        return std::nullopt;
    auto written = entry.row_value;
    written.set(dead, written.get(dead) - count.get());
    written.set(own_session_, written.get(own_session_) + count.get());
    return begin_transfer(team, entry, std::move(written), count.get(), false);
}

monotonic_time grant_ledger::get_adoption_time(monotonic_time ended_observed)
{
    return ended_observed + freshness_limit + start_deadline;
}

monotonic_time grant_ledger::get_ended_session_release_time(
    monotonic_time ended_observed)
{
    return ended_observed + freshness_limit + start_deadline + 2 * task_lease;
}

monotonic_time grant_ledger::get_renewal_deadline(monotonic_time fresh_as_of)
{
    return get_ended_session_release_time(fresh_as_of) - task_lease;
}

std::optional<grant_transfer> grant_ledger::plan_ended_session_release(
    session_id dead, const team_id& team, monotonic_time ended_observed,
    monotonic_time now)
{
    auto& entry = get_entry(team);
    bool can_write = entry.is_row_known && entry.open_transfers.empty();
    if (!can_write || dead == own_session_ || entry.row_value.get(dead) == 0 ||
        now < get_ended_session_release_time(ended_observed))
        return std::nullopt;
    auto written = entry.row_value;
    written.set(dead, 0);
    return begin_transfer(team, entry, std::move(written), 0, false);
}

void grant_ledger::on_result(std::uint64_t id, transaction_outcome outcome,
    std::optional<row_version> written)
{
    auto it = transfers_.find(id);
    if (it == transfers_.end())
        return;
    auto& entry = get_entry(it->second);
    transfers_.erase(it);
    auto open =
        std::find_if(entry.open_transfers.begin(), entry.open_transfers.end(),
            [id](const open_transfer& one) { return one.id == id; });
    if (open == entry.open_transfers.end())
        return;
    bool is_known_write = outcome == transaction_outcome::committed && written;
    if (is_known_write)
    {
        install_row(entry, open->written, *written, open->planned_at);
        entry.has_new_row = true;
        entry.consecutive_conflicts = 0;
        entry.backoff = milliseconds(0);
        return;
    }
    bool may_be_written = outcome == transaction_outcome::committed ||
                          outcome == transaction_outcome::unknown;
    if (may_be_written)
    {
        open->is_outcome_unknown = true;
        entry.needs_read = true;
        return;
    }
    if (outcome == transaction_outcome::conflict)
        record_conflict(entry, *open);
    if (open->adopted > 0)
        adoptions_.push_back({id, false});
    entry.open_transfers.erase(open);
}

void grant_ledger::record_conflict(
    team_grants& entry, const open_transfer& open)
{
    constexpr unsigned most_doublings = 4;
    entry.needs_read = true;
    if (open.is_growth)
    {
        entry.conflicted_version = open.condition;
        entry.conflicted_config_head = open.config_head;
    }
    auto bound = settings_.backoff.count()
                 << std::min(entry.consecutive_conflicts, most_doublings);
    auto random = hash_64(
        std::to_string(own_session_.get()) + '/' + std::to_string(open.id));
    entry.backoff = milliseconds(random % static_cast<std::uint64_t>(bound));
    ++entry.consecutive_conflicts;
}

std::vector<adoption_outcome> grant_ledger::take_adoption_outcomes()
{
    return std::exchange(adoptions_, {});
}

task_count grant_ledger::get_usable(const team_id& team) const
{
    const auto* entry = find(team);
    return task_count(entry ? entry->get_usable() : 0);
}

task_count grant_ledger::get_in_use(const team_id& team) const
{
    const auto* entry = find(team);
    return task_count(entry ? entry->in_use : 0);
}

task_count grant_ledger::get_held(const team_id& team) const
{
    const auto* entry = find(team);
    return task_count(entry ? entry->get_held() : 0);
}

team_grants& grant_ledger::get_entry(const team_id& team)
{
    auto& entry = teams_[team];
    entry.own_session = own_session_;
    return entry;
}

const team_grants* grant_ledger::find(const team_id& team) const
{
    auto it = teams_.find(team);
    return it == teams_.end() ? nullptr : &it->second;
}

// Teams take turns, so that the first ones do not use up the rates.
std::vector<team_id> grant_ledger::get_teams_after(const team_id& last) const
{
    std::vector<team_id> result;
    result.reserve(teams_.size());
    auto first = teams_.upper_bound(last);
    for (auto it = first; it != teams_.end(); ++it)
        result.push_back(it->first);
    for (auto it = teams_.begin(); it != first; ++it)
        result.push_back(it->first);
    return result;
}

bool grant_ledger::can_grow() const
{
    return config_head_version_ && *config_head_version_ >= known_version_ &&
           !is_config_head_stale_;
}

bool grant_ledger::is_read_due(
    const team_grants& entry, monotonic_time now) const
{
    if (entry.is_reading || !entry.limit)
        return false;
    // After a conflict the read waits as long as the write that needs it.
    if (entry.needs_read)
        return !entry.is_current() || !is_paced(entry, now);
    return entry.is_starved() &&
           (!entry.row_seen_at ||
               now - *entry.row_seen_at >= settings_.reread_interval);
}

bool grant_ledger::is_paced(const team_grants& entry, monotonic_time now) const
{
    return entry.last_transfer &&
           now - *entry.last_transfer <
               settings_.min_transfer_interval + entry.backoff;
}

bool grant_ledger::is_transfer_due(
    const team_grants& entry, monotonic_time now) const
{
    return entry.is_current() && !entry.needs_read && !entry.is_reading &&
           !entry.is_in_flight() && !is_paced(entry, now);
}

std::uint32_t grant_ledger::choose_held_count(
    team_grants& entry, monotonic_time now) const
{
    auto held = entry.get_held();
    auto limit = entry.limit->get();
    auto sum = entry.get_peer_grants() + held;
    if (sum > limit)
    {
        auto share = static_cast<std::uint64_t>(held) * limit / sum;
        auto target = std::max(entry.in_use, static_cast<std::uint32_t>(share));
        return std::min(held, target);
    }
    if (entry.get_demand() <= held)
        return choose_count_after_return(entry, now);
    entry.idle_since.reset();
    // Growth from an unsettled number could not be told from the open one.
    if (!entry.open_transfers.empty() || !can_grow())
        return held;
    return held + choose_growth_step(settings_.growth,
                      entry.get_demand() - held, entry.get_free(),
                      entry.get_peer_waiting());
}

std::uint32_t grant_ledger::choose_count_after_return(
    team_grants& entry, monotonic_time now) const
{
    auto held = entry.get_held();
    auto need = entry.get_demand();
    auto surplus = held - need;
    if (surplus == 0)
    {
        entry.idle_since.reset();
        return held;
    }
    auto peer_waiting = entry.get_peer_waiting();
    auto free = entry.get_free();
    if (peer_waiting > free)
        return held - std::min(surplus, peer_waiting - free);
    if (!entry.idle_since)
    {
        entry.idle_since = now;
        entry.peak_demand = need;
    }
    entry.peak_demand = std::max(entry.peak_demand, need);
    if (now - *entry.idle_since < settings_.idle_timeout)
        return held;
    auto target = std::min(held, entry.peak_demand);
    if (target == held)
        entry.idle_since.reset();
    return target;
}

grant_transfer grant_ledger::begin_own_transfer(
    const team_id& team, team_grants& entry, std::uint32_t target)
{
    auto written = entry.row_value;
    written.set(own_session_, target);
    bool is_growth = target > entry.get_held();
    return begin_transfer(team, entry, std::move(written), 0, is_growth);
}

grant_transfer grant_ledger::begin_transfer(const team_id& team,
    team_grants& entry, grant_row written, std::uint32_t adopted,
    bool is_growth)
{
    auto key = grant_row::get_key(team);
    grant_transfer result{++last_id_, team, {}};
    result.request.conditions.push_back({key, entry.version});
    if (is_growth)
        result.request.conditions.push_back({"config/head", config_head_});
    result.request.writes.push_back({key, written.encode()});
    open_transfer open;
    open.id = result.id;
    open.condition = entry.version;
    open.config_head = config_head_;
    open.own_count = written.get(own_session_);
    open.planned_at = known_version_;
    open.written = std::move(written);
    open.adopted = adopted;
    open.is_growth = is_growth;
    entry.open_transfers.push_back(std::move(open));
    transfers_[result.id] = team;
    return result;
}

void grant_ledger::install_row(team_grants& entry, grant_row value,
    row_version version, config_version read_at)
{
    entry.is_row_known = true;
    entry.row_value = std::move(value);
    entry.version = version;
    entry.read_at = std::max(entry.read_at, read_at);
    for (const auto& outcome : entry.resolve_transfers())
        adoptions_.push_back(outcome);
}

} // namespace cowslippass
