#include "systems/pools/arrival_trend.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cowslippass
{

namespace
{

const pool_id pool("p");

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

/// Adds jobs of 1 core-second every 10 ms.
/// @param rate in cores, by time in seconds.
template <class Rate>
void add_load(arrival_trend& it, std::int64_t until_ms, const Rate& rate)
{
    double left = 0;
    for (std::int64_t ms = 0; ms < until_ms; ms += 10)
        for (left += rate(static_cast<double>(ms) / 1'000.0) / 100.0; left >= 1;
             --left)
            it.add(pool, 1'000, at(ms));
}

} // namespace

// Load pattern: the turn of a queue begins or ends, its arrival rate changes by
// the same amount each second.
TEST(arrival_trend, measures_the_rise_and_fall_of_a_turn)
{
    arrival_trend rising;
    add_load(rising, 3'000, [](double s) { return 500 * s; });
    EXPECT_NEAR(rising.get_slope(pool, at(3'000)), 500, 100);
    arrival_trend falling;
    add_load(falling, 3'000, [](double s) { return 2'000 - 500 * s; });
    EXPECT_NEAR(falling.get_slope(pool, at(3'000)), -500, 100);
}

// Load pattern: steady random arrivals. Guards against instances that are moved
// because of chance.
TEST(arrival_trend, ignores_most_of_the_noise_of_a_steady_load)
{
    std::mt19937 random(1);
    arrival_trend it;
    std::poisson_distribution<int> jobs(0.5);
    double sum = 0;
    int n = 0;
    for (std::int64_t ms = 0; ms < 60'000; ms += 10)
    {
        for (int i = jobs(random); i > 0; --i)
            it.add(pool, 1'000, at(ms));
        if (ms >= 2'000 && ms % 100 == 0)
        {
            sum += std::abs(it.get_slope(pool, at(ms)));
            ++n;
        }
    }
    // A rise of a tenth of the rate of 50 cores each second would be real.
    EXPECT_LT(sum / n, 5);
}

// Guards against a trend of a load that has ended.
TEST(arrival_trend, forgets_old_arrivals)
{
    arrival_trend it;
    add_load(it, 3'000, [](double s) { return 500 * s; });
    EXPECT_EQ(it.get_slope(pool, at(5'000)), 0);
    EXPECT_EQ(it.get_slope(pool_id("other"), at(3'000)), 0);
}

} // namespace cowslippass
