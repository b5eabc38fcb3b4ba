#include "systems/workload/job_rows.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

job_spec make_spec(std::vector<step_spec> steps)
{
    job_spec out;
    out.payload = "p";
    out.steps = std::move(steps);
    return out;
}

step_spec make_step(std::uint32_t tasks, std::vector<std::uint32_t> after = {})
{
    step_spec out;
    out.task_count = tasks;
    out.need = {500, 256, 0};
    out.after = std::move(after);
    return out;
}

job make_job(std::vector<step_spec> steps)
{
    return job(
        job_id("j"), queue_id("q"), team_id("t"), make_spec(std::move(steps)));
}

const target_id target_a("a");

} // namespace

// Guards against a step that starts before all tasks of the steps that it
// depends on are done.
TEST(job, opens_a_step_when_its_predecessors_are_done)
{
    job it = make_job({make_step(2), make_step(1, {0})});
    auto first = it.assign({0, 0, 0}, target_a);
    auto second = it.assign({0, 0, 1}, target_a);
    EXPECT_TRUE(it.list_waiting(platform_time(0)).empty());
    it.record_run_end({0, 0, 0}, first, run_outcome::done, "", 3);
    EXPECT_TRUE(it.list_waiting(platform_time(0)).empty());
    it.record_run_end({0, 0, 1}, second, run_outcome::done, "", 3);
    EXPECT_EQ(
        it.list_waiting(platform_time(0)), (std::vector<task_key>{{0, 1, 0}}));
}

// Guards against a target that reports the end of one failed run twice and
// thereby uses up two attempts.
TEST(job, counts_a_repeated_end_once)
{
    job it = make_job({make_step(1)});
    auto run = it.assign({0, 0, 0}, target_a);
    EXPECT_TRUE(it.record_run_end({0, 0, 0}, run, run_outcome::failed, "", 2));
    EXPECT_FALSE(it.record_run_end({0, 0, 0}, run, run_outcome::failed, "", 2));
    EXPECT_EQ(it.get_phase(), job_phase::running);
    run = it.assign({0, 0, 0}, target_a);
    EXPECT_EQ(run.get(), 2U);
    it.record_run_end({0, 0, 0}, run, run_outcome::failed, "", 2);
    EXPECT_EQ(it.get_phase(), job_phase::failed);
}

// Guards against attempts that are used up by runs that ended without a fault:
// stopped on an order, expired leases, and gangs that broke up.
TEST(job, counts_only_failures_as_attempts)
{
    job it = make_job({make_step(1)});
    for (run_outcome end : {run_outcome::stopped, run_outcome::lease_expired,
             run_outcome::gang_broken, run_outcome::gang_incomplete,
             run_outcome::lease_expired})
        it.record_run_end(
            {0, 0, 0}, it.assign({0, 0, 0}, target_a), end, "", 1);
    EXPECT_EQ(it.get_phase(), job_phase::running);
    EXPECT_EQ(it.list_waiting(platform_time(0)).size(), 1U);
}

// Guards against a long-running task that counts as done, or fails its job,
// because one of its runs ended.
TEST(job, restarts_a_long_running_task_however_it_ends)
{
    step_spec step = make_step(1);
    step.is_long_running = true;
    job it = make_job({step});
    for (run_outcome end :
        {run_outcome::done, run_outcome::failed, run_outcome::failed})
    {
        it.record_run_end(
            {0, 0, 0}, it.assign({0, 0, 0}, target_a), end, "", 1);
        EXPECT_EQ(it.list_waiting(platform_time(0)).size(), 1U);
    }
}

// Guards against members of a gang that stay recorded as running although the
// end of one member completes them all.
TEST(job, ends_a_gang_as_a_whole)
{
    step_spec step = make_step(3);
    step.is_gang = true;
    job it = make_job({step});
    for (std::uint32_t i = 0; i < 3; ++i)
        it.assign({0, 0, i}, target_a, run_number(1));
    it.record_run_end({0, 0, 1}, run_number(1), run_outcome::done, "", 1);
    EXPECT_EQ(it.get_phase(), job_phase::completed);
    EXPECT_TRUE(it.list_running().empty());
}

