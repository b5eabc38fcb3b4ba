#pragma once

#include "tests/integration/test_fleet.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace cowslippass
{

/// A start as a target recorded it.
struct recorded_start
{
    std::string target;
    std::string data_centre;
    std::string request_id;
    std::string kind;            ///< `urgent` or `slow`.
    std::string owner;           ///< Session that started it.
    std::int64_t started_ms = 0; ///< Unix time.
    std::int64_t ended_ms = 0;   ///< Unix time; the largest value if running.
};

/// @return the starts of all targets at or after a time, earliest first.
std::vector<recorded_start> list_starts(
    test_fleet& fleet, std::int64_t since_unix_ms = 0);

/// @return the highest number of tasks that ran at the same time. An end and
///   a start in the same millisecond count as end before start.
std::size_t find_highest_running(const std::vector<recorded_start>& starts);

/// @return the number of tasks that ran at each start, with the started one.
std::vector<std::size_t> count_running_at_starts(
    const std::vector<recorded_start>& starts);

/// @return the entry that owns the only pool in a data centre, by its log.
/// @throws std::runtime_error when there is none within 20 s.
std::size_t find_pool_owner(test_fleet& fleet, const std::string& data_centre);

/// @return the newest session of an entry, by its log.
/// @throws std::runtime_error when it has none.
std::string find_session(const cluster_entry& entry);

/// Callers that post requests one after the other until `stop`.
class caller_load
{
public:
    /// @param entries places of the entries, used in turn.
    caller_load(test_fleet& fleet, caller_request request, std::size_t callers,
        std::vector<std::size_t> entries);
    ~caller_load();
    caller_load(const caller_load&) = delete;
    caller_load& operator=(const caller_load&) = delete;

    void stop();

    std::size_t get_success_count() const { return successes_; }

    /// @return answers with status 200 and a wrong body.
    std::size_t get_wrong_count() const { return wrong_; }

private:
    void run(std::size_t caller);

    test_fleet& fleet_;
    caller_request request_;
    std::vector<std::size_t> entries_;
    std::atomic<bool> is_stopped_ = false;
    std::atomic<std::size_t> successes_ = 0;
    std::atomic<std::size_t> wrong_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace cowslippass
