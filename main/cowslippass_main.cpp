#include "core/core.hpp"
#include "drivers/command_client.hpp"
#include "drivers/endpoint.hpp"
#include "systems/command_parser.hpp"
#include "systems/query_table.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <sstream>

DEFINE_string(entry, "",
    "Addresses of entries, IP:PORT[,IP:PORT...]. The next one is tried when "
    "one cannot be reached.");
DEFINE_string(key, "",
    "The operator's secret. Better set COWSLIPPASS_KEY, as other users of the "
    "machine can see arguments.");
DEFINE_string(output, "table", "Form of the answers: table or json.");
DEFINE_bool(wait, false, "Wait until a change is in force everywhere.");
DEFINE_bool(dry_run, false, "Check a change without committing it.");
DEFINE_int32(timeout_ms, 30'000, "Longest time for one statement.");
DECLARE_bool(help);

// Defined by gflags but not declared in its header. Its default exits with 1,
// which would look like a refused command.
namespace GFLAGS_NAMESPACE
{
extern void (*gflags_exitfunc)(int);
}

namespace
{

using namespace cowslippass;
using json = nlohmann::json;

enum exit_status
{
    exit_done = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_no_entry = 3,
    exit_not_in_force = 4,
    exit_unknown = 5
};

constexpr const char* usage_text =
    R"(sends a statement to the fleet and prints the answer.

  cowslippass --entry=IP:PORT[,IP:PORT...] [flags] STATEMENT
  cowslippass --entry=IP:PORT[,IP:PORT...] [flags] < FILE

The operator's secret is read from COWSLIPPASS_KEY. A statement is one argument
or several; docs/OPERATIONS.md describes the language.

A file has one statement on each line; empty lines and lines that begin with #
are skipped. All lines are checked before the first is sent, and the first
statement that is not done ends the run.

Teams, keys and operators:
  create team prints share 2 limit 40
  set team prints limit 20
  set team prints share 3
  grant key prints-web to team prints     (the answer shows the secret once)
  withdraw key prints-web
  grant operator anna                     (the answer shows the secret once)
  withdraw operator anna

Pools, queues, data centres:
  create pool previews max-unavailable 2
  create pool reserve spare
  set pool previews max-unavailable 3
  create queue quotes pool previews urgent non-idempotent team prints
  create queue renders pool renders slow
  create data-centre north
  take data-centre north out
  bring data-centre north back

Instances:
  add instance n17 data-centre north rack n4 address 10.0.4.17:8080 \
      pool previews slots 8 memory 32000000000
  drain instance n17                      (running tasks end, no new ones)
  move instance n17 to pool renders       (once it is drained or out)
  maintain instance n17                   (drains, reboots and returns)
  take instance n17 out
  bring instance n17 back
  remove instance n17

Work:
  cancel job 8d1f
  cancel jobs of team prints

Queries:
  show teams|keys|operators|pools|queues|data-centres|instances|sessions
  show entries|tasks|targets|jobs|limits|grants|maintenance
  show instances where pool = previews and state = out
  show jobs where team = prints order by job desc limit 20
  show tasks count by team

After all entries died at once, with the address of a new one:
  admit this entry

Exit status:
  0  done
  1  refused by an entry; nothing was changed
  2  wrong flags or syntax; nothing was sent
  3  no entry could be reached, or none could serve it; nothing was changed
  4  committed, but not yet in force (with --wait)
  5  the outcome of a change is unknown; look with a query before repeating it)";

/// Wrong flags or input; the message is printed with a hint to `--help`.
class usage_error : public error
{
public:
    explicit usage_error(const std::string& message) : error("usage", message)
    {
    }
};

struct statement
{
    std::string text;
    command parsed;
};

void print_error(const std::string& message)
{
    std::cerr << "cowslippass: " << message << '\n';
}

std::vector<tcp::endpoint> read_entries()
{
    std::vector<tcp::endpoint> out;
    std::istringstream in(FLAGS_entry);
    for (std::string it; std::getline(in, it, ',');)
        out.push_back(parse_endpoint(it));
    if (out.empty())
        throw usage_error("--entry is missing");
    return out;
}

std::string read_key()
{
    const char* variable = std::getenv("COWSLIPPASS_KEY");
    std::string key = FLAGS_key;
    if (key.empty() && variable)
        key = variable;
    if (key.empty())
        throw usage_error("neither --key nor COWSLIPPASS_KEY is set");
    // A line break would end the header that carries the key.
    if (std::any_of(key.begin(), key.end(),
            [](unsigned char c) { return c <= ' ' || c >= 0x7f; }))
        throw usage_error("the key has a character that is not allowed");
    return key;
}

statement read_statement(const std::string& text, const std::string& place)
try
{
    return {text, parse_command(text)};
}
catch (const command_syntax_error& e)
{
    throw usage_error(place + e.what());
}

std::vector<statement> read_statements(int argc, char** argv)
{
    std::string text;
    for (int i = 1; i < argc; ++i)
        text += (i > 1 ? " " : "") + std::string(argv[i]);
    if (!text.empty())
        return {read_statement(text, "")};
    std::vector<statement> out;
    std::size_t line = 0;
    while (std::getline(std::cin, text))
    {
        ++line;
        auto start = text.find_first_not_of(" \t\r");
        if (start != std::string::npos && text[start] != '#')
            out.push_back(
                read_statement(text, "line " + std::to_string(line) + ", "));
    }
    if (out.empty())
        throw usage_error("there is no statement");
    return out;
}

/// @return whether the answer to this statement shows a new secret.
bool has_secret(const command& it)
{
    const auto* change = std::get_if<change_command>(&it);
    return change &&
           (std::holds_alternative<grant_key_command>(*change) ||
               std::holds_alternative<grant_operator_command>(*change));
}

void print_query_answer(const std::string& body)
{
    query_answer answer = decode_answer(body);
    std::cout << format_table(answer.table);
    std::string names;
    for (const data_centre_id& it : answer.missing)
        names += (names.empty() ? "" : ", ") + it.get();
    if (!names.empty())
        print_error("rows are missing, as no entry answered in: " + names);
}

/// Prints the members of an answer to a change, one a line.
void print_change_answer(const json& answer)
{
    query_table table{"", {"field", "value"}, {}};
    for (const auto& [name, value] : answer.items())
        table.rows.push_back({name,
            value.is_string() ? value.get<std::string>() : value.dump()});
    std::cout << format_table(table);
}

exit_status print_answer(const statement& it, const std::string& body)
{
    json answer = json::parse(body, nullptr, false);
    bool is_query = std::holds_alternative<query_command>(it.parsed);
    if (FLAGS_output == "json")
        std::cout << body << '\n';
    else if (is_query)
        print_query_answer(body);
    else
        print_change_answer(answer);
    std::cout << std::flush;
    if (is_query || FLAGS_dry_run)
        return exit_done;
    // The entry that answered a repeated grant does not know its secret.
    if (has_secret(it.parsed) && !answer.contains("secret"))
        print_error("the secret was lost with the first answer; withdraw the "
                    "key or operator and grant it again");
    bool is_late =
        FLAGS_wait && answer.contains("in_force") && answer["in_force"] != true;
    return is_late ? exit_not_in_force : exit_done;
}

exit_status print_failure(const command_reply& reply)
{
    std::string code = reply.code.empty() ? "" : " (" + reply.code + ")";
    switch (reply.outcome)
    {
    case command_outcome::refused:
        print_error("refused" + code + ": " + reply.message);
        return exit_refused;
    case command_outcome::unknown:
        print_error("the outcome is unknown" + code + ": " + reply.message);
        return exit_unknown;
    default:
        print_error("no entry could serve it" + code + ": " + reply.message);
        return exit_no_entry;
    }
}

exit_status run_statement(const statement& it,
    const std::vector<tcp::endpoint>& entries, const std::string& key)
{
    command_request request;
    request.text = it.text;
    request.key = key;
    request.id = command_id(make_random_hex(16));
    request.is_change =
        !FLAGS_dry_run && !std::holds_alternative<query_command>(it.parsed);
    request.waits_until_in_force = FLAGS_wait;
    request.is_dry_run = FLAGS_dry_run;
    request.timeout = milliseconds(FLAGS_timeout_ms);
    asio::io_context io;
    command_reply reply;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        { reply = co_await send_command(io, entries, request); },
        asio::detached);
    io.run();
    if (reply.outcome != command_outcome::done)
        return print_failure(reply);
    return print_answer(it, reply.body);
}

