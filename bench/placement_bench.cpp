#include "bench/allocation_meter.hpp"
#include "systems/placement_system.hpp"
#include "systems/target_health.hpp"

#include <benchmark/benchmark.h>

namespace cowslippass::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr int team_count = 72;
const monotonic_time epoch{1h};

bool always(const team_id&)
{
    return true;
}

void add_targets(placement_system& system, int count)
{
    for (int i = 0; i < count; ++i)
    {
        placement_target target;
        target.id = instance_id("target" + std::to_string(i));
        target.data_centre = data_centre_id("dc1");
        target.rack = rack_id("dc1-r" + std::to_string(i / 4));
        system.set_target(target);
    }
}

placement_task make_task(std::uint64_t number, queue_kind kind)
{
    placement_task task;
    task.id = task_id("task" + std::to_string(number));
    task.team = team_id("team" + std::to_string(number % team_count));
    task.kind = kind;
    task.arrival = epoch;
    return task;
}

void add_waiting(placement_system& system, std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i)
        system.add_task(make_task(i, queue_kind::slow));
}

placement_policy make_policy()
{
    placement_policy policy;
    policy.max_waiting_per_class = 1'000'000;
    return policy;
}

/// A start, its confirmation and its end on a pool that is half full.
void place(benchmark::State& state)
{
    placement_system system(make_policy());
    int targets = static_cast<int>(state.range(0));
    add_targets(system, targets);
    add_waiting(system, targets * 4ULL);
    auto now = epoch;
    std::vector<task_id> running;
    std::uint64_t number = 10'000'000;
    while (system.count_waiting(queue_kind::slow) > 0)
        for (const auto& item : system.tick(now += 1ms, always).items)
            system.on_started(item.task, now);
    for (auto step : state)
    {
        (void)step;
        system.add_task(make_task(++number, queue_kind::urgent));
        for (const auto& item : system.tick(now += 1ms, always).items)
        {
            system.on_started(item.task, now);
            system.on_task_end(item.task, task_outcome::done, now);
        }
    }
    state.counters["placements"] = benchmark::Counter(
        static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}

/// A tick of a full pool with a long queue: nothing can start.
void tick_full_pool(benchmark::State& state)
{
    placement_system system(make_policy());
    int targets = static_cast<int>(state.range(0));
    add_targets(system, targets);
    add_waiting(system, static_cast<std::uint64_t>(state.range(1)));
    auto now = epoch;
    for (int i = 0; i < 10; ++i)
        for (const auto& item : system.tick(now += 1ms, always).items)
            system.on_started(item.task, now);
    for (auto step : state)
    {
        (void)step;
        benchmark::DoNotOptimize(system.tick(now += 1ms, always));
    }
    state.counters["ticks"] = benchmark::Counter(
        static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}

void measure_bytes(benchmark::State& state)
{
    int targets = static_cast<int>(state.range(0));
    double of_target = 0.0;
    double of_waiting = 0.0;
    double of_health = 0.0;
    for (auto step : state)
    {
        (void)step;
        std::size_t empty = get_allocated_bytes();
        placement_system system(make_policy());
        add_targets(system, targets);
        std::size_t with_targets = get_allocated_bytes();
        add_waiting(system, targets * 8ULL);
        std::size_t with_tasks = get_allocated_bytes();
        target_health health;
        for (int i = 0; i < targets; ++i)
            health.set_target(instance_id("target" + std::to_string(i)));
        std::size_t with_health = get_allocated_bytes();
        of_target = static_cast<double>(with_targets - empty) / targets;
        of_waiting =
            static_cast<double>(with_tasks - with_targets) / (targets * 8.0);
        of_health = static_cast<double>(with_health - with_tasks) / targets;
    }
    state.counters["bytes_per_target"] = of_target;
    state.counters["bytes_per_task"] = of_waiting;
    state.counters["bytes_per_health"] = of_health;
}

BENCHMARK(place)->Arg(400)->Arg(1600)->Arg(4300);
BENCHMARK(tick_full_pool)
    ->Args({400, 4'000})
    ->Args({1600, 16'000})
    ->Args({4300, 43'000})
    ->Args({4300, 430'000});
BENCHMARK(measure_bytes)->Arg(400)->Arg(1600)->Arg(4300)->Iterations(1);

} // namespace

} // namespace cowslippass::bench
