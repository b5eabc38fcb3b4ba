#include "systems/scheduling/target_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass
{

namespace
{

/// Weight of the newest run in the share of failures of a pool.
constexpr double baseline_weight = 0.005;
constexpr double min_baseline = 0.02;
constexpr double max_baseline = 0.45;
/// Share of failing runs at a target that is worth avoiding.
constexpr double faulty_share = 0.5;
/// Sum above which a target is suspended: its runs are a hundred times likelier
/// at a faulty target than at a sound one.
const double suspension_limit = std::log(100.0);
/// A suspended target begins its probation with this part of the limit, so that
/// one more failure suspends it again and a few done runs clear it.
constexpr double probation_share = 0.6;
constexpr milliseconds first_suspension{2'000};
constexpr unsigned max_doublings = 3; ///< 16 s at most.
/// Tasks at a slow target need more than three times as long as expected.
/// Forecasts of single run times are rarely off by that much.
constexpr double slow_speed = 0.3;
/// After this time without running tasks, a target may have recovered.
constexpr milliseconds speed_validity{3'000};

} // namespace

void failure_baseline::add(bool is_failure)
{
    share_ += ((is_failure ? 1.0 : 0.0) - share_) * baseline_weight;
    share_ = std::clamp(share_, min_baseline, max_baseline);
}

void target_evidence::add_end(const job_id& job, bool is_failure,
    double baseline, bool may_suspend, boot_time now)
{
    if (!is_failure)
    {
        last_failed_job_ = job_id();
        failure_sum_ = std::max(
            0.0, failure_sum_ + std::log((1 - faulty_share) / (1 - baseline)));
        if (failure_sum_ == 0)
            suspensions_ = 0;
        return;
    }
    if (job == last_failed_job_)
        return;
    last_failed_job_ = job;
    failure_sum_ += std::log(faulty_share / baseline);
    if (failure_sum_ < suspension_limit || !may_suspend || is_suspended(now))
        return;
    failure_sum_ = suspension_limit * probation_share;
    suspended_until_ = now + first_suspension * (1U << suspensions_);
    suspensions_ = std::min(suspensions_ + 1, max_doublings);
}

bool target_evidence::is_on_probation(boot_time now) const
{
    return suspensions_ > 0 && !is_suspended(now);
}

void target_evidence::set_speed(double speed, boot_time now)
{
    speed_ = speed;
    speed_seen_at_ = now;
}

bool target_evidence::is_slow(boot_time now) const
{
    return speed_ < slow_speed && now - speed_seen_at_ < speed_validity;
}

} // namespace cowslippass
