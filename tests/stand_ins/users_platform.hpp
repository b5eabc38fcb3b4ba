#pragma once

#include "drivers/drivers.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// A store and targets that speak the users' protocol, on loopback in the
/// test's own process. Small: one part, no limits, no delays.
class users_platform
{
public:
    explicit users_platform(asio::io_context& io);
    ~users_platform();

    tcp::endpoint get_store_endpoint() const;

    /// Publishes a configuration with one queue `/q/` of host `h`, open to
    /// all, on the pool `p`.
    void publish_config();

    /// Starts a target and lists it.
    /// @param task_duration how long each task takes.
    void add_target(const std::string& id, milliseconds task_duration);

    void list_target(const std::string& id);
    void unlist_target(const std::string& id);

    /// A cut target is asked in vain; it runs on.
    void set_unreachable(const std::string& id, bool is_unreachable);

    /// The store answers nothing but refusals.
    void set_store_unavailable(bool is_unavailable)
    {
        is_store_unavailable_ = is_unavailable;
    }

    /// Lists an instance that is up, in no pool that needs it.
    void add_instance(const std::string& id);

    /// Publishes a wave of maintenance over all instances.
    void publish_wave(
        std::uint64_t number, std::uint32_t max_unavailable_instances);

    /// Orders to instances wait for their answers until this is undone.
    void set_holding_order_replies(bool is_holding)
    {
        is_holding_order_replies_ = is_holding;
    }

    /// @return instances whose maintenance was ordered.
    const std::set<std::string>& get_maintained_instances() const
    {
        return maintained_instances_;
    }

    /// @return how often each task was started anew, by its name.
    const std::map<std::string, int>& get_start_counts() const
    {
        return start_counts_;
    }

    std::string get_row(const std::string& table, const std::string& key) const;

private:
    using json = nlohmann::json;
    using row_key = std::pair<std::string, std::string>;
    struct row
    {
        std::string value; ///< Base64, as on the wire.
        std::uint64_t version = 0;
        bool is_deleted = false;
    };
    struct target;

    asio::awaitable<http_response> handle_store_request(http_request request);
    asio::awaitable<http_response> handle_feed_request(http_request request);
    asio::awaitable<http_response> handle_instance_request(
        http_request request);
    asio::awaitable<http_response> handle_target_request(
        std::shared_ptr<target> it, http_request request);
    http_response commit(const json& body);
    http_response read(const http_request& request) const;
    json encode_row(const row_key& key, const row& it) const;
    void put(const std::string& table, const std::string& key,
        const std::string& value);
    asio::awaitable<void> sleep(milliseconds time);

    asio::io_context& io_;
    std::unique_ptr<http_server> store_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::shared_ptr<target>> targets_;
    std::map<std::string, int> start_counts_;
    bool is_store_unavailable_ = false;
    bool is_holding_order_replies_ = false;
    std::set<std::string> instances_;
    std::set<std::string> maintained_instances_;
};

} // namespace cowslippass
