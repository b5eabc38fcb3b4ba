#pragma once

#include "systems/workload/job_spec.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// What finished runs and the estimate tell about the run time of a task. The
/// logarithm of the run time counts as normally distributed.
struct run_time_forecast
{
    milliseconds median{0}; ///< 0 if nothing is known.
    double deviation = 0;   ///< Standard deviation of the logarithm.
    double samples = 0;     ///< Weight of the finished runs behind it.

    /// @param z distance from the median in standard deviations.
    /// @return the run time that a task exceeds with the matching probability,
    ///   for example one in ten at 1.28.
    milliseconds get_quantile(double z) const;
};

/// Learns from finished runs how long tasks take, for each queue and, where
/// enough runs have ended, for each image in it.
///
/// The logarithm of the run time is a linear function of the logarithm of the
/// estimate. Its slope tells how much the estimates of a queue are worth: near
/// 1 where they are good, near 0 where only the mean of the queue helps. Before
/// the first runs have ended, the estimate itself is the forecast; each ended
/// run moves it. Old samples lose weight, so that the model follows a change of
/// the load.
class run_time_model
{
public:
    /// A record of a queue to store.
    struct record_change
    {
        queue_id queue;
        std::string value;
    };

    /// Records that a run that began without a checkpoint was done.
    /// @param took time from the confirmed start to the end.
    void add(const queue_id& queue, const step_spec& step, milliseconds took);

    run_time_forecast predict(
        const queue_id& queue, const step_spec& step) const;

    /// @return the records of the queues with new samples since the last call.
    std::vector<record_change> take_changed_records();

    /// Restores a queue from its record.
    /// @throws systems_error (`bad_run_times`) if the record is malformed.
    void load(const queue_id& queue, const std::string& record);

private:
    /// Decaying sums over samples of x, the logarithm of the estimate, and y,
    /// that of the run time.
    struct regression
    {
        double weight = 0;
        double mean_x = 0;
        double mean_y = 0;
        double sum_xx = 0; ///< Of squared distances from the mean.
        double sum_xy = 0;
        double sum_yy = 0;

        void add(double x, double y);
        /// @param x nothing if the task has no estimate.
        run_time_forecast predict(const double* x) const;
    };

    struct queue_entry
    {
        regression all;
        std::map<std::string, regression> images;
    };

    std::map<queue_id, queue_entry> entries_;
    std::set<queue_id> changed_queues_;
};

} // namespace cowslippass
