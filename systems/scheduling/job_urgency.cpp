#include "systems/scheduling/job_urgency.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// Size of a team's token bucket: its share over this time, in seconds.
constexpr double burst_seconds = 2.0;

/// Number of ended tasks before a queue's estimates are evaluated.
constexpr std::uint64_t min_samples = 30;
/// Minimum weight of the newest sample in the moving averages.
constexpr double min_sample_weight = 0.02;
/// Estimates with a larger mean deviation do not tell which jobs can still end
/// in time. The deviation is that of the logarithm of time taken divided by
/// estimate, so that the quotient deviates by about a third.
constexpr double max_trusted_deviation = 0.3;

/// Upper bound on the times of a job, so that sums with times of the clock do
/// not overflow.
constexpr milliseconds max_job_time = std::chrono::hours(24 * 366 * 5);

milliseconds bound_job_time(double ms)
{
    return milliseconds(static_cast<std::int64_t>(
        std::min(ms, static_cast<double>(max_job_time.count()))));
}

/// @param is_remaining tells for each step whether its run time counts.
/// @return the expected time on the critical path through the steps.
template <class Predicate>
milliseconds estimate_critical_path(const job_spec& spec,
    std::span<const milliseconds> run_times, const Predicate& is_remaining)
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
        if (!step.is_long_running && is_remaining(i))
            start += run_times[i];
        ends.push_back(start);
        out = std::max(out, start);
    }
    return out;
}

} // namespace

milliseconds estimate_remaining_critical_path(
    const job& it, std::span<const milliseconds> run_times)
{
    milliseconds out{0};
    std::uint32_t n = it.get_spec().get_occurrence_count();
    for (std::uint32_t k = 0; k < n; ++k)
        out = std::max(out,
            estimate_critical_path(it.get_spec(), run_times,
                [&](std::uint32_t step) { return !it.is_step_done(k, step); }));
    return std::min(out, max_job_time);
}

milliseconds get_time_allowed(const job_spec& spec,
    std::span<const milliseconds> run_times, const queue_config& queue)
{
    milliseconds critical_path = estimate_critical_path(
        spec, run_times, [](std::uint32_t) { return true; });
    return bound_job_time(
        static_cast<double>(critical_path.count()) * queue.stretch_factor +
        static_cast<double>(queue.deadline_allowance.count()));
}

milliseconds correct_estimate(milliseconds estimate, double factor)
{
    return bound_job_time(static_cast<double>(estimate.count()) * factor);
}

void estimate_calibrator::add(
    const queue_id& queue, milliseconds estimate, milliseconds took)
{
    if (estimate <= milliseconds(0) || took <= milliseconds(0))
        return;
    double ratio = std::log(static_cast<double>(took.count()) /
                            static_cast<double>(estimate.count()));
    entry& it = entries_[queue];
    ++it.count;
    double weight =
        std::max(min_sample_weight, 1.0 / static_cast<double>(it.count));
    it.mean += (ratio - it.mean) * weight;
    it.deviation += (std::abs(ratio - it.mean) - it.deviation) * weight;
}

std::optional<double> estimate_calibrator::get_correction_factor(
    const queue_id& queue) const
{
    auto it = entries_.find(queue);
    if (it == entries_.end() || it->second.count < min_samples ||
        it->second.deviation > max_trusted_deviation)
        return std::nullopt;
    return std::exp(it->second.mean + it->second.deviation);
}

double team_share_limiter::refill(
    const bucket& own, double weight, boot_time now)
{
    std::chrono::duration<double> passed = now - own.refilled_at;
    return std::min(
        weight * burst_seconds, own.tokens + passed.count() * weight);
}

bool team_share_limiter::has_room(
    const team_id& team, double weight, boot_time now) const
{
    auto it = buckets_.find(team);
    return it == buckets_.end() || refill(it->second, weight, now) >= 1;
}

bool team_share_limiter::take(const team_id& team, double weight, boot_time now)
{
    double max_tokens = weight * burst_seconds;
    auto [it, is_new] = buckets_.try_emplace(team, bucket{max_tokens, now});
    bucket& own = it->second;
    own.tokens = refill(own, weight, now);
    own.refilled_at = now;
    if (own.tokens < 1)
        return false;
    --own.tokens;
    return true;
}

} // namespace cowslippass
