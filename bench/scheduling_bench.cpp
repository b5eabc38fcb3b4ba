#include "bench/allocation_meter.hpp"
#include "systems/pools/pool_planner.hpp"
#include "systems/scheduling/coordinator.hpp"

#include <benchmark/benchmark.h>

#include <deque>

namespace cowslippass::bench
{

namespace
{

constexpr int pool_count = 5;
constexpr std::uint32_t tasks_per_job = 8;
/// Running tasks of each target while its pool is busy.
constexpr int runs_per_target = 6;
constexpr std::int64_t task_ms = 640;

boot_time at(std::int64_t ms)
{
    return boot_time(milliseconds(ms));
}

std::string name(const char* prefix, int i)
{
    return prefix + std::to_string(i);
}

published_state make_state()
{
    fleet_config config;
    config.version = config_version(1);
    for (int i = 0; i < pool_count; ++i)
    {
        pool_id pool(name("pool", i));
        config.pools[pool] = {pool, false, i == pool_count - 1};
        queue_config queue;
        queue.queue = queue_id(name("queue", i));
        queue.pool = pool;
        queue.max_attempts = 3;
        queue.stretch_factor = 1.6;
        queue.deadline_allowance = milliseconds(600);
        config.queues[queue.queue] = queue;
    }
    for (int i = 0; i < 29; ++i)
    {
        team_config team;
        team.team = team_id(name("team", i));
        config.teams[team.team] = team;
    }
    published_state out;
    out.config = config;
    return out;
}

/// A coordinator whose pools take turns: all work arrives in the queue of one
/// pool, four times as much as its targets can run at the same time.
class turn_load
{
public:
    explicit turn_load(int targets) : target_count_(targets)
    {
        it.set_published_state(make_state());
        for (int i = 0; i < targets; ++i)
        {
            target_report report;
            report.target = target_id(name("i-0123456789", i));
            report.pool = pool_id(name("pool", i % pool_count));
            report.data_centre = data_centre_id(name("zone", i % 5));
            report.capacity = {16'000, 32'768, 0};
            report.labels = {"a", name("rack", i / 20)};
            it.handle_target_change({report.target, report}, at(0));
            it.handle_status(report.target, {}, at(0), at(0));
        }
        int jobs = targets / pool_count * runs_per_target * 4 /
                   static_cast<int>(tasks_per_job);
        for (int i = 0; i < jobs; ++i)
            submit();
    }

    void submit()
    {
        job_record record;
        record.queue = queue_id("queue0");
        record.team = team_id(name("team", static_cast<int>(last_job_ % 29)));
        step_spec step;
        step.task_count = tasks_per_job;
        step.need = {2'100, 2'200, 0};
        step.estimate = milliseconds(task_ms);
        record.spec.steps = {step};
        record.spec.payload = "payload";
        std::string id = std::to_string(++last_job_);
        it.submit(
            job_id(std::string(16 - id.size(), '0') + id), record, at(now_ms_));
    }

    /// Plans one round; the targets accept all starts.
    std::size_t plan()
    {
        auto starts = it.plan(at(now_ms_), platform_time(now_ms_), 400);
        for (const start_decision& start : starts)
        {
            it.make_start_request(start);
            it.handle_start_reply(
                start, request_outcome::accepted, at(now_ms_));
            running_.push_back(start);
        }
        return starts.size();
    }

    /// Reports the end of the oldest run, and submits a job for each that has
    /// ended.
    void end_one()
    {
        start_decision run = running_.front();
        running_.pop_front();
        target_status status;
        const target_entry& target = it.get_targets().at(run.target);
        for (const task_name& task : target.runs)
            if (task != run.task)
                status.running.push_back(
                    {task, it.get_runs().at(task).number, "", 50, 0});
        status.ended.push_back({target.last_end_number + 1, run.task, run.run,
            run_outcome::done, ""});
        it.handle_status(run.target, status, at(now_ms_), at(now_ms_));
        if (++ended_ % tasks_per_job == 0)
            submit();
    }

    /// Encodes the rows of all changed jobs.
    std::size_t encode_rows()
    {
        std::size_t bytes = 0;
        for (const job_id& id : it.take_changed_jobs())
            bytes += it.find_job(id)->encode_progress().size();
        return bytes;
    }

    void advance(std::int64_t ms) { now_ms_ += ms; }
    boot_time now() const { return at(now_ms_); }
    std::size_t count_running() const { return running_.size(); }
    int get_target_count() const { return target_count_; }

    coordinator it{coordinator_options{}};

private:
    int target_count_;
    std::int64_t now_ms_ = 0;
    std::uint64_t last_job_ = 0;
    std::uint64_t ended_ = 0;
    std::deque<start_decision> running_;
};

void report_allocations(benchmark::State& state, std::uint64_t before)
{
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(count_allocations() - before),
            benchmark::Counter::kAvgIterations);
}

/// The end of a task, and the start of the next one by a round of decisions
/// that handles 20 ends, with the encoding of its rows.
void end_and_start_a_task(benchmark::State& state)
{
    turn_load load(static_cast<int>(state.range(0)));
    while (load.plan() > 0)
        load.encode_rows();
    std::uint64_t before = count_allocations();
    int ends = 0;
    for (auto _ : state)
    {
        load.end_one();
        if (++ends % 20 != 0)
            continue;
        load.advance(10);
        load.plan();
        benchmark::DoNotOptimize(load.encode_rows());
    }
    report_allocations(state, before);
}

/// A round of decisions in which no task can start.
void plan_without_room(benchmark::State& state)
{
    turn_load load(static_cast<int>(state.range(0)));
    while (load.plan() > 0)
        load.encode_rows();
    std::uint64_t before = count_allocations();
    for (auto _ : state)
        benchmark::DoNotOptimize(load.plan());
    report_allocations(state, before);
}

/// A status that reports the same runs as the one before.
void handle_unchanged_status(benchmark::State& state)
{
    turn_load load(static_cast<int>(state.range(0)));
    while (load.plan() > 0)
        load.encode_rows();
    target_id target("i-01234567890");
    target_status status;
    for (const auto& [task, run] : load.it.get_runs())
        if (run.target == target)
            status.running.push_back({task, run.number, "", 50, 0});
    std::uint64_t before = count_allocations();
    for (auto _ : state)
    {
        load.advance(1);
        load.it.handle_status(target, status, load.now(), load.now());
    }
    report_allocations(state, before);
}

/// The demand of all pools.
void measure_pool_demand(benchmark::State& state)
{
    turn_load load(static_cast<int>(state.range(0)));
    while (load.plan() > 0)
        load.encode_rows();
    for (auto _ : state)
        benchmark::DoNotOptimize(load.it.measure_demand(load.now()));
}

void count_queued_jobs(benchmark::State& state)
{
    turn_load load(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(load.it.count_queued(queue_id("queue0")));
}

#define COWSLIPPASS_SIZES Arg(48)->Arg(350)->Arg(540)->Arg(1'500)->Arg(4'300)
BENCHMARK(end_and_start_a_task)->COWSLIPPASS_SIZES;
BENCHMARK(plan_without_room)->COWSLIPPASS_SIZES;
BENCHMARK(handle_unchanged_status)->COWSLIPPASS_SIZES;
BENCHMARK(measure_pool_demand)->COWSLIPPASS_SIZES;
BENCHMARK(count_queued_jobs)->COWSLIPPASS_SIZES;

} // namespace

} // namespace cowslippass::bench
