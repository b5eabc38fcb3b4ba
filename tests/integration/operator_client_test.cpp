#include "drivers/drivers.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <sys/wait.h>
#include <thread>

namespace cowslippass
{

namespace
{

http_server_options make_options()
{
    http_server_options out;
    out.endpoint = parse_endpoint("127.0.0.1:0");
    return out;
}

/// An entry that gives one fixed answer, in a thread of its own.
class fixed_entry
{
public:
    fixed_entry(unsigned status, std::string body)
        : response_{status, {}, std::move(body)},
          server_(io_, make_options(),
              [this](http_request request) -> asio::awaitable<http_response>
              {
                  requests.push_back(std::move(request));
                  co_return response_;
              }),
          thread_([this] { io_.run(); })
    {
    }

    ~fixed_entry()
    {
        io_.stop();
        thread_.join();
    }

    std::string get_address() const
    {
        return "127.0.0.1:" + std::to_string(server_.get_port());
    }

    /// Only read after the client has ended.
    std::vector<http_request> requests;

private:
    asio::io_context io_;
    http_response response_;
    http_server server_;
    std::thread thread_;
};

struct program_result
{
    int status = -1;
    std::string output; ///< Standard output and error.
};

/// @param line for the shell, after the program's name.
/// @param input for the program's standard input, without single quotes.
program_result run_client(
    const std::string& line, const std::string& input = "")
{
    std::string command = "printf %s '" + input +
                          "' | COWSLIPPASS_KEY=secret '" PROGRAM_DIR
                          "/cowslippass' " +
                          line + " 2>&1";
    std::FILE* pipe = popen(command.c_str(), "r");
    program_result out;
    char buf[4096];
    while (std::size_t n = std::fread(buf, 1, sizeof buf, pipe))
        out.output.append(buf, n);
    int status = pclose(pipe);
    if (WIFEXITED(status))
        out.status = WEXITSTATUS(status);
    return out;
}

program_result run_client(const fixed_entry& entry, const std::string& line,
    const std::string& input = "")
{
    return run_client("--entry=" + entry.get_address() + " " + line, input);
}

bool contains(const program_result& result, const std::string& text)
{
    return result.output.find(text) != std::string::npos;
}

} // namespace

TEST(operator_client, shows_queries_as_table_and_json)
{
    std::string body = R"({"columns":["team","limit"],"rows":[["a",5]],)";
    body += R"("version":3,"age_ms":1,"missing":["north"]})";
    fixed_entry entry(200, body);
    auto result = run_client(entry, "show teams");
    EXPECT_EQ(result.status, 0);
    EXPECT_TRUE(contains(result, "team  limit\na         5\n"))
        << result.output;
    EXPECT_TRUE(contains(result, "no entry answered in: north"))
        << result.output;
    result = run_client(entry, "--output=json show teams");
    EXPECT_EQ(result.output, body + "\n");
}

// Guards against flags that do not reach the entry, and against exit statuses
// that scripts would misread.
TEST(operator_client, sends_changes_and_tells_their_outcome)
{
    fixed_entry entry(200, R"({"committed":4,"in_force":false,"records":1})");
    auto result = run_client(entry, "drain instance i1");
    EXPECT_EQ(result.status, 0) << result.output;
    EXPECT_EQ(run_client(entry, "--wait drain instance i1").status, 4);
    EXPECT_EQ(run_client(entry, "--dry-run drain instance i1").status, 0);
    ASSERT_EQ(entry.requests.size(), 3u);
    EXPECT_EQ(entry.requests[0].path, "/v1/command");
    EXPECT_EQ(entry.requests[0].body, "drain instance i1");
    EXPECT_EQ(entry.requests[0].get_header("Authorization"), "Bearer secret");
    EXPECT_EQ(entry.requests[0].get_header("Wait"), "");
    EXPECT_EQ(entry.requests[1].get_header("Wait"), "1");
    EXPECT_EQ(entry.requests[2].get_header("Dry-Run"), "1");
    EXPECT_NE(entry.requests[0].get_header("Command-Id"),
        entry.requests[1].get_header("Command-Id"));
    result = run_client(entry, "grant key k to team t");
    EXPECT_TRUE(contains(result, "the secret was lost")) << result.output;
}

TEST(operator_client, failures_have_statuses_of_their_own)
{
    fixed_entry refusing(409, R"({"code":"no_change","message":"it is out"})");
    auto result = run_client(refusing, "take instance i1 out");
    EXPECT_EQ(result.status, 1);
    EXPECT_TRUE(contains(result, "refused (no_change): ")) << result.output;
    fixed_entry broken(500, R"({"code":"internal","message":"m"})");
    EXPECT_EQ(run_client(broken, "take instance i1 out").status, 5);
    EXPECT_EQ(run_client(broken, "show teams").status, 3);
    std::size_t count = refusing.requests.size();
    for (const char* line : {"", "take instance i1", "--nosuch show teams",
             "--output=xml show teams", "--timeout_ms=0 show teams",
             "--timeout_ms=soon show teams", "--key='a b' show teams",
             "--dry_run cancel job j",
             "--entry=127.0.0.1:1,127.0.0.1:2 admit this entry"})
        EXPECT_EQ(run_client(refusing, line).status, 2) << line;
    EXPECT_EQ(run_client("show teams").status, 2);
    EXPECT_EQ(run_client("--entry=host:1 show teams").status, 2);
    EXPECT_EQ(refusing.requests.size(), count);
}

// Guards against a file that is run in part although a later line is wrong,
// and against a run that goes on after a refusal.
TEST(operator_client, a_file_is_checked_first_and_stops_at_a_failure)
{
    fixed_entry entry(409, R"({"code":"no_change","message":"m"})");
    auto result =
        run_client(entry, "", "# set-up\n\ncreate pool p\ncreate pool\n");
    EXPECT_EQ(result.status, 2);
    EXPECT_TRUE(contains(result, "line 4, at column 12")) << result.output;
    EXPECT_TRUE(entry.requests.empty());
    result = run_client(entry, "", "create pool p\ncreate pool q\n");
    EXPECT_EQ(result.status, 1);
    EXPECT_EQ(entry.requests.size(), 1u);
}

TEST(operator_client, help_shows_its_own_flags_only)
{
    auto result = run_client("--help");
    EXPECT_EQ(result.status, 0);
    EXPECT_TRUE(contains(result, "take data-centre north out"))
        << result.output;
    EXPECT_TRUE(contains(result, "-dry_run")) << result.output;
    EXPECT_FALSE(contains(result, "-flagfile"));
}

// Guards against a wrong flag that ends the daemon with the status of a second
// SIGTERM, and against statuses that the help does not name.
TEST(operator_client, help_of_the_daemon_names_the_exit_statuses)
{
    auto result = run_client("--help; '" PROGRAM_DIR "/cowslippassd' --help");
    EXPECT_EQ(result.status, 0);
    EXPECT_TRUE(contains(result, "2  wrong flags or settings"))
        << result.output;
    result = run_client("--help; '" PROGRAM_DIR "/cowslippassd' --nosuch");
    EXPECT_EQ(result.status, 2) << result.output;
}

} // namespace cowslippass
