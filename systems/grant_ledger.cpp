#include "systems/grant_ledger.hpp"

#include <algorithm>

namespace cowslippass
{

grant_ledger::grant_ledger(session_id own, grant_settings settings)
    : own_(own), settings_(settings),
      writes_(settings.writes_per_second, settings.write_burst),
      reads_(settings.reads_per_second, settings.read_burst)
{
}

bool grant_ledger::try_take(const team_id& team)
{
    auto& entry = teams_[team];
    if (entry.in_use >= get_usable(entry))
        return false;
    ++entry.in_use;
    entry.peak = std::max(entry.peak, entry.in_use);
    return true;
}

void grant_ledger::give_back(const team_id& team)
{
    auto& entry = teams_[team];
    if (entry.in_use == 0)
        throw systems_error("grant_not_in_use",
            "a grant of team " + team.get() + " was given back twice");
    --entry.in_use;
}

void grant_ledger::on_limit(
    const team_id& team, task_count limit, config_version version)
{
    auto& entry = teams_[team];
    known_version_ = std::max(known_version_, version);
    if (entry.limit && version <= entry.limit_version)
        return;
    entry.limit = limit;
    entry.limit_version = version;
    // A raise counts as well: after a snapshot, a lowering in between may
    // have gone unseen.
    entry.needs_read = true;
}

void grant_ledger::on_head(config_version version, row_version head)
{
    known_version_ = std::max(known_version_, version);
    if (head_config_ && version < *head_config_)
        return;
    is_head_stale_ = false;
    head_config_ = version;
    head_ = head;
}

void grant_ledger::on_row(
    const team_id& team, const row& value, config_version read_at_version)
{
    auto& entry = teams_[team];
    entry.is_reading = false;
    if (entry.conflicted_at == value.version)
        is_head_stale_ = true;
    entry.conflicted_at.reset();
    bool is_older = entry.is_row_known && value.version < entry.version;
    bool is_same = entry.is_row_known && value.version == entry.version;
    if (is_same)
        entry.read_at = std::max(entry.read_at, read_at_version);
    else if (!is_older)
        install(entry, grant_row::decode(value.value), value.version,
            read_at_version);
    if (is_older || !is_current(entry))
        entry.needs_read = true;
}

void grant_ledger::on_read_failed(const team_id& team)
{
    auto& entry = teams_[team];
    entry.is_reading = false;
    entry.needs_read = true;
}

void grant_ledger::set_waiting(const team_id& team, task_count count)
{
    teams_[team].waiting = count.get();
}

void grant_ledger::on_peer_waiting(
    session_id peer, const team_id& team, task_count count, monotonic_time now)
{
    auto& entry = teams_[team];
    if (count.get() == 0)
        entry.peers.erase(peer);
    else
        entry.peers[peer] = peer_demand{count.get(), now};
}

std::vector<team_id> grant_ledger::plan_reads(monotonic_time now)
{
    std::vector<team_id> result;
    for (auto& team : get_teams_after(last_read_team_))
    {
        auto& entry = teams_[team];
        if (!is_read_due(entry, now))
            continue;
        if (!reads_.try_take(now))
            break;
        entry.needs_read = false;
        entry.is_reading = true;
        entry.last_read = now;
        last_read_team_ = team;
        result.push_back(team);
    }
    return result;
}

void grant_ledger::request_read(const team_id& team)
{
    teams_[team].needs_read = true;
}

std::vector<grant_transfer> grant_ledger::plan_transfers(monotonic_time now)
{
    std::vector<grant_transfer> result;
    for (auto& team : get_teams_after(last_written_team_))
    {
        auto& entry = teams_[team];
        drop_old_demand(entry, now);
        update_cap(entry);
        if (!is_transfer_due(entry, now))
            continue;
        auto target = choose_target(entry, now);
        // An open transfer of unknown outcome is settled by any write that
        // moves the row's version past its condition.
        if (target == get_own(entry) && entry.open.empty())
            continue;
        if (!writes_.try_take(now))
            break;
        entry.last_transfer = now;
        last_written_team_ = team;
        result.push_back(open_own(team, entry, target));
    }
    return result;
}

std::optional<grant_transfer> grant_ledger::plan_adoption(session_id dead,
    const team_id& team, task_count count, monotonic_time ended_observed,
    monotonic_time now)
{
    auto& entry = teams_[team];
    bool can_write = entry.is_row_known && entry.open.empty();
    if (!can_write || dead == own_ || count.get() == 0 ||
        entry.row_value.get(dead) < count.get() ||
        now < get_adoption_time(ended_observed))
        return std::nullopt;
    auto written = entry.row_value;
    written.set(dead, written.get(dead) - count.get());
    written.set(own_, written.get(own_) + count.get());
    return open_write(team, entry, std::move(written), count.get(), false);
}

monotonic_time grant_ledger::get_adoption_time(monotonic_time ended_observed)
{
    return ended_observed + freshness_limit + start_deadline;
}

monotonic_time grant_ledger::get_dead_release_time(
    monotonic_time ended_observed)
{
    return ended_observed + freshness_limit + start_deadline + 2 * task_lease;
}

monotonic_time grant_ledger::get_renewal_deadline(monotonic_time fresh_as_of)
{
    return get_dead_release_time(fresh_as_of) - task_lease;
}

std::optional<grant_transfer> grant_ledger::plan_dead_release(session_id dead,
    const team_id& team, monotonic_time ended_observed, monotonic_time now)
{
    auto& entry = teams_[team];
    bool can_write = entry.is_row_known && entry.open.empty();
    if (!can_write || dead == own_ || entry.row_value.get(dead) == 0 ||
        now < get_dead_release_time(ended_observed))
        return std::nullopt;
    auto written = entry.row_value;
    written.set(dead, 0);
    return open_write(team, entry, std::move(written), 0, false);
}

void grant_ledger::on_result(std::uint64_t id, transaction_outcome outcome,
    std::optional<row_version> written)
{
    auto it = transfers_.find(id);
    if (it == transfers_.end())
        return;
    auto& entry = teams_[it->second];
    transfers_.erase(it);
    auto open = std::find_if(entry.open.begin(), entry.open.end(),
        [id](const open_transfer& one) { return one.id == id; });
    if (open == entry.open.end())
        return;
    bool is_known_write = outcome == transaction_outcome::committed && written;
    if (is_known_write)
    {
        install(entry, open->written, *written, open->planned_at);
        return;
    }
    bool may_be_written = outcome == transaction_outcome::committed ||
                          outcome == transaction_outcome::unknown;
    if (may_be_written)
    {
        open->is_answered = true;
        entry.needs_read = true;
        return;
    }
    if (outcome == transaction_outcome::conflict)
    {
        entry.needs_read = true;
        if (open->is_growth)
            entry.conflicted_at = open->condition;
    }
    close(entry, id);
}

std::vector<adoption_outcome> grant_ledger::take_adoption_outcomes()
{
    return std::exchange(adoptions_, {});
}

task_count grant_ledger::get_usable(const team_id& team) const
{
    const auto* entry = find(team);
    return task_count(entry ? get_usable(*entry) : 0);
}

task_count grant_ledger::get_in_use(const team_id& team) const
{
    const auto* entry = find(team);
    return task_count(entry ? entry->in_use : 0);
}

task_count grant_ledger::get_held(const team_id& team) const
{
    const auto* entry = find(team);
    return task_count(entry ? get_held(*entry) : 0);
}

const grant_ledger::team_entry* grant_ledger::find(const team_id& team) const
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

std::uint32_t grant_ledger::get_own(const team_entry& entry) const
{
    return entry.row_value.get(own_);
}

std::uint32_t grant_ledger::get_others(const team_entry& entry) const
{
    return entry.row_value.get_sum() - get_own(entry);
}

// A transfer without a known outcome counts as not grown and as shrunk.
std::uint32_t grant_ledger::get_held(const team_entry& entry) const
{
    auto held = get_own(entry);
    for (const auto& open : entry.open)
        held = std::min(held, open.target);
    return held;
}

std::uint32_t grant_ledger::get_free(const team_entry& entry) const
{
    auto limit = entry.limit ? entry.limit->get() : 0;
    auto granted = get_others(entry) + get_held(entry);
    return limit > granted ? limit - granted : 0;
}

// While the sum is above a lowered limit, the others may run all that they
// hold. A share in proportion to the limit would let this session start tasks
// while those of the others alone reach the limit.
std::uint32_t grant_ledger::get_usable(const team_entry& entry) const
{
    if (!is_current(entry))
        return 0;
    auto limit = entry.limit->get();
    auto others = get_others(entry);
    auto usable = std::min(get_held(entry), limit - std::min(limit, others));
    return entry.cap ? std::min(usable, *entry.cap) : usable;
}

bool grant_ledger::is_current(const team_entry& entry)
{
    return entry.is_row_known && entry.limit &&
           entry.read_at >= entry.limit_version;
}

bool grant_ledger::is_in_flight(const team_entry& entry)
{
    return std::any_of(entry.open.begin(), entry.open.end(),
        [](const open_transfer& open) { return !open.is_answered; });
}

std::uint32_t grant_ledger::get_need(const team_entry& entry)
{
    auto need = entry.in_use + entry.waiting;
    if (!entry.cap)
        return need;
    return std::max(entry.in_use, std::min(need, *entry.cap));
}

std::uint32_t grant_ledger::get_peer_waiting(const team_entry& entry)
{
    std::uint32_t sum = 0;
    for (const auto& [peer, demand] : entry.peers)
        sum += demand.waiting;
    return sum;
}

void grant_ledger::drop_old_demand(team_entry& entry, monotonic_time now) const
{
    std::erase_if(entry.peers, [&](const auto& it)
        { return now - it.second.heard > settings_.peer_waiting_lifetime; });
}

void grant_ledger::update_cap(team_entry& entry) const
{
    entry.cap.reset();
    if (!is_current(entry) || entry.waiting == 0 || entry.peers.empty())
        return;
    std::vector<peer_claim> peers;
    peers.reserve(entry.peers.size());
    for (const auto& [peer, demand] : entry.peers)
        peers.push_back({entry.row_value.get(peer), demand.waiting});
    entry.cap = choose_grant_cap(entry.limit->get(), get_others(entry), peers);
}

bool grant_ledger::can_grow() const
{
    return head_config_ && *head_config_ >= known_version_ && !is_head_stale_;
}

bool grant_ledger::is_read_due(
    const team_entry& entry, monotonic_time now) const
{
    if (entry.is_reading || !entry.limit)
        return false;
    if (entry.needs_read)
        return true;
    bool is_starved = entry.in_use + entry.waiting > get_held(entry) &&
                      get_free(entry) == 0 && entry.open.empty();
    return is_starved && (!entry.last_read || now - *entry.last_read >=
                                                  settings_.reread_interval);
}

bool grant_ledger::is_transfer_due(
    const team_entry& entry, monotonic_time now) const
{
    bool is_paced = entry.last_transfer &&
                    now - *entry.last_transfer < settings_.transfer_interval;
    return is_current(entry) && !entry.needs_read && !entry.is_reading &&
           !is_in_flight(entry) && !is_paced;
}

std::uint32_t grant_ledger::choose_target(
    team_entry& entry, monotonic_time now) const
{
    auto held = get_held(entry);
    auto limit = entry.limit->get();
    auto sum = get_others(entry) + held;
    if (sum > limit)
    {
        auto share = static_cast<std::uint64_t>(held) * limit / sum;
        auto target = std::max(entry.in_use, static_cast<std::uint32_t>(share));
        return std::min(held, target);
    }
    if (get_need(entry) <= held)
        return choose_return(entry, now);
    entry.idle_since.reset();
    // Growth from an unsettled number could not be told from the open one.
    if (!entry.open.empty() || !can_grow())
        return held;
    return held + choose_growth_step(settings_.growth, get_need(entry) - held,
                      get_free(entry), get_peer_waiting(entry));
}

std::uint32_t grant_ledger::choose_return(
    team_entry& entry, monotonic_time now) const
{
    auto held = get_held(entry);
    auto need = get_need(entry);
    auto surplus = held - need;
    if (surplus == 0)
    {
        entry.idle_since.reset();
        return held;
    }
    auto peer_waiting = get_peer_waiting(entry);
    auto free = get_free(entry);
    if (peer_waiting > free)
        return held - std::min(surplus, peer_waiting - free);
    if (!entry.idle_since)
    {
        entry.idle_since = now;
        entry.peak = need;
    }
    entry.peak = std::max(entry.peak, need);
    if (now - *entry.idle_since < settings_.idle_limit)
        return held;
    auto target = std::min(held, entry.peak);
    entry.idle_since.reset();
    return target;
}

grant_transfer grant_ledger::open_own(
    const team_id& team, team_entry& entry, std::uint32_t target)
{
    auto written = entry.row_value;
    written.set(own_, target);
    bool is_growth = target > get_held(entry);
    return open_write(team, entry, std::move(written), 0, is_growth);
}

grant_transfer grant_ledger::open_write(const team_id& team, team_entry& entry,
    grant_row written, std::uint32_t adopted, bool is_growth)
{
    auto key = grant_row::get_key(team);
    grant_transfer result{++last_id_, team, {}};
    result.request.conditions.push_back({key, entry.version});
    if (is_growth)
        result.request.conditions.push_back({"config/head", head_});
    result.request.writes.push_back({key, written.encode()});
    open_transfer open;
    open.id = result.id;
    open.condition = entry.version;
    open.target = written.get(own_);
    open.planned_at = known_version_;
    open.written = std::move(written);
    open.adopted = adopted;
    open.is_growth = is_growth;
    entry.open.push_back(std::move(open));
    transfers_[result.id] = team;
    return result;
}

void grant_ledger::install(team_entry& entry, grant_row value,
    row_version version, config_version read_at)
{
    entry.is_row_known = true;
    entry.row_value = std::move(value);
    entry.version = version;
    entry.read_at = std::max(entry.read_at, read_at);
    settle(entry);
}

// Every open transfer was conditioned on the version before. Only this
// session writes its own number, so that the number tells which took effect.
void grant_ledger::settle(team_entry& entry)
{
    auto own = get_own(entry);
    for (const auto& open : entry.open)
    {
        if (open.adopted == 0)
            continue;
        bool is_adopted = own == open.target;
        if (is_adopted)
            entry.in_use += open.adopted;
        adoptions_.push_back({open.id, is_adopted});
    }
    entry.open.clear();
}

void grant_ledger::close(team_entry& entry, std::uint64_t id)
{
    for (const auto& open : entry.open)
    {
        if (open.id == id && open.adopted > 0)
            adoptions_.push_back({id, false});
    }
    std::erase_if(
        entry.open, [id](const open_transfer& open) { return open.id == id; });
}

} // namespace cowslippass
