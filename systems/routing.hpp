#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// What is known of one pool in one data centre.
struct route_candidate
{
    data_centre_id data_centre;
    bool is_local = false;
    bool is_in_service = true;
    bool has_owner = true;     ///< A live entry can queue work there.
    std::uint32_t targets = 0; ///< In service.
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0;
    bool is_known = true; ///< The counts come from a recent summary.
};

/// The rule that decided; named in the decision log.
enum class route_rule
{
    local,       ///< The own data centre can take it.
    remote_free, ///< The own one is full, another has free slots.
    remote_only, ///< The own one has no target of the pool in service.
    no_target    ///< No data centre in service has a target of the pool.
};

std::string get_name(route_rule rule);

struct route
{
    route_rule rule = route_rule::no_target;
    std::optional<data_centre_id> data_centre;
    std::size_t candidates = 0; ///< Data centres that could take it.
};

/// Chooses the data centre that queues a request. The own one is preferred,
/// as it costs no hop between data centres, until work waits there while
/// another one has more free slots than waiting work.
/// @param candidates one for each data centre, in any order.
route choose_route(const std::vector<route_candidate>& candidates);

} // namespace cowslippass
