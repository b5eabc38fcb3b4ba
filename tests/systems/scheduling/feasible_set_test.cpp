#include "systems/scheduling/feasible_set.hpp"

#include "tests/systems/scheduling/overload_model.hpp"

#include <gtest/gtest.h>
// After GoogleTest.
#include <rapidcheck/gtest.h>

#include <iostream>

namespace cowslippass
{

namespace
{

constexpr int cores = 600;

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

/// Jobs of one or two steps of about 8 tasks of a second that ask `factor`
/// times what the pool can serve, for ten seconds.
/// @param flooding part of the jobs that one team sends beyond its share.
/// @param error standard deviation of the logarithm of the run time against
///   the expected one.
std::vector<model_job> make_burst(
    double factor, double flooding = 0, double error = 0.2)
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> size(0, 0.4);
    std::lognormal_distribution<double> deviation(0, error);
    std::uniform_real_distribution<double> part(0, 1);
    std::vector<model_job> out;
    double work = 0;
    for (std::size_t i = 0; work < factor * cores * 10'000; ++i)
    {
        model_job it;
        it.number = i;
        it.arrival = static_cast<std::int64_t>(work / (factor * cores));
        std::size_t n = part(random) < 0.6 ? 2 : 1;
        for (std::size_t k = 0; k < n; ++k)
        {
            model_job::step step;
            step.tasks = 1 + static_cast<int>(7 * size(random));
            step.run_time = static_cast<std::int64_t>(1'000 * size(random));
            step.expected = static_cast<std::int64_t>(
                double(step.run_time) * deviation(random));
            it.deadline += step.run_time;
            it.steps.push_back(step);
        }
        it.deadline = it.arrival + it.deadline * 8 / 5 + 600;
        it.exceeds_share = part(random) < flooding;
        work += it.get_work();
        out.push_back(it);
    }
    return out;
}

std::vector<model_job> serve(
    std::vector<model_job> jobs, model_strategy strategy)
{
    overloaded_pool(cores, strategy).run(jobs);
    return jobs;
}

auto count_in_time(const std::vector<model_job>& jobs)
{
    return std::ranges::count_if(jobs, &model_job::is_in_time);
}

/// @return an upper bound on the jobs in time, by a scheduler that knows all
///   arrivals: the smallest jobs fill all capacity until the last deadline.
std::size_t get_bound(const std::vector<model_job>& jobs)
{
    std::vector<double> work;
    std::int64_t last = 0;
    for (const model_job& it : jobs)
    {
        work.push_back(it.get_work());
        last = std::max(last, it.deadline);
    }
    std::ranges::sort(work);
    double room = double(cores) * double(last);
    std::size_t n = 0;
    while (n < work.size() && room >= work[n])
        room -= work[n++];
    return n;
}

} // namespace

// A burst of three times what the pool can serve in time. Taking jobs by
// deadline until the deadline has passed makes nearly every one a little late;
// so does the order of arrival within the teams' shares.
TEST(feasible_set, a_burst_of_three_times_the_room)
{
    std::vector<model_job> burst = make_burst(3);
    auto count = [&](model_strategy strategy)
    { return count_in_time(serve(burst, strategy)); };
    auto alone = count(model_strategy::deadline_alone);
    auto by_share = count(model_strategy::shares_only);
    auto by_path = count(model_strategy::earliest_deadline);
    auto feasible = count(model_strategy::feasible_jobs);
    auto bound = static_cast<std::ptrdiff_t>(get_bound(burst));
    std::cout << burst.size() << " jobs; in time: deadline alone " << alone
              << ", shares only " << by_share << ", deadline and own path "
              << by_path << ", feasible set " << feasible << ", bound " << bound
              << '\n';
    EXPECT_GE(feasible * 2, alone * 3);
    EXPECT_GE(feasible, by_share * 2);
    EXPECT_GE(feasible * 10, by_path * 9);
    EXPECT_LE(feasible, bound);
}

// The same burst: large jobs find room less easily than small ones.
TEST(feasible_set, a_burst_does_not_starve_the_largest_jobs)
{
    std::vector<model_job> jobs =
        serve(make_burst(3), model_strategy::feasible_jobs);
    std::ranges::sort(jobs, {}, &model_job::get_work);
    std::vector<model_job> largest(jobs.end() - jobs.size() / 10, jobs.end());
    auto get_part = [](const std::vector<model_job>& of,
                        bool (model_job::*predicate)() const) {
        return double(std::ranges::count_if(of, predicate)) / double(of.size());
    };
    std::cout << "in time: " << get_part(jobs, &model_job::is_in_time)
              << ", of the largest tenth "
              << get_part(largest, &model_job::is_in_time)
              << "; in time or late: " << get_part(jobs, &model_job::is_served)
              << ", of the largest tenth "
              << get_part(largest, &model_job::is_served) << '\n';
    EXPECT_GE(get_part(largest, &model_job::is_served),
        get_part(jobs, &model_job::is_served) / 2);
}

// One team sends two thirds of a burst, all beyond its share: the others are
// served as if it had sent nothing.
TEST(feasible_set, a_flooding_team_displaces_itself)
{
    std::vector<model_job> jobs =
        serve(make_burst(2.4, 2.0 / 3), model_strategy::feasible_jobs);
    std::size_t others = 0;
    std::size_t in_time = 0;
    for (const model_job& it : jobs)
        if (!it.exceeds_share)
        {
            ++others;
            in_time += it.is_in_time();
        }
    std::cout << in_time << " of " << others << " others in time\n";
    EXPECT_GE(in_time * 10, others * 9);
}

// A load that the pool can serve: every job is in time, and none is left out.
TEST(feasible_set, has_no_effect_while_all_fit)
{
    std::vector<model_job> load = make_burst(0.7);
    std::vector<model_job> feasible =
        serve(load, model_strategy::feasible_jobs);
    std::vector<model_job> by_deadline =
        serve(load, model_strategy::earliest_deadline);
    EXPECT_EQ(
        count_in_time(feasible), static_cast<std::ptrdiff_t>(load.size()));
    for (std::size_t i = 0; i < load.size(); ++i)
        EXPECT_EQ(feasible[i].ended_at, by_deadline[i].ended_at);
}

// Selections of any jobs in any room: until each due time of a selected job,
// the selected work that is due fits.
RC_GTEST_PROP(feasible_set, selected_work_never_exceeds_the_room, ())
{
    room_forecast room(at(0));
    double free = *rc::gen::inRange(0, 50);
    room.add(free, at(0));
    std::vector<std::pair<double, std::int64_t>> releases;
    auto n = *rc::gen::inRange(0, 20);
    for (int i = 0; i < n; ++i)
    {
        releases.emplace_back(
            *rc::gen::inRange(0, 10), *rc::gen::inRange(0, 9'000));
        room.add(releases.back().first, at(releases.back().second));
    }
    std::vector<feasibility_candidate> candidates;
    n = *rc::gen::inRange(0, 60);
    for (int i = 0; i < n; ++i)
    {
        std::int64_t start = *rc::gen::inRange(-500, 5'000);
        std::int64_t length = *rc::gen::inRange(0, 3'000);
        candidates.push_back(
            {{0, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), true,
                 *rc::gen::arbitrary<std::uint64_t>()},
                {{double(*rc::gen::inRange(0, 30'000)), at(start),
                    at(start + length)}}});
    }
    feasible_set set(room);
    std::vector<bool> is_selected = select_feasible(set, candidates);
    auto round_up = [](std::int64_t ms)
    {
        std::int64_t length = room_forecast::bucket_length.count();
        return (ms + length - 1) / length * length;
    };
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (!is_selected[i])
            continue;
        boot_time due = candidates[i].demands[0].due;
        RC_ASSERT(candidates[i].demands[0].start >= at(0));
        double work = 0;
        for (std::size_t k = 0; k < candidates.size(); ++k)
            if (is_selected[k] && candidates[k].demands[0].due <= due)
                work += candidates[k].demands[0].core_ms;
        std::int64_t until = round_up(
            std::chrono::duration_cast<milliseconds>(due.time_since_epoch())
                .count());
        if (until > (room_forecast::bucket_length *
                        static_cast<int>(room_forecast::bucket_count))
                        .count())
            continue;
        double available = free * double(until);
        for (const auto& [count, from] : releases)
            available +=
                count * double(std::max<std::int64_t>(0, until - from));
        RC_ASSERT(work <= available + 1e-6);
    }
}

// A job that needs its next step's time as well is not selected for the room
// that exists after its latest start.
TEST(feasible_set, a_step_needs_room_before_the_steps_after_it)
{
    room_forecast room(at(0));
    room.add(4, at(1'000));
    std::vector<work_demand> demands = {
        {4'000, at(0), at(1'000)}, {4'000, at(1'000), at(2'000)}};
    EXPECT_FALSE(feasible_set(room).try_add(demands));
    std::vector<work_demand> later = {
        {4'000, at(1'000), at(2'000)}, {4'000, at(2'000), at(3'000)}};
    EXPECT_TRUE(feasible_set(room).try_add(later));
}

} // namespace cowslippass
