#include "tests/integration/test_fleet.hpp"

#include <gmock/gmock.h>

#include <csignal>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;
using testing::HasSubstr;

cluster_options make_options()
{
    cluster_options out;
    out.entries_per_data_centre = 2;
    return out;
}

json get_refusal(const http_result& result)
{
    if (!result.response || result.response->status < 400)
        return {{"code", "none"}, {"message", ""}};
    return json::parse(result.response->body);
}

} // namespace

// Guards against a table that cannot be asked by its name, and against columns
// that cannot be filtered, ordered or counted by.
TEST(operator_statements, every_table_answers_filters_order_and_counts)
{
    test_fleet fleet(make_options());
    for (std::string table : {"tasks", "targets", "instances", "pools", "teams",
             "keys", "queues", "data-centres", "entries", "limits", "grants",
             "maintenance", "jobs", "sessions", "operators"})
    {
        SCOPED_TRACE(table);
        json answer = fleet.run("show " + table);
        ASSERT_FALSE(answer["columns"].empty());
        std::string field = answer["columns"][0];
        answer = fleet.run("show " + table + " where " + field +
                           " = none order by count limit 1 count by " + field);
        EXPECT_EQ(answer["columns"], json({field, "count"}));
    }
    json limits = fleet.run("show limits where team = red");
    ASSERT_EQ(limits["rows"].size(), 1u);
    EXPECT_EQ(limits["rows"][0][2], 16);
    // All is granted or not granted, over both entries.
    EXPECT_EQ(
        limits["rows"][0][3].get<int>() + limits["rows"][0][5].get<int>(), 16);
}

// Guards against an empty answer that looks as if nothing were there.
TEST(operator_statements, unknown_tables_and_dry_cancellations_are_refused)
{
    test_fleet fleet((cluster_options()));
    json refusal = get_refusal(fleet.try_run("  show  limit", 0));
    EXPECT_EQ(refusal["code"], "unknown_table");
    EXPECT_THAT(refusal["message"].get<std::string>(),
        HasSubstr("at column 9: there is no table 'limit'; the tables are "
                  "data-centres, entries, grants, instances, jobs, keys, "
                  "limits, maintenance, operators"));
    refusal = get_refusal(fleet.try_run("admit this entry now", 0));
    EXPECT_EQ(refusal["code"], "syntax");
    EXPECT_THAT(
        refusal["message"].get<std::string>(), HasSubstr("at column 18"));
    EXPECT_EQ(fleet.run(" admit  this entry")["admitted"], true);
    // It would cancel what it is asked to check only.
    http_request cancel{"POST", "/v1/command", {},
        {{"Authorization", "Bearer " + fleet.get_operator_secret()},
            {"Dry-Run", "1"}},
        "cancel jobs of team red"};
    auto& entry = fleet.get_cluster().get_entries()[0];
    refusal = get_refusal(fetch(entry.get_http_endpoint(), cancel));
    EXPECT_EQ(refusal["code"], "no_dry_run");
}

// Guards against an entry that is left out as if the fleet did not have it.
TEST(operator_statements, entries_are_shown_live_or_silent)
{
    test_fleet fleet(make_options());
    json entries = fleet.run("show entries where state = live");
    ASSERT_EQ(entries["rows"].size(), 2u);
    json owners = fleet.run("show entries where pools = pool-1");
    EXPECT_EQ(owners["rows"].size(), 1u);
    fleet.get_cluster().get_entries()[1].process->kill(SIGKILL);
    json silent = fleet.run("show entries where state = silent");
    ASSERT_EQ(silent["rows"].size(), 1u);
    EXPECT_EQ(silent["rows"][0][0], "entry-1-2");
    EXPECT_EQ(silent["missing"], json({"dc-1"}));
}

// Guards against a caller whose wait controls how much is logged.
TEST(operator_statements, retries_of_a_request_share_one_decision_line)
{
    test_fleet fleet((cluster_options()));
    fleet.run("create pool idle");
    fleet.run("create queue nowhere pool idle urgent");
    caller_request request;
    request.queue = "nowhere";
    request.request_id = "waits-long";
    request.deadline_ms = "1500";
    EXPECT_EQ(fleet.post(request).code, "no_target");
    auto& process = *fleet.get_cluster().get_entries()[0].process;
    std::istringstream log(process.get_errors(10'000'000));
    std::vector<json> lines;
    for (std::string line; std::getline(log, line);)
        if (line.find("decision.routing") != std::string::npos &&
            line.find("waits-long") != std::string::npos)
            lines.push_back(json::parse(line));
    // The first attempt, the reason for which it is repeated, and the end.
    ASSERT_EQ(lines.size(), 3u);
    EXPECT_EQ(lines[1]["reason"], "no_target");
    EXPECT_EQ(lines[2]["rule"], "no_target");
    EXPECT_GT(lines[2]["attempts"], 2);
}

} // namespace cowslippass
