#include "bench/figures.hpp"

#include <algorithm>

namespace cowslippass::bench
{

namespace
{

constexpr float start_bound_ms = 2200.0F;

} // namespace

void figures::merge(const figures& other)
{
    urgent_waits_ms.insert(urgent_waits_ms.end(), other.urgent_waits_ms.begin(),
        other.urgent_waits_ms.end());
    using count = std::uint64_t figures::*;
    for (count member : {&figures::arrived, &figures::urgent_refused,
             &figures::urgent_lost, &figures::urgent_done, &figures::slow_done,
             &figures::slow_parked, &figures::starts, &figures::refused_starts,
             &figures::preemptions, &figures::urgent_hit})
        this->*member += other.*member;
    using amount = double figures::*;
    for (amount member :
        {&figures::capacity, &figures::urgent_work, &figures::slow_work,
            &figures::wasted_work, &figures::preempted_work,
            &figures::idle_urgent_waits, &figures::idle_slow_waits,
            &figures::rack_part_sum, &figures::rack_part_samples})
        this->*member += other.*member;
    rack_part_worst = std::max(rack_part_worst, other.rack_part_worst);
    shortfall_s = std::max(shortfall_s, other.shortfall_s);
    shortfall_length_s = std::max(shortfall_length_s, other.shortfall_length_s);
}

double figures::get_wait(double part) const
{
    if (urgent_waits_ms.empty())
        return 0.0;
    std::vector<float> sorted = urgent_waits_ms;
    auto index = static_cast<std::size_t>(part * (sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted[index];
}

double figures::get_late_part() const
{
    if (urgent_waits_ms.empty())
        return 0.0;
    auto late = std::count_if(urgent_waits_ms.begin(), urgent_waits_ms.end(),
        [](float wait) { return wait > start_bound_ms; });
    return static_cast<double>(late) / urgent_waits_ms.size();
}

} // namespace cowslippass::bench
