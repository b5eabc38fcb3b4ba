#include "systems/scheduling/job_urgency.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// A team may send the share of so many seconds at once.
constexpr double burst_seconds = 2.0;

/// @param is_left tells of each step whether it counts.
template <class Predicate>
milliseconds estimate_chain(const job_spec& spec, const Predicate& is_left)
{
    std::vector<milliseconds> ends;
    ends.reserve(spec.steps.size());
    milliseconds out{0};
    for (std::uint32_t i = 0; i < spec.steps.size(); ++i)
    {
        const step_spec& step = spec.steps[i];
        milliseconds start{0};
        for (std::uint32_t before : step.after)
            start = std::max(start, ends[before]);
        if (!step.is_long_running && is_left(i))
            start += step.estimate;
        ends.push_back(start);
        out = std::max(out, start);
    }
    return out;
}

} // namespace

milliseconds estimate_remaining_chain(const job& it)
{
    milliseconds out{0};
    std::uint32_t n = it.get_spec().get_occurrence_count();
    for (std::uint32_t k = 0; k < n; ++k)
        out =
            std::max(out, estimate_chain(it.get_spec(), [&](std::uint32_t step)
                              { return !it.is_step_done(k, step); }));
    return out;
}

milliseconds get_time_allowed(const job_spec& spec, const queue_config& queue)
{
    milliseconds chain =
        estimate_chain(spec, [](std::uint32_t) { return true; });
    return milliseconds(static_cast<std::int64_t>(
               static_cast<double>(chain.count()) * queue.stretch)) +
           queue.target_duration;
}

bool share_meter::take(const team_id& team, double weight, boot_time now)
{
    double most = weight * burst_seconds;
    auto [it, is_new] = buckets_.try_emplace(team, bucket{most, now});
    bucket& mine = it->second;
    std::chrono::duration<double> passed = now - mine.at;
    mine.tokens = std::min(most, mine.tokens + passed.count() * weight);
    mine.at = now;
    if (mine.tokens < 1)
        return false;
    --mine.tokens;
    return true;
}

} // namespace cowslippass
