#include "systems/coordination/outage_policy.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr milliseconds holding_time{1'000};
/// Bounds on the delay after which refused callers return. HTTP states it in
/// whole seconds.
constexpr milliseconds min_retry_delay{1'000};
constexpr milliseconds max_retry_delay{4'000};
/// A submission is stored within this time once the store works.
constexpr milliseconds storing_time{300};
/// Part of the caller's time that is reserved for the answer.
constexpr milliseconds answer_margin{100};

} // namespace

bool may_return_in_time(milliseconds wait)
{
    return wait >= min_retry_delay + storing_time;
}

milliseconds get_outage_holding_time(milliseconds wait)
{
    if (may_return_in_time(wait - holding_time))
        return holding_time;
    return std::max(milliseconds(0), wait - answer_margin);
}

milliseconds get_outage_retry_delay(milliseconds wait, milliseconds age)
{
    auto half = std::chrono::duration_cast<std::chrono::seconds>(wait / 2);
    auto whole = std::chrono::duration_cast<std::chrono::seconds>(age);
    milliseconds longest =
        std::clamp<milliseconds>(half, min_retry_delay, max_retry_delay);
    return std::clamp<milliseconds>(whole, min_retry_delay, longest);
}

} // namespace cowslippass
