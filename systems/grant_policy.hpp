#pragma once

#include <cstdint>
#include <vector>

namespace cowslippass
{

/// Size of one growth step, of the part of the limit that is free.
enum class growth_policy
{
    all_wanted,  ///< All that is wanted.
    half,        ///< At most half of what is free.
    proportional ///< What is free, by waiting work here and at the peers.
};

/// A peer with waiting work.
struct peer_allocation
{
    std::uint32_t held;
    std::uint32_t waiting;
};

/// @param wanted grants missing here, at least 1.
/// @param free part of the limit that nobody holds.
/// @param peer_waiting waiting tasks of all peers.
/// @return grants to take now; at least 1 while something is free.
std::uint32_t choose_growth_step(growth_policy policy, std::uint32_t wanted,
    std::uint32_t free, std::uint32_t peer_waiting);

/// Leaves room for each waiting peer up to an even share of the limit. Without
/// it, a session that always has waiting work would never return a grant.
/// @param others grants of all other sessions.
/// @return the most that this session may hold.
std::uint32_t choose_grant_cap(std::uint32_t limit, std::uint32_t others,
    const std::vector<peer_allocation>& peers);

} // namespace cowslippass
