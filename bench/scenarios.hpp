#pragma once

#include "bench/driver.hpp"

namespace cowslippass::bench
{

/// 3 data centres, 1 ms apart, five services, six teams.
scenario make_serrano();

/// 4 data centres, 0.5 ms apart, five services, six teams.
scenario make_resztka();

/// 4,300 targets, 36 pools, 72 teams, 7 data centres.
scenario make_design_size();

/// Runs the scenario with each of the seeds 1 to `seeds`.
figures run_seeds(const scenario& plan, int seeds);

/// Runs each pool by itself, as pools without faults do not affect each
/// other; much faster for a large fleet.
figures run_pools(const scenario& plan);

} // namespace cowslippass::bench
