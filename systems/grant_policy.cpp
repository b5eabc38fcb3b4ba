#include "systems/grant_policy.hpp"

#include <algorithm>

namespace cowslippass
{

std::uint32_t choose_growth_step(growth_policy policy, std::uint32_t wanted,
    std::uint32_t free, std::uint32_t peer_waiting)
{
    auto step = wanted;
    if (policy == growth_policy::half)
        step = std::max(1U, free / 2);
    if (policy == growth_policy::proportional)
    {
        auto all = static_cast<std::uint64_t>(wanted) + peer_waiting;
        auto share = static_cast<std::uint64_t>(free) * wanted / all;
        step = std::max(1U, static_cast<std::uint32_t>(share));
    }
    return std::min({step, wanted, free});
}

std::uint32_t choose_grant_cap(std::uint32_t limit, std::uint32_t others,
    const std::vector<peer_allocation>& peers)
{
    auto sessions = static_cast<std::uint32_t>(peers.size() + 1);
    auto even = std::max(1U, limit / sessions);
    auto taken = others;
    for (const auto& peer : peers)
    {
        if (peer.held < even)
            taken += std::min(peer.waiting, even - peer.held);
    }
    return std::max(even, limit > taken ? limit - taken : 0);
}

} // namespace cowslippass
