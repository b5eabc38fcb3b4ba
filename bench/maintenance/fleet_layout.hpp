#pragma once

#include "systems/fleet_state.hpp"

#include <string>
#include <vector>

namespace cowslippass
{

struct fleet_layout
{
    std::string name;
    std::size_t data_centres = 3;
    /// The first, smallest pool is spare.
    std::vector<std::size_t> pool_sizes;
    std::size_t instances_per_rack = 4;
    /// Instances added to each pool as its fixed buffer, in place of the spare
    /// pool; the budget of a pool in any case is this share of its size.
    bool has_fixed_buffers = false;

    std::size_t count_instances() const;
};

/// Budget of a pool: a tenth of its size, rounded up.
std::uint32_t get_budget(std::size_t pool_size);

/// @return the fleets that are measured.
std::vector<fleet_layout> get_layouts();

/// @param pass that every instance was maintained in last.
/// @return pools, data centres and instances. Instances of a pool fill racks
///   of one data centre after the other.
std::vector<fleet_record> make_fleet(
    const fleet_layout& layout, std::uint32_t pass);

} // namespace cowslippass
