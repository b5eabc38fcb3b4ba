#include "bench/workload.hpp"

#include <algorithm>
#include <cmath>

namespace cowslippass::bench
{

workload_source::workload_source(const workload& load, std::uint64_t seed)
    : load_(load), random_(seed),
      teams_(load.team_demands.begin(), load.team_demands.end())
{
}

double workload_source::draw_gap(queue_kind kind, double slots)
{
    bool is_urgent = kind == queue_kind::urgent;
    double rate = is_urgent ? load_.urgent_load * load_.burst_factor * slots /
                                  load_.urgent_run_s
                            : load_.slow_load * slots / load_.slow_run_s;
    return std::exponential_distribution<>(rate)(random_);
}

bool workload_source::is_kept(
    queue_kind kind, double time_s, int turn, int turns)
{
    if (kind == queue_kind::slow)
        return true;
    auto period = static_cast<long>(time_s / load_.burst_s);
    if (period % turns == turn)
        return true;
    return draw_chance(load_.quiet_factor / load_.burst_factor);
}

std::size_t workload_source::draw_team()
{
    return teams_(random_);
}

double workload_source::draw_run_s(queue_kind kind)
{
    double mean =
        kind == queue_kind::urgent ? load_.urgent_run_s : load_.slow_run_s;
    double sigma = load_.run_spread;
    // The mean of a log-normal value is exp(mu + sigma^2 / 2).
    std::lognormal_distribution<> run(
        std::log(mean) - sigma * sigma / 2, sigma);
    return std::min(run(random_), 20 * mean);
}

double workload_source::draw_declared(double value)
{
    std::lognormal_distribution<> factor(0.0, load_.declared_spread);
    return value * factor(random_);
}

bool workload_source::draw_chance(double probability)
{
    return std::bernoulli_distribution(probability)(random_);
}

double workload_source::draw_uniform(double low, double high)
{
    return std::uniform_real_distribution<>(low, high)(random_);
}

std::size_t workload_source::draw_index(std::size_t count)
{
    return random_() % count;
}

} // namespace cowslippass::bench
