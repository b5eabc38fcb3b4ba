#include "systems/pools/platform_instance.hpp"

#include <array>

namespace cowslippass
{

const char* to_string(instance_order_outcome outcome)
{
    static constexpr std::array names{"accepted", "stale_fence", "busy",
        "not_in_wave", "invalid", "refused", "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace cowslippass
