#include "systems/scheduling/submission_door.hpp"

#include "systems/scheduling/job_urgency.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Seconds are the unit of Retry-After.
constexpr milliseconds min_retry_after{1'000};
/// Where no capacity is in sight, callers return at this interval.
constexpr milliseconds max_retry_after{10'000};

} // namespace

std::optional<milliseconds> decide_refusal(
    const room_forecast& room, const submission_prospect& prospect)
{
    std::optional<milliseconds> end =
        room.find_time(prospect.core_ms_ahead + prospect.core_ms);
    if (end && *end <= prospect.time_allowed * overdue_factor)
        return std::nullopt;
    // The room appears gradually, so that callers return over a time as long as
    // the one that they wait at least.
    milliseconds first = end ? std::clamp(*end - prospect.time_allowed,
                                   min_retry_after, max_retry_after)
                             : max_retry_after;
    return first + milliseconds(prospect.lot %
                                static_cast<std::uint64_t>(first.count()));
}

} // namespace cowslippass
