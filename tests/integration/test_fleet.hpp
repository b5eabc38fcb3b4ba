#pragma once

#include "tests/integration/cluster.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cowslippass
{

/// How a caller's request ended, as the caller sees it.
struct caller_answer
{
    unsigned status = 0; ///< 0 when no whole answer came.
    std::string body;
    std::string code; ///< Of an error answer.
    std::string run;  ///< Of an error answer; `unknown` without an answer.

    bool is_ok() const { return status == 200; }
};

struct caller_request
{
    std::string queue = "urgent";
    std::string payload = "payload";
    std::string key = "red"; ///< Name of a team; its key is sent.
    std::string request_id;
    bool is_first_attempt = false; ///< Declares that the id was not sent yet.
    std::string run_ms;
    std::string deadline_ms;
    std::string first_sent; ///< Unix seconds.
    milliseconds timeout{35'000};
};

/// A cluster with the teams `red` (limit 16) and `blue` (limit 8), and in
/// pool `pool-1` the queues `urgent`, `once` (non-idempotent) and `slow`.
class test_fleet
{
public:
    explicit test_fleet(cluster_options options);

    cluster& get_cluster() { return cluster_; }

    /// Runs a statement through an entry; retries while the entry refuses
    /// because it has not been admitted yet.
    /// @throws std::runtime_error unless it succeeds.
    nlohmann::json run(const std::string& statement, std::size_t entry = 0,
        bool waits_in_force = false);

    /// Runs a statement once, whatever comes of it.
    http_result try_run(const std::string& statement, std::size_t entry,
        const std::string& command_id = "",
        milliseconds timeout = milliseconds(15'000));

    caller_answer post(const caller_request& request, std::size_t entry = 0);

    /// @return the answer to a GET or DELETE with a team's key.
    caller_answer ask(const std::string& method, const std::string& path,
        const std::string& team = "red", std::size_t entry = 0);

    /// @return runs of a request id, summed over the targets.
    std::uint64_t count_runs(const std::string& request_id);

    /// @return tasks that run now on all targets.
    std::size_t count_running();

    /// @return the last wall-clock time of a start in a data centre, in Unix
    ///   milliseconds; 0 without a start.
    std::int64_t get_last_start(const std::string& data_centre);

    /// Waits until each entry has seen its targets answer.
    void wait_until_serving();

    /// @return the secret of a team's key.
    const std::string& get_key(const std::string& team) const
    {
        return keys_.at(team);
    }

    const std::string& get_operator_secret() const { return operator_secret_; }

    /// Platform counters of the stand-in.
    nlohmann::json get_platform_counters();

private:
    cluster cluster_;
    std::string operator_secret_;
    std::map<std::string, std::string> keys_;
};

/// @return the result that the stand-in target makes of a payload.
std::string get_expected_result(const std::string& payload);

/// @return the wall clock in Unix milliseconds, as in the targets' start list.
std::int64_t get_unix_ms();

} // namespace cowslippass
