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
    auto& grants = get_grants(team);
    if (grants.in_use >= grants.get_usable())
        return false;
    ++grants.in_use;
    grants.peak_demand = std::max(grants.peak_demand, grants.in_use);
    return true;
}

void grant_ledger::give_back(const team_id& team)
{
    auto& grants = get_grants(team);
    if (grants.in_use == 0)
        throw systems_error("grant_not_in_use",
            "no grant of team " + team.get() + " is in use");
    --grants.in_use;
}

void grant_ledger::on_limit(
    const team_id& team, task_count limit, config_version version)
{
    auto& grants = get_grants(team);
    known_version_ = std::max(known_version_, version);
    if (grants.limit && version <= grants.limit_version)
        return;
    grants.limit = limit;
    grants.limit_version = version;
    // A raised limit requires a read too: a snapshot may hide that the limit
    // was lowered in between.
    grants.needs_read = true;
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
    auto& grants = get_grants(team);
    grants.is_reading = false;
    grants.has_new_row = true;
    // If a newer head has been received since the conflict, growth must not
    // wait for another one, which may not come.
    if (grants.conflicted_version == value.version &&
        grants.conflicted_config_head == config_head_)
        is_config_head_stale_ = true;
    grants.conflicted_version.reset();
    bool is_older = grants.is_row_known && value.version < grants.version;
    bool is_same = grants.is_row_known && value.version == grants.version;
    if (is_same)
        grants.read_at = std::max(grants.read_at, read_at_version);
    else if (!is_older)
        install_row(grants, grant_row::decode(value.value), value.version,
            read_at_version);
    if (is_older || !grants.is_current())
        grants.needs_read = true;
}

void grant_ledger::on_read_failed(const team_id& team)
{
    auto& grants = get_grants(team);
    grants.is_reading = false;
    grants.needs_read = true;
}

void grant_ledger::set_waiting(const team_id& team, task_count count)
{
    get_grants(team).waiting = count.get();
}

void grant_ledger::on_peer_waiting(
    session_id peer, const team_id& team, task_count count, monotonic_time now)
{
    auto& grants = get_grants(team);
    if (count.get() == 0)
        grants.peers.erase(peer);
    else
        grants.peers[peer] = team_grants::peer_demand{count.get(), now};
}

std::vector<team_id> grant_ledger::plan_reads(monotonic_time now)
{
    std::vector<team_id> result;
    for (auto& team : get_teams_after(last_read_team_))
    {
        auto& grants = get_grants(team);
        if (!is_read_due(grants, now))
            continue;
        if (!reads_.try_acquire(now))
            break;
        grants.needs_read = false;
        grants.is_reading = true;
        last_read_team_ = team;
        result.push_back(team);
    }
    return result;
}

void grant_ledger::request_read(const team_id& team)
{
    get_grants(team).needs_read = true;
}

std::vector<grant_transfer> grant_ledger::plan_transfers(monotonic_time now)
{
    std::vector<grant_transfer> result;
    for (auto& team : get_teams_after(last_written_team_))
    {
        auto& grants = get_grants(team);
        grants.discard_demand_before(now - settings_.peer_waiting_lifetime);
        grants.update_cap();
        if (std::exchange(grants.has_new_row, false))
            grants.row_seen_at = now;
        if (!is_transfer_due(grants, now))
            continue;
        auto new_count = choose_held_count(grants, now);
        // With a transfer of unknown outcome, the row is written even if the
        // count stays: the new row version rules out that the old transfer is
        // committed later.
        if (new_count == grants.get_own_grants() &&
            grants.open_transfers.empty())
            continue;
        if (now - *grants.row_seen_at > settings_.max_row_age)
        {
            grants.needs_read = true;
            continue;
        }
        if (!writes_.try_acquire(now))
            break;
        grants.last_transfer = now;
        grants.idle_since.reset();
        last_written_team_ = team;
        result.push_back(begin_own_transfer(team, grants, new_count));
    }
    return result;
}

