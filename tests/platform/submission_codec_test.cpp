#include "platform/submission_codec.hpp"

#include "core/errors.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

// Guards against a field of a submission that is decoded into the wrong member.
TEST(submission_codec, decodes_every_field)
{
    job_spec it = decode_submission(
        R"({"spec":"p","steps":[{"count":4,"cpu":500,"memMb":256,"gpus":1,
        "estimateMs":900,"dataRack":"r1"},{"after":[0],"checkpoint":true,
        "gang":true,"sameRack":true,"requiredLabel":"l","maxPerServer":2,
        "speculative":true,"longRunning":true,"image":"i","targetMs":7,
        "fills":true,"mayMiss":3}],"repeatCount":5,"startTimeMs":6,
        "intervalMs":8})");
    EXPECT_EQ(it.payload, "p");
    ASSERT_EQ(it.steps.size(), 2U);
    EXPECT_EQ(it.steps[0].task_count, 4U);
    EXPECT_EQ(it.steps[0].need, (resources{500, 256, 1}));
    EXPECT_EQ(it.steps[0].estimate, milliseconds(900));
    EXPECT_EQ(it.steps[0].data_rack, rack_id("r1"));
    const step_spec& step = it.steps[1];
    EXPECT_EQ(step.task_count, 1U);
    EXPECT_EQ(step.after, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(step.saves_checkpoints && step.is_gang &&
                step.prefers_one_rack && step.allows_speculative_runs &&
                step.is_long_running && step.is_best_effort);
    EXPECT_EQ(step.required_label, "l");
    EXPECT_EQ(step.max_per_target, 2U);
    EXPECT_EQ(step.tail_latency_limit, milliseconds(7));
    EXPECT_EQ(step.max_unavailable, 3U);
    EXPECT_EQ(it.repeat_count, 5U);
    EXPECT_EQ(it.first_start, platform_time(6));
    EXPECT_EQ(it.interval, milliseconds(8));
}

// Guards against an invalid submission that ends the process with an unexpected
// exception or is accepted as a job.
TEST(submission_codec, rejects_invalid_submissions)
{
    for (const char* text :
        {"", "{", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
            R"({"steps":[{"count":"x"}]})", R"({"steps":[{"count":-1}]})",
            R"({"steps":[{"after":[0]}]})", R"({"steps":[{"cpu":-5}]})"})
        EXPECT_THROW(decode_submission(text), platform_error) << text;
}

// Guards against a path that is taken for a job although the rest of it is no
// job id: too short, too long or with a character that is no hexadecimal digit.
TEST(submission_codec, parses_only_job_identifiers)
{
    EXPECT_EQ(parse_job_id("5c0e7a21d94b36f8"), job_id("5c0e7a21d94b36f8"));
    for (const char* text : {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f8a",
             "5c0e7a21d94b36g8", "5c0e7a21d94b36f/"})
        EXPECT_FALSE(parse_job_id(text)) << text;
}

// Guards against answers whose spelling callers do not know: their protocol
// writes "canceled" with one l, unlike the code.
TEST(submission_codec, encodes_replies_to_callers)
{
    EXPECT_EQ(
        encode_job_state(job_phase::cancelled), R"({"state":"canceled"})");
    EXPECT_EQ(
        encode_job_state(job_phase::completed), R"({"state":"completed"})");
    EXPECT_EQ(encode_pending_job_count(12), R"({"pending":12})");
}

// A body whose tree takes a hundred times the memory of its text.
TEST(submission_codec, rejects_deep_nesting_before_it_is_parsed)
{
    std::string nested(1'000, '[');
    EXPECT_THROW(decode_submission(R"({"steps":[],"x":)" + nested +
                                   std::string(1'000, ']') + "}"),
        platform_error);
    // Brackets of a text, behind an escaped quotation mark, do not nest.
    EXPECT_NO_THROW(decode_submission(
        R"({"spec":"\"x)" + nested + R"(","steps":[{"count":1,"cpu":1}]})"));
}

} // namespace cowslippass
