#include "bench/maintenance/by_name_strategy.hpp"
#include "bench/maintenance/fleet_simulation.hpp"
#include "systems/maintenance_planner.hpp"

#include <cstdio>
#include <gflags/gflags.h>
#include <limits>

DEFINE_int32(days, 3, "simulated days");
DEFINE_int32(runs, 3, "seeds per fleet; the table has means");
DEFINE_string(fleet, "", "only the fleets whose name contains this");

DEFINE_uint32(reserve_one_in, 4, "of the planner; see maintenance_options");

namespace cowslippass
{

namespace
{

struct candidate
{
    const char* name;
    const maintenance_strategy* strategy;
    bool has_fixed_buffers;
};

/// A roll-out that did not end in one run has no mean.
void add_hours(double& sum, double hours)
{
    sum = sum >= 0 && hours >= 0 ? sum + hours : -1;
}

std::string format_hours(double sum, const simulation_result& all)
{
    char buf[32];
    if (sum >= 0)
        std::snprintf(buf, sizeof buf, "%.1f", sum / FLAGS_runs);
    else
        std::snprintf(buf, sizeof buf, "%.0f%% done",
            100 * all.maintained_share / FLAGS_runs);
    return buf;
}

void add(simulation_result& sum, const simulation_result& it)
{
    add_hours(sum.rollout_hours, it.rollout_hours);
    add_hours(sum.rollout_99_hours, it.rollout_99_hours);
    sum.maintained_share += it.maintained_share;
    sum.moves += it.moves;
    sum.drains += it.drains;
    sum.cancelled += it.cancelled;
    sum.idle_instances += it.idle_instances;
    sum.violating_steps += it.violating_steps;
    sum.pool_hours_over += it.pool_hours_over;
    sum.decisions += it.decisions;
    sum.plans += it.plans;
    sum.plan_seconds += it.plan_seconds;
}

void print_row(const fleet_layout& layout, const candidate& candidate,
    const simulation_result& sum)
{
    double n = FLAGS_runs;
    std::printf("| %s | %s | %s | %s | %.1f | %.0f | %.1f | %.1f | %llu | %.2f "
                "| %.0f | "
                "%.2f |\n",
        layout.name.c_str(), candidate.name,
        format_hours(sum.rollout_99_hours, sum).c_str(),
        format_hours(sum.rollout_hours, sum).c_str(),
        static_cast<double>(sum.moves) / n, static_cast<double>(sum.drains) / n,
        static_cast<double>(sum.cancelled) / n, sum.idle_instances / n,
        static_cast<unsigned long long>(sum.violating_steps),
        sum.pool_hours_over / n,
        static_cast<double>(sum.decisions) / sum.plan_seconds,
        1'000 * sum.plan_seconds / static_cast<double>(sum.plans));
    std::fflush(stdout);
}

void measure(const fleet_layout& layout, const candidate& candidate)
{
    fleet_layout used = layout;
    used.has_fixed_buffers = candidate.has_fixed_buffers;
    simulation_result sum;
    sum.rollout_hours = 0;
    sum.rollout_99_hours = 0;
    for (int i = 0; i < FLAGS_runs; ++i)
    {
        fleet_simulation simulation(used, *candidate.strategy,
            std::chrono::days(FLAGS_days), 1'000 + static_cast<unsigned>(i));
        add(sum, simulation.run());
    }
    print_row(layout, candidate, sum);
}

void measure_all()
{
    maintenance_options options;
    options.reserve_one_in = FLAGS_reserve_one_in;
    maintenance_planner planner(options);
    options.scope = maintenance_scope::pool;
    maintenance_planner by_pool(options);
    by_name_strategy one_at_a_time(1);
    by_name_strategy fixed_buffer(std::numeric_limits<std::uint32_t>::max());
    std::vector<candidate> candidates{
        {"one at a time by name", &one_at_a_time, false},
        {"fixed buffer in each pool", &fixed_buffer, true},
        {"planner", &planner, false},
        {"planner, one data centre per pool", &by_pool, false}};
    std::printf("| fleet | strategy | 99%% maintained (h) | all maintained (h) "
                "| moves | drains | "
                "cancelled | idle instances | violating steps | pool-hours "
                "over budget | decisions/s | ms per plan |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const fleet_layout& layout : get_layouts())
        for (const candidate& it : candidates)
            if (layout.name.find(FLAGS_fleet) != std::string::npos)
                measure(layout, it);
}

} // namespace

} // namespace cowslippass

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "measures maintenance strategies in simulated time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    cowslippass::measure_all();
    return 0;
}
