#include "drivers/settings_table.hpp"

#include "drivers/endpoint.hpp"
#include "systems/timing.hpp"

#include <algorithm>
#include <array>

namespace cowslippass
{

namespace
{

constexpr std::size_t max_id_characters = 64;
// A forwarded request with its headers must fit into one frame of 16 MiB.
constexpr std::int64_t max_body_bytes = 15 * 1024 * 1024;
// The grants of a dead session are released after a delay computed from these
// three constants. With longer settings its tasks would outlive its grants.
constexpr std::int64_t max_freshness_limit = freshness_limit.count();
constexpr std::int64_t max_start_deadline = start_deadline.count();
constexpr std::int64_t max_task_lease = task_lease.count();

// At least as long as targets keep ended tasks, which exceeds every wait of a
// caller.
constexpr std::int64_t min_lifetime = ended_task_retention.count();
constexpr std::int64_t max_lifetime = 30LL * 24 * 3'600 * 1'000;

bool is_id(std::string_view text)
{
    auto is_allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_id_characters &&
           std::ranges::all_of(text, is_allowed);
}

bool is_digest_or_empty(std::string_view text)
{
    auto is_hex = [](char c)
    { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.empty() ||
           (text.size() == 64 && std::ranges::all_of(text, is_hex));
}

bool is_address_or_empty(std::string_view text)
try
{
    return text.empty() || parse_endpoint(text).port() != 0;
}
catch (const platform_error&)
{
    return false;
}

bool is_log_level(std::string_view text)
{
    constexpr std::array levels{"debug", "info", "warn", "error"};
    return std::ranges::find(levels, text) != levels.end();
}

// Completions of "must be ...". The settings page quotes them, and the
// descriptions below, word for word.
constexpr std::string_view id_allowed =
    "1 to 64 letters, digits, '-', '_' or '.'";
constexpr std::string_view listen_allowed =
    "IP:port or [IPv6]:port; port 0 lets the system choose";
constexpr std::string_view advertise_allowed =
    "IP:port or [IPv6]:port with port 1 to 65535, or empty";

const std::array descriptions{
    setting_description{"entry", &settings::entry, true, "", id_allowed,
        "Name of this entry instance; stays the same over restarts.", 0, 0,
        is_id},
    setting_description{"data_centre", &settings::data_centre, true, "",
        id_allowed, "Data centre in which this entry runs.", 0, 0, is_id},
    setting_description{"http_listen", &settings::http_listen, true, "",
        listen_allowed, "Address for callers, operators and scrapers.", 0,
        65535},
    setting_description{"peer_listen", &settings::peer_listen, true, "",
        listen_allowed, "Address for the other entries.", 0, 65535},
    setting_description{"platform", &settings::platform, true, "",
        "IP:port or [IPv6]:port with port 1 to 65535",
        "HTTP address of the platform.", 1, 65535},
    setting_description{"http_advertise", &settings::http_advertise, false, "",
        advertise_allowed,
        "Address for callers that other entries are told; empty means the "
        "bound one.",
        0, 0, is_address_or_empty},
    setting_description{"peer_advertise", &settings::peer_advertise, false, "",
        advertise_allowed,
        "Address that other entries connect to; empty means the bound one.", 0,
        0, is_address_or_empty},
    setting_description{"max_body_bytes", &settings::max_body_bytes, false,
        "bytes", "1 to 15728640",
        "Largest request body. A forwarded request must fit into one frame of "
        "16 MiB.",
        1, max_body_bytes},
    setting_description{"max_connections", &settings::max_connections, false,
        "connections", "16 to 65536",
        "Open connections of callers, operators and scrapers. The process "
        "needs further descriptors for its peers, the platform and targets. "
        "Beyond it, idle connections are closed first.",
        16, 65'536},
    setting_description{"max_buffered_bytes", &settings::max_buffered_bytes,
        false, "bytes", "1048576 to 1073741824",
        "Bound on the bytes of all requests and responses in this entry's "
        "connections. Beyond it, the slowest of them are closed first.",
        1024 * 1024, 1024 * 1024 * 1024},
    setting_description{"message_time_ms", &settings::message_time, false, "ms",
        "100 to 600000",
        "Longest time between the first and the last byte of a request.", 100,
        600'000},
    setting_description{"max_waiting_bytes", &settings::max_waiting_bytes,
        false, "bytes", "65536 to 1073741824",
        "Bound on the payloads and rows of all work that waits in this entry; "
        "beyond it teams with more than their part are refused.",
        64 * 1024, 1024 * 1024 * 1024},
    setting_description{"freshness_limit_ms", &settings::freshness_limit, false,
        "ms", "100 to 4000",
        "Age of the newest known configuration above which an entry starts "
        "nothing; also the time after which a change is in force everywhere.",
        100, max_freshness_limit},
    setting_description{"start_deadline_ms", &settings::start_deadline, false,
        "ms", "50 to 2000",
        "Time after which a target refuses a start that was delayed.", 50,
        max_start_deadline},
    setting_description{"task_lease_ms", &settings::task_lease, false, "ms",
        "3000 to 10000",
        "Time without renewal after which a target stops a task. Shorter "
        "leases lapse during a change of pool owner.",
        3'000, max_task_lease},
    setting_description{"heartbeat_interval_ms", &settings::heartbeat_interval,
        false, "ms", "100 to 60000",
        "Interval between writes of the entry's heartbeat row.", 100, 60'000},
    setting_description{"session_death_ms", &settings::session_death, false,
        "ms", "300 to 600000",
        "Time without a heartbeat after which a session is ended.", 300,
        600'000},
    setting_description{"balancer_lag_ms", &settings::balancer_lag, false, "ms",
        "0 to 600000",
        "Time that a stopping entry keeps serving after /readyz reports that "
        "it leaves.",
        0, 600'000},
    setting_description{"urgent_deadline_ms", &settings::urgent_deadline, false,
        "ms", "100 to 600000", "Longest wait of a caller of an urgent queue.",
        100, 600'000},
    setting_description{"request_lifetime_ms", &settings::request_lifetime,
        false, "ms", "600000 to 2592000000",
        "Time for which a request id is remembered: a claim from its start, an "
        "ended slow job from its end, each with its result.",
        min_lifetime, max_lifetime},
    setting_description{"command_lifetime_ms", &settings::command_lifetime,
        false, "ms", "600000 to 2592000000",
        "Time for which a Command-Id is remembered after its commit.",
        min_lifetime, max_lifetime},
    setting_description{"clean_up_writes_per_second",
        &settings::clean_up_writes_per_second, false, "writes/s", "1 to 200",
        "Most rows and objects that the clean-up removes a second in the "
        "fleet. An ended request has one of each.",
        1, 200},
    setting_description{"bootstrap_secret_sha256",
        &settings::bootstrap_secret_sha256, false, "",
        "64 lower-case hex digits, or empty",
        "SHA-256 digest of the secret that may create the first operator; "
        "empty means none.",
        0, 0, is_digest_or_empty},
    setting_description{"log_file", &settings::log_file, false, "", "a path",
        "File that log lines are appended to; empty means standard error."},
    setting_description{"log_level", &settings::log_level, false, "",
        "debug, info, warn or error", "Lowest level that is logged.", 0, 0,
        is_log_level},
};

const std::array relations{
    setting_relation{"heartbeat_interval_ms",
        "at most a third of session_death_ms, so that two lost heartbeats do "
        "not end a session",
        [](const settings& all)
        { return all.heartbeat_interval * 3 <= all.session_death; }},
    setting_relation{"start_deadline_ms",
        "at most freshness_limit_ms, as a start is never allowed beyond the "
        "end of freshness",
        [](const settings& all)
        { return all.start_deadline <= all.freshness_limit; }},
    setting_relation{"request_lifetime_ms",
        "at least 2 x urgent_deadline_ms, so that a repeat after the longest "
        "wait finds the outcome",
        [](const settings& all)
        { return all.urgent_deadline * 2 <= all.request_lifetime; }},
    setting_relation{"max_buffered_bytes",
        "at least 2 x max_body_bytes, so that the largest request fits beside "
        "others",
        [](const settings& all)
        { return all.max_body_bytes * 2 <= all.max_buffered_bytes; }},
};

struct default_formatter
{
    const settings& defaults;

    template <class Tag>
    std::string operator()(strong_id<Tag, std::string> settings::*) const
    {
        return "";
    }
    std::string operator()(tcp::endpoint settings::*) const { return ""; }
    std::string operator()(std::string settings::*member) const
    {
        return '"' + defaults.*member + '"';
    }
    std::string operator()(std::size_t settings::*member) const
    {
        return std::to_string(defaults.*member);
    }
    std::string operator()(milliseconds settings::*member) const
    {
        return std::to_string((defaults.*member).count());
    }
};

} // namespace

std::span<const setting_description> get_setting_descriptions()
{
    return descriptions;
}

std::span<const setting_relation> get_setting_relations()
{
    return relations;
}

std::string format_default(const setting_description& description)
{
    if (description.is_required)
        return "required";
    settings defaults;
    return std::visit(default_formatter{defaults}, description.member);
}

std::string format_settings_tables()
{
    std::string out = "| name | meaning | unit | default | allowed |\n"
                      "|---|---|---|---|---|\n";
    for (const setting_description& it : descriptions)
    {
        out.append("| `").append(it.name).append("` | ").append(it.meaning);
        out.append(" | ").append(it.unit.empty() ? "text" : it.unit);
        out.append(" | ").append(format_default(it));
        out.append(" | ").append(it.allowed).append(" |\n");
    }
    out.append("\n| setting | relation |\n|---|---|\n");
    for (const setting_relation& it : relations)
        out.append("| `")
            .append(it.name)
            .append("` | ")
            .append(it.allowed)
            .append(" |\n");
    return out;
}

} // namespace cowslippass
