#include "systems/scheduling/feasible_set.hpp"

#include <algorithm>
#include <numeric>

namespace cowslippass
{

namespace
{

using float_ms = std::chrono::duration<double, std::milli>;

/// @return the part of the work that must be done at a time.
double get_due_part(
    const work_demand& demand, boot_time now, double time_since_now)
{
    double start = float_ms(demand.start - now).count();
    double due = float_ms(demand.due - now).count();
    if (time_since_now >= due)
        return demand.core_ms;
    if (time_since_now <= start)
        return 0;
    return demand.core_ms * (time_since_now - start) / (due - start);
}

} // namespace

feasible_set::feasible_set(const room_forecast& room)
    : now_(room.get_time()), slack_(room.get_totals())
{
}

room_forecast::totals feasible_set::sum_demands(
    std::span<const work_demand> demands) const
{
    constexpr double bucket_ms =
        static_cast<double>(room_forecast::bucket_length.count());
    room_forecast::totals out{};
    for (const work_demand& it : demands)
        for (std::size_t i = 0; i < out.size(); ++i)
            out[i] +=
                get_due_part(it, now_, bucket_ms * static_cast<double>(i + 1));
    return out;
}

void feasible_set::commit(std::span<const work_demand> demands)
{
    room_forecast::totals sums = sum_demands(demands);
    for (std::size_t i = 0; i < sums.size(); ++i)
        slack_[i] -= sums[i];
}

bool feasible_set::try_add(std::span<const work_demand> demands)
{
    if (std::ranges::any_of(
            demands, [&](const work_demand& it) { return it.start < now_; }))
        return false;
    room_forecast::totals sums = sum_demands(demands);
    for (std::size_t i = 0; i < sums.size(); ++i)
        if (sums[i] > 0 && sums[i] > slack_[i])
            return false;
    for (std::size_t i = 0; i < sums.size(); ++i)
        slack_[i] -= sums[i];
    return true;
}

std::vector<bool> select_feasible(
    feasible_set& set, std::span<const feasibility_candidate> candidates)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(
        order, {}, [&](std::size_t i) { return candidates[i].preference; });
    std::vector<bool> out(candidates.size());
    for (std::size_t i : order)
        out[i] = set.try_add(candidates[i].demands);
    return out;
}

} // namespace cowslippass
