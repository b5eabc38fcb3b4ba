#include "bench/scenarios.hpp"

namespace cowslippass::bench
{

scenario make_serrano()
{
    scenario plan;
    plan.name = "Serrano";
    plan.data_centres = 3;
    plan.network_ms = 1.0;
    return plan;
}

scenario make_resztka()
{
    scenario plan;
    plan.name = "Resztka";
    plan.data_centres = 4;
    plan.network_ms = 0.5;
    return plan;
}

scenario make_design_size()
{
    scenario plan;
    plan.name = "Design size";
    plan.data_centres = 7;
    plan.network_ms = 0.5;
    plan.duration_s = 60.0;
    plan.pool_sizes.assign(36, 119);
    for (int i = 0; i < 16; ++i)
        ++plan.pool_sizes[i]; // 36 * 119 + 16 = 4,300
    // One team in twelve is large and asks for about six equal shares.
    plan.load.team_demands.assign(72, 0.5);
    for (int i = 0; i < 6; ++i)
        plan.load.team_demands[i] = 6.5;
    return plan;
}

figures run_seeds(scenario plan, int seeds)
{
    figures all;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        plan.seed = seed;
        all.merge(driver(plan).run());
    }
    return all;
}

} // namespace cowslippass::bench
