#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// What the routing entry knows about one pool in one data centre.
struct route_candidate
{
    data_centre_id data_centre;
    bool is_local = false;
    bool is_in_service = true;
    bool has_owner = true;     ///< A live entry can queue work there.
    std::uint32_t targets = 0; ///< Targets in service.
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0; ///< Tasks that wait for a slot.
    bool is_known = true;      ///< The counts come from a recent summary.
};

/// The rule that decided a route; the decision log names it.
enum class route_rule
{
    local,       ///< The local data centre can serve the request.
    remote_free, ///< The local one is full, another has free slots.
    remote_only, ///< The local one cannot serve requests of the pool.
    no_target    ///< No data centre can serve requests of the pool.
};

/// @return the name of the rule in the decision log.
std::string get_name(route_rule rule);

/// The data centre that queues a request, and why.
struct route
{
    route_rule rule = route_rule::no_target;
    std::optional<data_centre_id> data_centre;
    std::size_t candidates = 0; ///< Data centres that can serve it.
};

/// Chooses the data centre that queues a request. The local one is preferred,
/// because it saves a hop between data centres, unless it has no free slot and
/// waiting work while another one has more free slots than waiting work.
/// @param candidates one per data centre, in any order.
route choose_route(const std::vector<route_candidate>& candidates);

} // namespace cowslippass
