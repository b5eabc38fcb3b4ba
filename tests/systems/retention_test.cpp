#include "systems/claim_row.hpp"
#include "systems/fleet_log.hpp"
#include "systems/job_row.hpp"
#include "systems/retention.hpp"
#include "systems/timing.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

constexpr milliseconds lifetime{600'000};
constexpr std::int64_t now = 1'700'000'000'000;
/// Younger than the lifetime, older than it and the margin of 5 s.
const platform_time young(now - 600'000);
const platform_time old(now - 605'001);
const session_id live_session(1);
const session_id gone_session(2);

retention_rule make_rule(std::int64_t time = now)
{
    return {lifetime, platform_time(time),
        [](session_id session) { return session == gone_session; }};
}

retention_verdict judge(
    claim_state state, session_id session, platform_time claimed_at)
{
    claim_row it;
    it.state = state;
    it.session = session;
    it.task = task_id("1-pool-7");
    it.claimed_at = claimed_at;
    return make_rule().judge_claim({"claims/t/r", it.encode(), {}}).verdict;
}

retention_decision judge(job_state state, platform_time ended_at)
{
    job_row it;
    it.state = state;
    it.order.payload = "payloads/j";
    it.ended_at = ended_at;
    it.result = state == job_state::done ? "results/j" : "";
    return make_rule().judge_ended_job({"ended/p/j", it.encode(), {}});
}

} // namespace

// Guards against the removal of a claim that has not ended or is young, after
// which a repeat would run a second time (I8).
TEST(retention, a_claim_goes_only_when_it_has_ended_and_is_old)
{
    using enum claim_state;
    using enum retention_verdict;
    for (session_id session : {live_session, gone_session})
    {
        for (claim_state state : {claimed, done, not_run})
        {
            EXPECT_EQ(judge(state, session, young), keep);
            EXPECT_EQ(judge(state, session, platform_time()), keep);
        }
        EXPECT_EQ(judge(done, session, old), remove);
        EXPECT_EQ(judge(not_run, session, old), remove);
    }
    EXPECT_EQ(judge(claimed, live_session, old), remove_if_stored);
    EXPECT_EQ(judge(claimed, gone_session, old), remove);
}

// Guards against a second run by an entry that looked before the first one and
// was paused until its claim had been removed (I8).
TEST(retention, an_absent_row_is_relied_on_for_less_than_its_lifetime)
{
    monotonic_time looked{};
    milliseconds last_start = lifetime - start_deadline;
    EXPECT_TRUE(is_absence_valid(looked, looked + milliseconds(1), lifetime));
    EXPECT_FALSE(is_absence_valid(looked, looked + last_start, lifetime));
}

// Guards against results and payloads that stay when their rows go.
TEST(retention, objects_are_named_with_the_row)
{
    claim_row it;
    it.session = live_session;
    it.task = task_id("1-pool-7");
    it.claimed_at = old;
    auto claim = make_rule().judge_claim({"claims/t/r", it.encode(), {}});
    EXPECT_EQ(claim.proof, it.get_result_name());
    EXPECT_EQ(claim.objects, std::vector{it.get_result_name()});
    auto job = judge(job_state::done, old);
    EXPECT_EQ(
        job.objects, (std::vector<std::string>{"payloads/j", "results/j"}));
}

// Guards against the removal of a job that has not ended.
TEST(retention, a_job_goes_only_when_it_has_ended_and_is_old)
{
    using enum retention_verdict;
    for (job_state state :
        {job_state::done, job_state::parked, job_state::cancelled})
    {
        EXPECT_EQ(judge(state, old).verdict, remove);
        EXPECT_EQ(judge(state, young).verdict, keep);
        EXPECT_EQ(judge(state, platform_time()).verdict, keep);
    }
    EXPECT_EQ(judge(job_state::queued, old).verdict, keep);
    EXPECT_EQ(judge(job_state::running, old).verdict, keep);
}

// Guards against command ids that are forgotten early, and against rows that
// go while the platform's time is not known.
TEST(retention, a_command_id_goes_only_when_it_is_old)
{
    using enum retention_verdict;
    auto get_row = [](platform_time at)
    {
        auto tx = make_fleet_append({}, {}, command_id("c"), at);
        return row{tx.writes[2].key, *tx.writes[2].value, row_version(1)};
    };
    EXPECT_EQ(make_rule().judge_command(get_row(old)).verdict, remove);
    EXPECT_EQ(make_rule().judge_command(get_row(young)).verdict, keep);
    EXPECT_EQ(
        make_rule().judge_command(get_row(platform_time())).verdict, keep);
    EXPECT_EQ(make_rule(0).judge_command(get_row(old)).verdict, keep);
    row before_times{"config/command/c", "{\"version\":4}", row_version(1)};
    EXPECT_EQ(make_rule().judge_command(before_times).verdict, keep);
}

} // namespace cowslippass
