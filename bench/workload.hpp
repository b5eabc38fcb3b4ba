#pragma once

#include "systems/fleet_record.hpp"

#include <random>
#include <vector>

namespace cowslippass::bench
{

/// Load of each (data centre, pool), in proportion to its slots.
struct workload
{
    /// Slots that urgent work would fill on average.
    double urgent_load = 0.3;
    double slow_load = 1.0;
    double urgent_run_s = 0.5;
    double slow_run_s = 10.0;
    /// Standard deviation of the logarithm of run times.
    double run_spread = 1.0;
    /// The same of declared against true sizes: a factor of 2.7 either way.
    double declared_spread = 1.0;
    /// Queues have bursts in turn.
    double burst_s = 4.0;
    double burst_factor = 5.0;
    double quiet_factor = 0.05;
    /// Part of the tasks that fail wherever they run.
    double bad_fraction = 0.0;
    /// Part of the tasks that declare more than any target has.
    double misfit_fraction = 0.0;
    double non_idempotent_fraction = 0.1;
    /// Demand of each team; its size is the number of teams.
    std::vector<double> team_demands{0.4, 0.3, 0.15, 0.05, 0.05, 0.05};
};

/// Random draws of a workload.
class workload_source
{
public:
    workload_source(const workload& load, std::uint64_t seed);

    /// @return seconds until the next candidate arrival.
    double draw_gap(queue_kind kind, double slots);
    /// @return whether the candidate is kept: bursts thin out a process that
    ///   runs at its highest rate.
    /// @param turn position of the queue among `turns` that burst in turn.
    bool is_kept(queue_kind kind, double time_s, int turn, int turns);
    std::size_t draw_team();
    double draw_run_s(queue_kind kind);
    /// @return declared for a true value.
    double draw_declared(double value);
    bool draw_chance(double probability);
    double draw_uniform(double low, double high);
    std::size_t draw_index(std::size_t count);

private:
    const workload& load_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> teams_;
};

} // namespace cowslippass::bench