std::optional<grant_transfer> grant_ledger::plan_adoption(session_id ended,
    const team_id& team, task_count count, monotonic_time ended_observed,
    monotonic_time now)
{
    auto& grants = get_grants(team);
    bool can_write = grants.is_row_known && grants.open_transfers.empty();
    if (!can_write || ended == own_session_ || count.get() == 0 ||
        grants.row_value.get(ended) < count.get() ||
        now < get_adoption_time(ended_observed))
        return std::nullopt;
    auto written = grants.row_value;
    written.set(ended, written.get(ended) - count.get());
    written.set(own_session_, written.get(own_session_) + count.get());
    return begin_transfer(team, grants, std::move(written), count.get(), false);
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
    session_id ended, const team_id& team, monotonic_time ended_observed,
    monotonic_time now)
{
    auto& grants = get_grants(team);
    bool can_write = grants.is_row_known && grants.open_transfers.empty();
    if (!can_write || ended == own_session_ ||
        grants.row_value.get(ended) == 0 ||
        now < get_ended_session_release_time(ended_observed))
        return std::nullopt;
    auto written = grants.row_value;
    written.set(ended, 0);
    return begin_transfer(team, grants, std::move(written), 0, false);
}

void grant_ledger::on_result(std::uint64_t id, transaction_outcome outcome,
    std::optional<row_version> written)
{
    auto it = transfers_.find(id);
    if (it == transfers_.end())
        return;
    auto& grants = get_grants(it->second);
    transfers_.erase(it);
    auto open =
        std::find_if(grants.open_transfers.begin(), grants.open_transfers.end(),
            [id](const open_transfer& one) { return one.id == id; });
    if (open == grants.open_transfers.end())
        return;
    bool is_known_write = outcome == transaction_outcome::committed && written;
    if (is_known_write)
    {
        install_row(grants, open->written, *written, open->planned_at);
        grants.has_new_row = true;
        grants.consecutive_conflicts = 0;
        grants.backoff = milliseconds(0);
        return;
    }
    bool may_be_written = outcome == transaction_outcome::committed ||
                          outcome == transaction_outcome::unknown;
    if (may_be_written)
    {
        open->is_outcome_unknown = true;
        grants.needs_read = true;
        return;
    }
    if (outcome == transaction_outcome::conflict)
        record_conflict(grants, *open);
    if (open->adopted > 0)
        adoptions_.push_back({id, false});
    grants.open_transfers.erase(open);
}

void grant_ledger::record_conflict(
    team_grants& grants, const open_transfer& open)
{
    constexpr unsigned most_doublings = 4;
    grants.needs_read = true;
    if (open.is_growth)
    {
        grants.conflicted_version = open.condition;
        grants.conflicted_config_head = open.config_head;
    }
    auto bound = settings_.backoff.count()
                 << std::min(grants.consecutive_conflicts, most_doublings);
    auto random = hash_64(
        std::to_string(own_session_.get()) + '/' + std::to_string(open.id));
    grants.backoff = milliseconds(random % static_cast<std::uint64_t>(bound));
    ++grants.consecutive_conflicts;
}

std::vector<adoption_outcome> grant_ledger::take_adoption_outcomes()
{
    return std::exchange(adoptions_, {});
}

task_count grant_ledger::get_usable(const team_id& team) const
{
    const auto* grants = find(team);
    return task_count(grants ? grants->get_usable() : 0);
}

task_count grant_ledger::get_in_use(const team_id& team) const
{
    const auto* grants = find(team);
    return task_count(grants ? grants->in_use : 0);
}

task_count grant_ledger::get_held(const team_id& team) const
{
    const auto* grants = find(team);
    return task_count(grants ? grants->get_held() : 0);
}

team_grants& grant_ledger::get_grants(const team_id& team)
{
    auto& grants = teams_[team];
    grants.own_session = own_session_;
    return grants;
}

const team_grants* grant_ledger::find(const team_id& team) const
{
    auto it = teams_.find(team);
    return it == teams_.end() ? nullptr : &it->second;
}

