#include "platform/submission_codec.hpp"

#include "core/errors.hpp"

#include <cmath>
#include <functional>
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

// Guards against a number that is narrowed in silence: of 2^32 + 2 tasks two
// were run, and the job was shown as completed. Each field that holds a number
// is read exactly, or refused with an error that names it.
TEST(submission_codec, reads_numbers_exactly_or_refuses_them)
{
    struct number_field
    {
        std::string name;
        std::function<std::int64_t(const job_spec&)> get;
        /// The other members of the document that the value needs.
        std::string beside;
        bool is_of_step = true;
    };
    const std::vector<number_field> fields{
        {"count",
            [](const job_spec& it) -> std::int64_t
            { return it.steps.at(0).task_count; },
            {}},
        {"cpu",
            [](const job_spec& it) { return it.steps.at(0).need.processor; },
            {}},
        {"memMb", [](const job_spec& it) { return it.steps.at(0).need.memory; },
            {}},
        {"gpus",
            [](const job_spec& it) { return it.steps.at(0).need.accelerators; },
            {}},
        {"estimateMs",
            [](const job_spec& it) -> std::int64_t
            { return it.steps.at(0).estimate.count(); },
            {}},
        {"maxPerServer",
            [](const job_spec& it) -> std::int64_t
            { return it.steps.at(0).max_per_target; },
            {}},
        {"targetMs",
            [](const job_spec& it) -> std::int64_t
            { return it.steps.at(0).tail_latency_limit.count(); },
            {}},
        {"mayMiss",
            [](const job_spec& it) -> std::int64_t
            { return it.steps.at(0).max_unavailable; },
            {}},
        {"repeatCount",
            [](const job_spec& it) -> std::int64_t { return it.repeat_count; },
            {}, false},
        {"startTimeMs", [](const job_spec& it) { return it.first_start.get(); },
            R"("repeatCount":2,)", false},
        {"intervalMs",
            [](const job_spec& it) -> std::int64_t
            { return it.interval.count(); },
            R"("repeatCount":2,)", false}};
    const std::vector<std::pair<std::string, long double>> values{{"-1", -1.0L},
        {"1", 1.0L}, {"7", 7.0L}, {"2147483648", 0x1p31L},
        {"4294967295", 0x1p32L - 1}, {"4294967298", 0x1p32L + 2},
        {"9007199254740992", 0x1p53L}, {"9223372036854775807", 0x1p63L - 1},
        {"9223372036854775808", 0x1p63L}, {"18446744073709551615", 0x1p64L - 1},
        {"18446744073709551618", 0x1p64L + 2}, {"1e30", 1e30L},
        {"-1e30", -1e30L}, {"4294967298.0", 0x1p32L + 2}};
    for (const number_field& field : fields)
        for (const auto& [text, value] : values)
        {
            std::string member = '"' + field.name + "\":" + text;
            std::string document =
                field.is_of_step ? R"({"spec":"s","steps":[{)" + member + "}]}"
                                 : R"({"spec":"s",)" + field.beside + member +
                                       R"(,"steps":[{"count":1}]})";
            try
            {
                job_spec it = decode_submission(document);
                EXPECT_EQ(static_cast<long double>(field.get(it)), value)
                    << document;
            }
            catch (const platform_error& e)
            {
                EXPECT_GT(std::abs(value - 4.0L), 3.0L) << document;
            }
        }
    for (const number_field& field : fields)
        for (const char* text : {"\"3\"", "null", "true", "[1]", "{}"})
        {
            std::string member = '"' + field.name + "\":" + text;
            std::string document =
                field.is_of_step ? R"({"steps":[{)" + member + "}]}"
                                 : R"({"steps":[{"count":1}],)" + member + '}';
            try
            {
                decode_submission(document);
                ADD_FAILURE() << document;
            }
            catch (const platform_error& e)
            {
                EXPECT_NE(
                    std::string(e.what()).find(field.name), std::string::npos)
                    << e.what();
            }
        }
    // 2^32 is taken as step 0, and 2^32 + 1 as step 1.
    for (const char* before :
        {"[4294967296]", "[-1]", "[0.5]", "[\"0\"]", "0", "{\"0\":0}"})
        EXPECT_THROW(
            decode_submission(
                std::string(R"({"steps":[{"count":1},{"count":1,"after":)") +
                before + "}]}"),
            platform_error)
            << before;
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
