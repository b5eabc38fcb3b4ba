#include "systems/team_grants.hpp"

#include "systems/grant_policy.hpp"

#include <algorithm>

namespace cowslippass
{

std::uint32_t team_grants::get_peer_grants() const
{
    return row_value.get_total() - get_own_grants();
}

std::uint32_t team_grants::get_held() const
{
    auto held = get_own_grants();
    for (const auto& it : open_transfers)
        held = std::min(held, it.own_count);
    return held;
}

std::uint32_t team_grants::get_free() const
{
    auto most = limit ? limit->get() : 0;
    auto granted = get_peer_grants() + get_held();
    return most > granted ? most - granted : 0;
}

std::uint32_t team_grants::get_usable() const
{
    if (!is_current())
        return 0;
    auto most = limit->get();
    auto usable =
        std::min(get_held(), most - std::min(most, get_peer_grants()));
    return fair_cap ? std::min(usable, *fair_cap) : usable;
}

std::uint32_t team_grants::get_demand() const
{
    auto need = in_use + waiting;
    return fair_cap ? std::max(in_use, std::min(need, *fair_cap)) : need;
}

std::uint32_t team_grants::get_peer_waiting() const
{
    std::uint32_t sum = 0;
    for (const auto& [peer, demand] : peers)
        sum += demand.waiting;
    return sum;
}

bool team_grants::is_current() const
{
    return is_row_known && limit && read_at >= limit_version;
}

bool team_grants::is_in_flight() const
{
    return std::any_of(open_transfers.begin(), open_transfers.end(),
        [](const open_transfer& it) { return !it.is_outcome_unknown; });
}

bool team_grants::is_starved() const
{
    return in_use + waiting > get_held() && get_free() == 0 &&
           open_transfers.empty();
}

void team_grants::discard_demand_before(monotonic_time oldest)
{
    std::erase_if(
        peers, [&](const auto& it) { return it.second.received_at < oldest; });
}

void team_grants::update_cap()
{
    fair_cap.reset();
    if (!is_current() || waiting == 0 || peers.empty())
        return;
    std::vector<peer_allocation> waiting_peers;
    waiting_peers.reserve(peers.size());
    for (const auto& [peer, demand] : peers)
        waiting_peers.push_back({row_value.get(peer), demand.waiting});
    fair_cap = choose_grant_cap(limit->get(), get_peer_grants(), waiting_peers);
}

std::vector<adoption_outcome> team_grants::resolve_transfers()
{
    std::vector<adoption_outcome> result;
    for (const auto& it : open_transfers)
    {
        if (it.adopted == 0)
            continue;
        bool is_adopted = get_own_grants() == it.own_count;
        if (is_adopted)
            in_use += it.adopted;
        result.push_back({it.id, is_adopted});
    }
    open_transfers.clear();
    return result;
}

} // namespace cowslippass
