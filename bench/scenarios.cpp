#include "bench/scenarios.hpp"

#include <atomic>
#include <thread>

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

namespace
{

constexpr std::size_t worker_count = 4;

/// Runs the plans on a few threads; the result does not depend on them, as
/// the figures are merged in the order of the plans.
figures run_all(const std::vector<scenario>& plans)
{
    std::vector<figures> results(plans.size());
    std::atomic<std::size_t> next{0};
    auto work = [&]
    {
        for (std::size_t i = next++; i < plans.size(); i = next++)
            results[i] = driver(plans[i]).run();
    };
    {
        std::vector<std::jthread> workers(worker_count);
        for (std::jthread& worker : workers)
            worker = std::jthread(work);
    }
    figures all;
    for (const figures& result : results)
        all.merge(result);
    return all;
}

} // namespace

figures run_seeds(const scenario& plan, int seeds)
{
    std::vector<scenario> plans;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        plans.push_back(plan);
        plans.back().seed = seed;
    }
    return run_all(plans);
}

figures run_pools(const scenario& plan)
{
    std::vector<scenario> plans;
    for (std::size_t pool = 0; pool < plan.pool_sizes.size(); ++pool)
    {
        plans.push_back(plan);
        plans.back().pool_sizes = {plan.pool_sizes[pool]};
        plans.back().first_pool = static_cast<int>(pool);
        plans.back().seed = plan.seed * 1000 + pool;
    }
    return run_all(plans);
}

} // namespace cowslippass::bench
