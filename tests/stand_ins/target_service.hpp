#pragma once

#include "tests/stand_ins/stand_in_server.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

struct target_options
{
    std::string id = "target";
    std::size_t slots = 8;
    milliseconds run_time{50};
    milliseconds usage_lag{0};
};

/// Stand-in for a target: runs tasks on timers, under leases and start
/// deadlines, with the faults of section 4.2 of the design.
class target_service
{
public:
    target_service(asio::io_context& io, target_options options);

    asio::awaitable<stand_in_response> handle(http_request request);

    /// The server whose connection counts `GET /control/runs` shows.
    void set_server(const stand_in_server* server) { server_ = server; }

private:
    struct task
    {
        std::string id;
        std::string owner;
        std::string kind;
        std::string request_id;
        std::string state = "running";
        std::string payload; ///< Given up when the task ends.
        std::string result;
        double remaining_ms = 0; ///< Of run time at full speed.
        double run_ms = 0;
        double checkpoint_ms = 0; ///< Run time saved by the last checkpoint.
        bool is_throttled = false;
        bool is_failing = false;
        monotonic_time advanced_at; ///< Time that `remaining_ms` refers to.
        monotonic_time lease_end;
        monotonic_time ended_at;
        std::optional<std::size_t> start_index; ///< Place in `starts_`.
    };
    struct usage_sample
    {
        monotonic_time at;
        std::size_t running;
    };

    std::int64_t get_clock_ms(monotonic_time at) const;
    asio::awaitable<void> wait_until_thawed();
    asio::awaitable<http_response> dispatch(const http_request& request);
    asio::awaitable<http_response> sync(const http_request& request);
    http_response start(const std::string& id, const http_request& request);
    http_response refuse(unsigned status, const std::string& reason);
    http_response list_tasks() const;
    http_response get_task(const std::string& id) const;
    http_response get_result(const std::string& id) const;
    http_response change_task(
        const std::string& id, const std::string& operation);
    http_response reboot();
    http_response get_usage() const;
    http_response set_control(const nlohmann::json& control);
    http_response get_runs() const;

    nlohmann::json describe(const task& it) const;
    void advance(task& it, monotonic_time now);
    void end_task(task& it, const std::string& state);
    void drop_ended(monotonic_time now);
    void note_usage();
    void note_start(task& it);
    /// Ends tasks whose run time or lease is over, and sets the timer for the
    /// next such time.
    void update_tasks();
    bool has_ended_task(const std::vector<std::string>& ids) const;

    asio::io_context& io_;
    target_options options_;
    std::string boot_ = make_random_hex(8);
    std::int64_t clock_offset_ms_;
    const stand_in_server* server_ = nullptr;
    asio::steady_timer timer_;
    std::map<std::string, task> tasks_;
    std::deque<std::string> ended_; ///< Oldest first.
    std::map<std::string, std::vector<std::string>> ended_by_owner_;
    std::size_t ended_bytes_ = 0;
    std::size_t running_ = 0;
    std::deque<usage_sample> usage_;
    /// One timer for each long poll; cancelled when a task ends.
    std::vector<std::shared_ptr<asio::steady_timer>> pollers_;

    monotonic_time frozen_until_{};
    bool fails_all_ = false;
    bool is_leaving_ = false;
    bool truncates_results_ = false;

    std::map<std::string, std::uint64_t> runs_;
    std::map<std::string, std::uint64_t> refusals_;
    std::uint64_t repeated_starts_ = 0;
    std::uint64_t reboots_ = 0;
    std::size_t highest_running_ = 0;
    std::uint64_t start_count_ = 0;
    nlohmann::json starts_ = nlohmann::json::array();
};

} // namespace cowslippass
