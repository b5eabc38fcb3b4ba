#include "systems/pool_owners.hpp"

#include <string>

namespace cowslippass
{

std::optional<session_id> choose_pool_owner(
    const pool_id& pool, const std::vector<session_id>& sessions)
{
    std::optional<session_id> best;
    std::uint64_t best_weight = 0;
    for (session_id session : sessions)
    {
        std::uint64_t weight =
            hash_64(pool.get() + '/' + std::to_string(session.get()));
        bool is_better = !best || weight > best_weight ||
                         (weight == best_weight && session < *best);
        if (!is_better)
            continue;
        best = session;
        best_weight = weight;
    }
    return best;
}

} // namespace cowslippass
