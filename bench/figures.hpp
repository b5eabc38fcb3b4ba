#pragma once

#include <cstdint>
#include <vector>

namespace cowslippass::bench
{

/// Results of one run. Work is in slot seconds.
struct figures
{
    std::vector<float> urgent_waits_ms; ///< Arrival to confirmed start.
    std::uint64_t arrived = 0;
    std::uint64_t urgent_refused = 0; ///< Deadline passed or queue full.
    std::uint64_t urgent_lost = 0;    ///< Interrupted or failed for good.
    std::uint64_t urgent_done = 0;
    std::uint64_t slow_done = 0;
    std::uint64_t slow_parked = 0;
    std::uint64_t starts = 0;
    std::uint64_t refused_starts = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t urgent_hit = 0; ///< Running urgent tasks lost with a target.
    double capacity = 0.0;
    double urgent_work = 0.0; ///< Of tasks that finished and were wanted.
    double slow_work = 0.0;   ///< Progress that was kept.
    double wasted_work = 0.0; ///< Run for cancelled or failing tasks.
    /// Progress repeated, and slots held by victims without progress.
    double preempted_work = 0.0;
    double idle_urgent_waits = 0.0; ///< Free slots while urgent work waited.
    double idle_slow_waits = 0.0;   ///< Free slots while only slow work waited.
    /// Largest part of a pool's running urgent tasks in one rack, summed over
    /// samples with at least 4 such tasks.
    double rack_part_sum = 0.0;
    double rack_part_samples = 0.0;
    double rack_part_worst = 0.0;
    double shortfall_s = 0.0; ///< Largest, in seconds of a fair share.
    double shortfall_length_s = 0.0;

    /// Adds another run: sums, and the largest of the worst values.
    void merge(const figures& other);

    /// @param part 0 to 1.
    /// @return that quantile of the urgent waits in ms; 0 without any.
    double get_wait(double part) const;
    /// @return part of the urgent starts later than 2.2 s.
    double get_late_part() const;
};

} // namespace cowslippass::bench
