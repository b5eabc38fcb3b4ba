#include "systems/membership.hpp"

#include <algorithm>
#include <utility>

namespace cowslippass
{

membership::membership(session_id own, data_centre_id own_data_centre,
    membership_settings settings)
    : own_(own), own_data_centre_(std::move(own_data_centre)),
      settings_(settings)
{
}

void membership::set_sessions(
    const std::map<session_id, session_row>& sessions, monotonic_time now)
{
    std::erase_if(
        peers_, [&](const auto& it) { return !sessions.contains(it.first); });
    for (const auto& [id, session] : sessions)
    {
        peer it{session.started.entry, session.started.data_centre, now,
            std::nullopt, false, std::nullopt};
        peers_.emplace(id, std::move(it));
    }
}

void membership::note_heard(session_id peer, monotonic_time now)
{
    auto it = peers_.find(peer);
    if (it == peers_.end())
        return;
    it->second.heard = std::max(it->second.heard, now);
    it->second.refused.reset();
}

void membership::note_refused(session_id peer, monotonic_time now)
{
    auto it = peers_.find(peer);
    if (it != peers_.end())
        it->second.refused = now;
}

void membership::set_leaving(std::set<entry_id> entries)
{
    leaving_ = std::move(entries);
}

bool membership::is_suspect(session_id peer, monotonic_time now) const
{
    auto it = peers_.find(peer);
    if (it == peers_.end())
        return true;
    if (peer == own_)
        return false;
    return it->second.refused || is_silent(it->second, now);
}

bool membership::is_leaving(session_id session) const
{
    auto it = peers_.find(session);
    return it != peers_.end() && leaving_.contains(it->second.entry);
}

std::vector<session_id> membership::get_live(
    const data_centre_id& data_centre, monotonic_time now) const
{
    std::vector<session_id> result;
    for (const auto& [id, it] : peers_)
    {
        if (it.data_centre == data_centre && !is_suspect(id, now) &&
            !is_leaving(id))
            result.push_back(id);
    }
    return result;
}

std::vector<session_id> membership::choose_partners(monotonic_time now)
{
    retry_old_suspects(now);
    std::set<data_centre_id> others;
    for (const auto& [id, it] : peers_)
        others.insert(it.data_centre);
    others.erase(own_data_centre_);
    std::vector<session_id> result;
    for (const auto& data_centre : others)
    {
        for (session_id id : choose_in(data_centre, now))
            result.push_back(id);
    }
    for (auto& [id, it] : peers_)
    {
        bool is_chosen =
            std::find(result.begin(), result.end(), id) != result.end();
        // Silence counts from the choice: nobody asked the peer before. A
        // suspected partner that is replaced stays suspected for a while.
        if (is_chosen && !it.is_partner)
            it.partner_since = now;
        if (!is_chosen && !is_suspect(id, now))
            it.partner_since.reset();
        it.is_partner = is_chosen;
    }
    return result;
}

std::vector<session_id> membership::get_neighbours() const
{
    std::vector<session_id> result;
    for (const auto& [id, it] : peers_)
    {
        if (id != own_ && it.data_centre == own_data_centre_)
            result.push_back(id);
    }
    return result;
}

bool membership::is_silent(const peer& it, monotonic_time now) const
{
    if (it.data_centre == own_data_centre_)
        return now - it.heard > settings_.suspicion;
    if (!it.partner_since)
        return false;
    auto since = std::max(it.heard, *it.partner_since);
    return now - since > settings_.remote_suspicion;
}

void membership::retry_old_suspects(monotonic_time now)
{
    auto oldest = now - settings_.remote_retry;
    for (auto& [id, it] : peers_)
    {
        if (it.data_centre == own_data_centre_)
            continue;
        if (it.refused < oldest)
            it.refused.reset();
        if (!it.is_partner && it.partner_since < oldest)
            it.partner_since.reset();
    }
}

// Rendezvous hashing spreads the partners, and keeps most of them when an
// entry joins or leaves.
std::vector<session_id> membership::rank(
    const data_centre_id& data_centre) const
{
    std::vector<std::pair<std::uint64_t, session_id>> weights;
    for (const auto& [id, it] : peers_)
    {
        if (it.data_centre != data_centre)
            continue;
        auto text = std::to_string(own_.get()) + '/' + std::to_string(id.get());
        weights.emplace_back(hash_64(text), id);
    }
    std::sort(weights.rbegin(), weights.rend());
    std::vector<session_id> result;
    result.reserve(weights.size());
    for (const auto& [weight, id] : weights)
        result.push_back(id);
    return result;
}

std::vector<session_id> membership::choose_in(
    const data_centre_id& data_centre, monotonic_time now) const
{
    auto ranked = rank(data_centre);
    std::stable_partition(ranked.begin(), ranked.end(),
        [&](session_id id) { return !is_suspect(id, now) && !is_leaving(id); });
    if (ranked.size() > partners_per_data_centre)
        ranked.resize(partners_per_data_centre);
    return ranked;
}

} // namespace cowslippass