// Guards against an occurrence of a scheduled job that starts before it is due.
TEST(job, opens_occurrences_when_they_are_due)
{
    job_spec spec = make_spec({make_step(1)});
    spec.repeat_count = 3;
    spec.first_start = platform_time(1'000);
    spec.interval = milliseconds(500);
    job it(job_id("j"), queue_id("q"), team_id("t"), spec);
    EXPECT_TRUE(it.list_waiting(platform_time(999)).empty());
    EXPECT_EQ(it.list_waiting(platform_time(1'000)).size(), 1U);
    EXPECT_EQ(it.list_waiting(platform_time(1'999)).size(), 2U);
    EXPECT_EQ(it.list_waiting(platform_time(2'000)).size(), 3U);
}

// Guards against a new coordinator that starts tasks again or loses their
// progress because the job's row does not hold all of it.
RC_GTEST_PROP(job, restores_its_progress_from_its_row, ())
{
    auto choices =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1'000));
    job it = make_job({make_step(3), make_step(2, {0}), make_step(1, {1})});
    for (int n : choices)
    {
        auto waiting = it.list_waiting(platform_time(0));
        auto running = it.list_running();
        if (n % 2 == 0 && !waiting.empty())
            it.assign(waiting[n / 2 % waiting.size()], target_a);
        else if (!running.empty())
        {
            task_key key = running[n / 2 % running.size()];
            auto end = static_cast<run_outcome>(n / 7 % 4);
            it.record_run_end(key, it.find_task(key)->run->number, end,
                n % 3 == 0 ? "saved" : "", 5);
        }
    }
    job copy = make_job({make_step(3), make_step(2, {0}), make_step(1, {1})});
    copy.decode_progress(it.encode_progress());
    RC_ASSERT(copy.get_phase() == it.get_phase());
    RC_ASSERT(copy.list_running() == it.list_running());
    auto settled = job::decode_settled(it.get_id(), it.encode_progress());
    RC_ASSERT(settled.has_value() == it.is_settled());
    if (settled)
    {
        RC_ASSERT(settled->get_phase() == it.get_phase());
        RC_ASSERT(settled->get_queue() == it.get_queue());
        RC_ASSERT(settled->get_team() == it.get_team());
    }
    if (!it.is_ended())
        RC_ASSERT(copy.count_done() == it.count_done());
    RC_ASSERT(copy.list_waiting(platform_time(0)) ==
              it.list_waiting(platform_time(0)));
    for (const task_key& key : it.list_waiting(platform_time(0)))
    {
        const task_progress* a = it.find_task(key);
        const task_progress* b = copy.find_task(key);
        RC_ASSERT((a == nullptr) == (b == nullptr));
        if (a)
        {
            RC_ASSERT(a->last_number == b->last_number);
            RC_ASSERT(a->failures == b->failures);
            RC_ASSERT(a->saved == b->saved);
        }
    }
}

// Guards against progress that exceeds a row of the store, and against progress
// that is lost or made up when only some of a large job's rows were stored
// before a takeover. A task that was stored as done must stay done, and a job
// that was stored as ended must stay ended.
RC_GTEST_PROP(job, restores_segmented_progress_from_rows_of_different_ages, ())
{
    constexpr std::size_t max_row_bytes = 4'096;
    auto choices =
        *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 10'000));
    step_spec gang = make_step(7, {1});
    gang.is_gang = true;
    job_spec spec = make_spec({make_step(9), make_step(6, {0}), gang});
    std::uint32_t size = choose_tasks_per_segment(spec, max_row_bytes);
    RC_ASSERT(size > 0U);
    auto make = [&]
    { return job(job_id("j"), queue_id("q"), team_id("t"), spec, size); };
    const target_id target(std::string(200, 't'));
    const std::string saved(max_checkpoint_bytes - 2, 's');
    job it = make();
    job_row_values stored;
    std::set<task_key> stored_as_done;
    auto store = [&](int limit)
    {
        // A batch that ends between the rows of one job.
        for (std::uint32_t segment : it.take_changed_segments())
        {
            if (limit-- == 0)
                return;
            stored.parts[segment] = it.encode_segment(segment);
            RC_ASSERT(stored.parts[segment].size() <= max_row_bytes);
        }
        stored.main = it.encode_progress();
    };
    for (int n : choices)
    {
        auto waiting = it.list_waiting(platform_time(0));
        auto running = it.list_running();
        if (!waiting.empty() && waiting.front().step == 2)
            for (const task_key& key : waiting)
                it.assign(key, target, run_number(50));
        else if (n % 2 == 0 && !waiting.empty())
            it.assign(waiting[n / 2 % waiting.size()], target);
        else if (!running.empty())
        {
            task_key key = running[n / 2 % running.size()];
            it.record_run_end(key, it.find_task(key)->run->number,
                n % 5 == 0 ? run_outcome::stopped : run_outcome::done, saved,
                5);
        }
        if (n % 3 == 0)
            store(100);
    }
    store(100);
    job before = make();
    before.decode_progress(stored.main, stored.parts);
    for (const task_key& key : it.list_running())
        it.record_run_end(
            key, it.find_task(key)->run->number, run_outcome::done, "", 5);
    store(choices[0] % 4);
    job copy = make();
    copy.decode_progress(stored.main, stored.parts);
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
        for (std::uint32_t i = 0; i < spec.steps[step].task_count; ++i)
        {
            task_key key{0, step, i};
            RC_ASSERT(!before.is_done(key) || copy.is_done(key));
            RC_ASSERT(!copy.is_done(key) || it.is_done(key));
            const task_progress* a = it.find_task(key);
            const task_progress* b = copy.find_task(key);
            if (a && b)
                RC_ASSERT(b->last_number <= a->last_number);
        }
    if (copy.count_done() == copy.count_tasks())
        RC_ASSERT(copy.get_phase() == job_phase::completed);
    RC_ASSERT(!copy.is_ended() || copy.get_phase() == it.get_phase());
}

// Guards against a job that is accepted but cannot be restored, because its
// record is longer than a row of the store.
TEST(job_rows, distributes_a_long_record_over_rows)
{
    std::string text = "[" + std::string(10'000, '1') + "]";
    job_row_values rows = split_job_record(text, 4'096);
    EXPECT_EQ(rows.parts.size(), 3U);
    for (const auto& [number, part] : rows.parts)
        EXPECT_LE(part.size(), 4'096U);
    EXPECT_EQ(join_job_record(rows), text);
    rows.parts.erase(1);
    EXPECT_THROW(join_job_record(rows), systems_error);
    rows = split_job_record("[1]", 4'096);
    EXPECT_TRUE(rows.parts.empty());
    EXPECT_EQ(rows.main, "[1]");
    for (const job_row_key& key :
        {job_row_key{job_id("ab"), std::nullopt}, job_row_key{job_id("ab"), 7}})
        EXPECT_EQ(decode_job_row_key(encode_job_row_key(key)), key);
    for (const char* text : {"ab/", "ab/x", "ab/7x", "ab/-1"})
        EXPECT_FALSE(decode_job_row_key(text));
}

// Guards against a field of a spec that gets lost in the ledger's row or in a
// message between entries.
TEST(job_spec, keeps_every_field_when_encoded)
{
    step_spec step;
    step.task_count = 7;
    step.need = {1, 2, 3};
    step.estimate = milliseconds(4);
    step.saves_checkpoints = step.is_gang = step.prefers_one_rack = true;
    step.required_label = "l";
    step.data_rack = rack_id("r");
    step.max_per_target = 5;
    step.allows_speculative_runs = step.is_long_running = step.is_best_effort =
        true;
    step.image = "i";
    step.tail_latency_limit = milliseconds(6);
    step.max_unavailable = 8;
    job_spec spec = make_spec({make_step(1), step});
    spec.steps[1].after = {0};
    spec.repeat_count = 9;
    spec.first_start = platform_time(10);
    spec.interval = milliseconds(11);
    job_record record{queue_id("q"), team_id("t"), platform_time(12), spec};
    job_record copy = decode_job_record(encode_job_record(record));
    EXPECT_EQ(encode_job_record(copy), encode_job_record(record));
    const step_spec& it = copy.spec.steps.at(1);
    EXPECT_EQ(it.task_count, 7U);
    EXPECT_EQ(it.need, (resources{1, 2, 3}));
    EXPECT_EQ(it.after, std::vector<std::uint32_t>{0});
    EXPECT_EQ(it.max_unavailable, 8U);
    EXPECT_EQ(it.tail_latency_limit, milliseconds(6));
    EXPECT_TRUE(it.saves_checkpoints && it.is_gang && it.prefers_one_rack &&
                it.allows_speculative_runs && it.is_long_running &&
                it.is_best_effort);
    EXPECT_EQ(copy.spec.interval, milliseconds(11));
    EXPECT_EQ(copy.acceptance_time, platform_time(12));
}

// Guards against accepting jobs that could never complete, or whose progress
// does not fit into a ledger row.
TEST(job_spec, rejects_specs_that_can_never_complete)
{
    EXPECT_THROW(check_job_spec(make_spec({})), systems_error);
    EXPECT_THROW(check_job_spec(make_spec({make_step(0)})), systems_error);
    EXPECT_THROW(check_job_spec(make_spec({make_step(1, {0})})), systems_error);
    EXPECT_THROW(check_job_spec(make_spec({make_step(20'000)})), systems_error);
    EXPECT_NO_THROW(
        check_job_spec(make_spec({make_step(1), make_step(1, {0})})));
    EXPECT_THROW(decode_job_spec("[]"), systems_error);
    EXPECT_THROW(decode_job_record("{"), systems_error);
}

// Guards against a job whose number of tasks wraps in the check of its size, so
// that it is accepted: planning it occupied the coordinator for ever.
TEST(job_spec, rejects_a_size_that_exceeds_the_width_of_a_number)
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    // 2^38 tasks, 2^31 times.
    std::vector<step_spec> steps(64, make_step(most));
    steps.push_back(make_step(64));
    job_spec spec = make_spec(steps);
    spec.repeat_count = 1U << 31;
    EXPECT_THROW(check_job_spec(spec), systems_error);
    // 2^32 tasks, 2^32 - 2^16 times and so on: each product has a multiple of
    // 2^64 as its largest part.
    for (std::uint32_t occurrences : {1U << 31, 1U << 30, most, most - 65'535})
    {
        spec = make_spec({make_step(most), make_step(1)});
        spec.repeat_count = occurrences;
        EXPECT_THROW(check_job_spec(spec), systems_error) << occurrences;
    }
}

// Guards against sizes and times whose sums over jobs and occurrences overflow:
// a job whose deadline wraps is planned before all others, and a pool whose
// demand wraps gets no instances.
TEST(job_spec, rejects_sizes_and_times_beyond_all_fleets)
{
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    auto is_accepted = [](const auto& change)
    {
        job_spec spec = make_spec({make_step(1)});
        spec.repeat_count = 2;
        change(spec);
        try
        {
            check_job_spec(spec);
            return true;
        }
        catch (const systems_error&)
        {
            return false;
        }
    };
    for (std::int64_t n : {most, most / 2, most / 10'000, std::int64_t{-1},
             std::numeric_limits<std::int64_t>::min()})
    {
        EXPECT_FALSE(
            is_accepted([n](job_spec& it) { it.steps[0].need.processor = n; }));
        EXPECT_FALSE(
            is_accepted([n](job_spec& it) { it.steps[0].need.memory = n; }));
        EXPECT_FALSE(is_accepted(
            [n](job_spec& it) { it.steps[0].need.accelerators = n; }));
        EXPECT_FALSE(is_accepted(
            [n](job_spec& it) { it.steps[0].estimate = milliseconds(n); }));
        EXPECT_FALSE(is_accepted([n](job_spec& it)
            { it.steps[0].tail_latency_limit = milliseconds(n); }));
        EXPECT_FALSE(is_accepted(
            [n](job_spec& it) { it.first_start = platform_time(n); }));
        EXPECT_FALSE(
            is_accepted([n](job_spec& it) { it.interval = milliseconds(n); }));
    }
    // A year, a machine of 10,000 cores, a date after the year 3000.
    EXPECT_TRUE(is_accepted(
        [](job_spec& it)
        {
            it.steps[0].need = {10'000'000, 100'000'000, 10'000};
            it.steps[0].estimate = std::chrono::hours(24 * 365);
            it.first_start = platform_time(32'503'680'000'000);
            it.interval = std::chrono::hours(24 * 365);
        }));
}

// Guards against a check of the size that differs from the exact number of
// tasks, at and around the limit and the widths of numbers.
RC_GTEST_PROP(job_spec, bounds_the_exact_number_of_tasks, ())
{
    constexpr unsigned __int128 limit = 10'000;
    auto any_count = rc::gen::element<std::uint32_t>(1, 2, 99, 100, 101, 5'000,
        9'999, 10'000, 10'001, 65'536, (1U << 31) + 1,
        std::numeric_limits<std::uint32_t>::max());
    // Powers of two reach multiples of 2^64.
    auto count = rc::gen::weightedOneOf<std::uint32_t>(
        {{1, any_count}, {8, rc::gen::just(1U << 31)}});
    auto counts = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::uint32_t>>(count));
    std::vector<step_spec> steps;
    unsigned __int128 tasks = 0;
    for (std::uint32_t it : counts)
    {
        steps.push_back(make_step(it));
        tasks += it;
    }
    job_spec spec = make_spec(steps);
    spec.repeat_count = *rc::gen::weightedOneOf<std::uint32_t>(
        {{1, rc::gen::just(0U)}, {3, count}});
    tasks *= spec.get_occurrence_count();
    if (tasks <= limit)
        check_job_spec(spec);
    else
        RC_ASSERT_THROWS_AS(check_job_spec(spec), systems_error);
}

} // namespace cowslippass
