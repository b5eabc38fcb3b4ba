#include "systems/scheduling/run_time_model.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace cowslippass
{

namespace
{

const queue_id previews("previews");
const queue_id exports("exports");

step_spec make_step(double estimate_ms, const std::string& image = "")
{
    step_spec out;
    out.estimate = milliseconds(static_cast<std::int64_t>(estimate_ms));
    out.image = image;
    return out;
}

/// A load in which run times and the errors of their estimates are spread by a
/// normal distribution of their logarithms.
struct spread_load
{
    double mean_ms = 1'000;
    double deviation = 0.5;       ///< Of the run times.
    double error_deviation = 0.5; ///< Of the estimates.
    std::mt19937 generator{7};

    struct task
    {
        double estimate;
        double took;
    };

    task draw()
    {
        std::normal_distribution<double> normal;
        double took = mean_ms * std::exp(deviation * normal(generator));
        return {took * std::exp(error_deviation * normal(generator)), took};
    }
};

/// @return the mean absolute error of the logarithm over new tasks.
double measure_error(const run_time_model& it, spread_load& load)
{
    double sum = 0;
    constexpr int n = 2'000;
    for (int i = 0; i < n; ++i)
    {
        auto task = load.draw();
        auto forecast = it.predict(previews, make_step(task.estimate));
        sum += std::abs(
            std::log(static_cast<double>(forecast.median.count()) / task.took));
    }
    return sum / n;
}

void learn(run_time_model& it, spread_load& load, int n)
{
    for (int i = 0; i < n; ++i)
    {
        auto task = load.draw();
        it.add(previews, make_step(task.estimate),
            milliseconds(static_cast<std::int64_t>(task.took)));
    }
}

} // namespace

// Guards against a model that invents a run time before any run has ended.
TEST(run_time_model_test, starts_from_the_estimate)
{
    run_time_model it;
    auto forecast = it.predict(previews, make_step(1'500));
    EXPECT_NEAR(static_cast<double>(forecast.median.count()), 1'500, 1);
    EXPECT_GT(forecast.get_quantile(1.28), forecast.median);
    EXPECT_EQ(it.predict(previews, make_step(0)).median, milliseconds(0));
}

// Load: estimates that are off by a factor of 2.5 either way. Guards against
// forecasts that trust them.
TEST(run_time_model_test, halves_the_error_of_poor_estimates)
{
    run_time_model it;
    spread_load load;
    load.deviation = 0.3;
    load.error_deviation = 0.9;
    double before = measure_error(it, load);
    learn(it, load, 300);
    EXPECT_LT(measure_error(it, load), before / 2);
}

// Load: good estimates of very different tasks. Guards against a mean that
// replaces them.
TEST(run_time_model_test, keeps_good_estimates)
{
    run_time_model it;
    spread_load load;
    load.deviation = 1.0;
    load.error_deviation = 0.1;
    double before = measure_error(it, load);
    learn(it, load, 300);
    EXPECT_LT(measure_error(it, load), before * 1.2);
}

// Load: estimates that are all too short by the same factor.
TEST(run_time_model_test, removes_a_common_bias)
{
    run_time_model it;
    for (int i = 0; i < 100; ++i)
        it.add(previews, make_step(500 + i), milliseconds(1'500 + 3 * i));
    auto median = it.predict(previews, make_step(550)).median;
    EXPECT_NEAR(static_cast<double>(median.count()), 1'650, 165);
}

// Guards against a queue that is predicted by the runs of another one.
TEST(run_time_model_test, keeps_queues_apart)
{
    run_time_model it;
    for (int i = 0; i < 100; ++i)
        it.add(previews, make_step(500), milliseconds(2'000));
    EXPECT_EQ(it.predict(exports, make_step(500)).median, milliseconds(500));
}

// Load: one queue with two images that differ by a factor of eight and whose
// estimates do not tell them apart.
TEST(run_time_model_test, learns_images_by_themselves)
{
    run_time_model it;
    for (int i = 0; i < 100; ++i)
    {
        it.add(previews, make_step(1'000, "short"), milliseconds(400));
        it.add(previews, make_step(1'000, "long"), milliseconds(3'200));
    }
    EXPECT_LT(it.predict(previews, make_step(1'000, "short")).median,
        milliseconds(600));
    EXPECT_GT(it.predict(previews, make_step(1'000, "long")).median,
        milliseconds(2'400));
}

// Load: run times that double at some moment. Guards against a model that old
// samples hold back for ever.
TEST(run_time_model_test, follows_a_change_of_the_load)
{
    run_time_model it;
    for (int i = 0; i < 2'000; ++i)
        it.add(previews, make_step(1'000), milliseconds(1'000));
    for (int i = 0; i < 900; ++i)
        it.add(previews, make_step(1'000), milliseconds(2'000));
    EXPECT_GT(
        it.predict(previews, make_step(1'000)).median, milliseconds(1'850));
}

// Guards against a quantile that most tasks exceed, by which work would be
// accepted that cannot be in time.
TEST(run_time_model_test, quantiles_cover_their_share_of_tasks)
{
    run_time_model it;
    spread_load load;
    learn(it, load, 400);
    int within = 0;
    constexpr int n = 2'000;
    for (int i = 0; i < n; ++i)
    {
        auto task = load.draw();
        auto limit =
            it.predict(previews, make_step(task.estimate)).get_quantile(1.28);
        within += task.took <= static_cast<double>(limit.count());
    }
    EXPECT_GT(within, n * 0.85);
    EXPECT_LT(within, n * 0.95);
}

// Failure: a takeover. Guards against a successor that begins to learn anew.
TEST(run_time_model_test, survives_a_takeover)
{
    run_time_model it;
    spread_load load;
    learn(it, load, 100);
    it.add(previews, make_step(700, "i"), milliseconds(900));
    auto records = it.take_changed_records();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_TRUE(it.take_changed_records().empty());
    run_time_model successor;
    successor.load(records[0].queue, records[0].value);
    EXPECT_EQ(successor.predict(previews, make_step(800)).median,
        it.predict(previews, make_step(800)).median);
    EXPECT_TRUE(successor.take_changed_records().empty());
}

// Failure: a record that another version or a fault left in the store.
TEST(run_time_model_test, rejects_records_that_it_did_not_write)
{
    for (const char* text : {"", "[]", "{}", R"({"all":[1],"images":{}})",
             R"({"all":[1,2,3,4,5,"6"],"images":{}})",
             R"({"all":[-1,2,3,4,5,6],"images":{}})",
             R"({"all":[1e300,2,3,4,5,6],"images":{}})",
             R"({"all":[1,2,3,4,5,6],"images":[7]})"})
    {
        run_time_model it;
        EXPECT_THROW(it.load(previews, text), systems_error) << text;
        EXPECT_EQ(
            it.predict(previews, make_step(500)).median, milliseconds(500));
    }
}

// Load: callers that name a new image with every job. Guards against a record
// that outgrows its row.
TEST(run_time_model_test, bounds_the_size_of_a_record)
{
    run_time_model it;
    for (int i = 0; i < 5'000; ++i)
        it.add(previews, make_step(1'000, "image-" + std::to_string(i)),
            milliseconds(1'000 + i));
    auto records = it.take_changed_records();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_LT(records[0].value.size(), 16'384U);
}

} // namespace cowslippass