// Round robin, so that the first teams do not use up the rate limits.
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
    const team_grants& grants, monotonic_time now) const
{
    if (grants.is_reading || !grants.limit)
        return false;
    // After a conflict, the read is delayed as long as the next transfer.
    if (grants.needs_read)
        return !grants.is_current() || !is_transfer_delayed(grants, now);
    return grants.is_starved() &&
           (!grants.row_seen_at ||
               now - *grants.row_seen_at >= settings_.reread_interval);
}

bool grant_ledger::is_transfer_delayed(
    const team_grants& grants, monotonic_time now) const
{
    return grants.last_transfer &&
           now - *grants.last_transfer <
               settings_.min_transfer_interval + grants.backoff;
}

bool grant_ledger::is_transfer_due(
    const team_grants& grants, monotonic_time now) const
{
    return grants.is_current() && !grants.needs_read && !grants.is_reading &&
           !grants.is_in_flight() && !is_transfer_delayed(grants, now);
}

std::uint32_t grant_ledger::choose_held_count(
    team_grants& grants, monotonic_time now) const
{
    auto held = grants.get_held();
    auto limit = grants.limit->get();
    auto sum = grants.get_peer_grants() + held;
    if (sum > limit)
    {
        auto share = static_cast<std::uint64_t>(held) * limit / sum;
        auto new_count =
            std::max(grants.in_use, static_cast<std::uint32_t>(share));
        return std::min(held, new_count);
    }
    if (grants.get_demand() <= held)
        return choose_count_after_return(grants, now);
    grants.idle_since.reset();
    // A second growth could not be told apart from the open one by the
    // count in the row.
    if (!grants.open_transfers.empty() || !can_grow())
        return held;
    return held + choose_growth_step(settings_.growth,
                      grants.get_demand() - held, grants.get_free(),
                      grants.get_peer_waiting());
}

std::uint32_t grant_ledger::choose_count_after_return(
    team_grants& grants, monotonic_time now) const
{
    auto held = grants.get_held();
    auto need = grants.get_demand();
    auto surplus = held - need;
    if (surplus == 0)
    {
        grants.idle_since.reset();
        return held;
    }
    auto peer_waiting = grants.get_peer_waiting();
    auto free = grants.get_free();
    if (peer_waiting > free)
        return held - std::min(surplus, peer_waiting - free);
    if (!grants.idle_since)
    {
        grants.idle_since = now;
        grants.peak_demand = need;
    }
    grants.peak_demand = std::max(grants.peak_demand, need);
    if (now - *grants.idle_since < settings_.idle_timeout)
        return held;
    auto new_count = std::min(held, grants.peak_demand);
    if (new_count == held)
        grants.idle_since.reset();
    return new_count;
}

grant_transfer grant_ledger::begin_own_transfer(
    const team_id& team, team_grants& grants, std::uint32_t new_count)
{
    auto written = grants.row_value;
    written.set(own_session_, new_count);
    bool is_growth = new_count > grants.get_held();
    return begin_transfer(team, grants, std::move(written), 0, is_growth);
}

grant_transfer grant_ledger::begin_transfer(const team_id& team,
    team_grants& grants, grant_row written, std::uint32_t adopted,
    bool is_growth)
{
    auto key = grant_row::get_key(team);
    grant_transfer result{++last_id_, team, {}};
    result.request.conditions.push_back({key, grants.version});
    if (is_growth)
        result.request.conditions.push_back({"config/head", config_head_});
    result.request.writes.push_back({key, written.encode()});
    open_transfer open;
    open.id = result.id;
    open.condition = grants.version;
    open.config_head = config_head_;
    open.own_count = written.get(own_session_);
    open.planned_at = known_version_;
    open.written = std::move(written);
    open.adopted = adopted;
    open.is_growth = is_growth;
    grants.open_transfers.push_back(std::move(open));
    transfers_[result.id] = team;
    return result;
}

void grant_ledger::install_row(team_grants& grants, grant_row value,
    row_version version, config_version read_at)
{
    grants.is_row_known = true;
    grants.row_value = std::move(value);
    grants.version = version;
    grants.read_at = std::max(grants.read_at, read_at);
    for (const auto& outcome : grants.resolve_transfers())
        adoptions_.push_back(outcome);
}

} // namespace cowslippass