/// Refuses flags that would make a statement do what was not meant.
void check_use(const statement& it, std::size_t entries)
{
    bool is_admit = std::holds_alternative<admit_command>(it.parsed);
    bool is_cancel = std::holds_alternative<cancel_command>(it.parsed);
    if (is_admit && entries > 1)
        throw usage_error("'" + it.text + "' needs one address in --entry");
    if (FLAGS_dry_run && (is_admit || is_cancel))
        throw usage_error("--dry_run cannot be used with '" + it.text + "'");
}

exit_status run(int argc, char** argv)
{
    if (FLAGS_output != "table" && FLAGS_output != "json")
        throw usage_error("--output is table or json");
    if (FLAGS_timeout_ms <= 0)
        throw usage_error("--timeout_ms must be positive");
    auto statements = read_statements(argc, argv);
    auto entries = read_entries();
    for (const statement& it : statements)
        check_use(it, entries.size());
    std::string key = read_key();
    for (const statement& it : statements)
    {
        exit_status status = run_statement(it, entries, key);
        if (status == exit_done)
            continue;
        if (statements.size() > 1)
            print_error("stopped at: " + it.text);
        return status;
    }
    return exit_done;
}

} // namespace

int main(int argc, char** argv)
try
{
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int status)
    { std::exit(status == 0 ? exit_done : exit_usage); };
    gflags::SetUsageMessage(usage_text);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help)
    {
        // Flags of the library itself would hide the few that matter here.
        gflags::ShowUsageWithFlagsRestrict("cowslippass", "cowslippass_main");
        return exit_done;
    }
    gflags::HandleCommandLineHelpFlags();
    return run(argc, argv);
}
catch (const usage_error& e)
{
    print_error(e.what());
    print_error("see --help");
    return exit_usage;
}
catch (const platform_error& e)
{
    print_error(e.what());
    return exit_usage;
}
catch (const error& e)
{
    print_error(e.what());
    return exit_no_entry;
}
