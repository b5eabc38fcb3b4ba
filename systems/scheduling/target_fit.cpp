#include "systems/scheduling/target_fit.hpp"

#include <algorithm>

namespace cowslippass
{

target_fit measure_fit(
    const target_entry& target, const resources& free, const resources& need)
{
    const resources& capacity = target.report.capacity;
    resources left = free - need;
    target_fit out;
    out.can_empty = target.long_running == resources{};
    out.free_share = 1'000;
    auto add = [&](std::int64_t part, std::int64_t total)
    {
        if (total > 0)
            out.free_share = std::min(out.free_share, part * 1'000 / total);
    };
    add(left.processor, capacity.processor);
    add(left.memory, capacity.memory);
    return out;
}

} // namespace cowslippass
