#include "systems/pools/instance_report.hpp"

#include <array>

namespace cowslippass
{

const char* to_string(machine_outcome outcome)
{
    static constexpr std::array names{"accepted", "stale_fence", "busy",
        "not_in_wave", "invalid", "refused", "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace cowslippass
