#include "systems/scheduling/target_orders.hpp"

#include <array>

namespace cowslippass
{

const char* to_string(order_outcome outcome)
{
    static constexpr std::array names{"accepted", "stale_fence", "superseded",
        "too_late", "no_room", "no_ticket", "invalid", "wrong_life",
        "unavailable", "not_sent", "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace cowslippass
