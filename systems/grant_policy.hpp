#pragma once

#include <cstdint>
#include <vector>

namespace cowslippass
{

/// How many of the free grants a session acquires in one transaction.
enum class growth_policy
{
    all_wanted,  ///< As many as it needs.
    half,        ///< At most half of the free ones.
    proportional ///< In proportion to its part of all waiting work.
};

/// Grants and waiting tasks of a peer that has waiting work.
struct peer_allocation
{
    std::uint32_t held;
    std::uint32_t waiting;
};

/// Chooses how many grants to acquire in one transaction.
/// @param wanted grants that this session lacks, at least 1.
/// @param free grants of the limit that no session holds.
/// @param peer_waiting waiting tasks of all peers.
/// @return grants to acquire now; at least 1 unless `free` is 0.
std::uint32_t choose_growth_step(growth_policy policy, std::uint32_t wanted,
    std::uint32_t free, std::uint32_t peer_waiting);

/// Limits the grants of a session so that each peer with waiting work can reach
/// an even share of the limit. Without this cap, a session that always has
/// waiting work would never return a grant.
/// @param others grants of all other sessions.
/// @param peers peers with waiting work.
/// @return the most that this session may hold.
std::uint32_t choose_grant_cap(std::uint32_t limit, std::uint32_t others,
    const std::vector<peer_allocation>& peers);

} // namespace cowslippass
