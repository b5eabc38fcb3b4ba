#pragma once

#include "tests/stand_ins/stand_in_server.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace cowslippass
{

/// Highest number of events in one second of the monotonic clock.
class rate_peak
{
public:
    void add(std::uint64_t n);
    std::uint64_t get() const { return highest_; }

private:
    std::int64_t second_ = 0;
    std::uint64_t current_ = 0;
    std::uint64_t highest_ = 0;
};

/// Stand-in for the platform: table, objects and instance list in memory,
/// with the faults of section 4.1 of the design.
class platform_service
{
public:
    explicit platform_service(asio::io_context& io) : io_(io) {}

    asio::awaitable<stand_in_response> handle(http_request request);

private:
    struct stored_row
    {
        std::string value;
        std::uint64_t version;
    };
    struct instance_list
    {
        monotonic_time set_at;
        nlohmann::json instances;
    };
    enum class outage
    {
        none,
        refuse, ///< Everything but `/control` is answered with 503.
        silent  ///< Nothing but `/control` is answered.
    };

    asio::awaitable<void> sleep(milliseconds time);
    std::string get_date() const;
    http_response dispatch(const http_request& request);
    http_response commit(const http_request& request);
    http_response get_row(const http_request& request);
    http_response get_rows(const http_request& request);
    http_response handle_object(const http_request& request);
    http_response handle_instances(const http_request& request);
    void set_instances(const nlohmann::json& instances);
    http_response set_control(const nlohmann::json& control);
    http_response get_counters() const;

    asio::io_context& io_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, std::string> objects_;
    std::deque<instance_list> lists_;
    /// One sequence for all rows: a version cannot return after a delete.
    std::uint64_t last_version_ = 0;

    outage outage_ = outage::none;
    milliseconds delay_{0};
    milliseconds reply_delay_{0};
    milliseconds list_lag_{0};
    milliseconds clock_ahead_{0}; ///< Of the header `Date`.
    std::uint64_t lose_replies_ = 0;
    delivery lost_reply_ = delivery::close;

    std::uint64_t transactions_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t row_writes_ = 0;
    /// By the first part of the key, such as `claims`.
    std::map<std::string, std::uint64_t> row_writes_by_kind_;
    std::uint64_t row_reads_ = 0;
    std::uint64_t scans_ = 0;
    std::uint64_t object_reads_ = 0;
    std::uint64_t object_writes_ = 0;
    std::uint64_t replies_lost_ = 0;
    rate_peak transaction_peak_;
    rate_peak write_peak_;
    rate_peak read_peak_;
};

} // namespace cowslippass
