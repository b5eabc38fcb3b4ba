#include "systems/scheduling/job_urgency.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// A team may send the share of so many seconds at once.
constexpr double burst_seconds = 2.0;

/// After so many tasks a queue's estimates are judged.
constexpr std::uint64_t tasks_to_learn = 30;
/// Weight of the newest task.
constexpr double newest_weight = 0.02;
/// Estimates that are off by more than this (in logarithms, about a third) do
/// not tell which jobs can still be in time.
constexpr double trusted_deviation = 0.3;

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
               static_cast<double>(chain.count()) * queue.stretch_factor)) +
           queue.deadline_allowance;
}

void estimate_meter::add(
    const queue_id& queue, milliseconds estimate, milliseconds took)
{
    if (estimate <= milliseconds(0) || took <= milliseconds(0))
        return;
    double ratio = std::log(static_cast<double>(took.count()) /
                            static_cast<double>(estimate.count()));
    entry& it = entries_[queue];
    ++it.count;
    double weight =
        std::max(newest_weight, 1.0 / static_cast<double>(it.count));
    it.mean += (ratio - it.mean) * weight;
    it.deviation += (std::abs(ratio - it.mean) - it.deviation) * weight;
}

std::optional<double> estimate_meter::get_factor(const queue_id& queue) const
{
    auto it = entries_.find(queue);
    if (it == entries_.end() || it->second.count < tasks_to_learn ||
        it->second.deviation > trusted_deviation)
        return std::nullopt;
    return std::exp(it->second.mean + it->second.deviation);
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
