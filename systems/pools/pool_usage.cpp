#include "systems/pools/pool_usage.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

void add_target(const target_entry& target, const pool_demand& demand,
    boot_time now, pool_usage& usage)
{
    std::int64_t total = target.report.capacity.processor;
    if (target.runs.empty())
    {
        (target.is_eligible(now) ? usage.idle : usage.closed) += total;
        return;
    }
    usage.lasting += target.long_running.processor;
    usage.worked += target.used.processor - target.long_running.processor;
    if (target.used == target.long_running)
        ++usage.lasting_targets;
    resources free = target.get_free();
    bool fits = std::ranges::any_of(demand.waiting_shapes,
        [&](const auto& it) { return free.holds(it.need); });
    bool is_stranded = !demand.waiting_shapes.empty() && !fits;
    (is_stranded ? usage.stranded : usage.beside) += free.processor;
}

} // namespace

std::map<pool_id, pool_usage> measure_usage(const target_table& targets,
    const std::map<pool_id, pool_demand>& demands, boot_time now)
{
    static const pool_demand no_demand;
    std::map<pool_id, pool_usage> out;
    for (const auto& [id, it] : targets)
    {
        if (!it.is_listed)
            continue;
        auto found = demands.find(it.report.pool);
        add_target(it, found == demands.end() ? no_demand : found->second, now,
            out[it.report.pool]);
    }
    return out;
}

} // namespace cowslippass
