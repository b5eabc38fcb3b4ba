#pragma once

#include "drivers/drivers.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// Stand-in for the users' platform: a store, an instance service and targets
/// that speak its protocol on loopback within the test's process. Simplified:
/// partitions are ignored, a request to stop a run is accepted without effect,
/// and there are no delays and no limits but those on a transaction. Leases
/// expire only with set_lease_limit().
class users_platform
{
public:
    /// What happens to the first transaction that releases a term through an
    /// access.
    enum class release_fault
    {
        none,
        not_received, ///< It is lost on its way to the store.
        refused,      ///< The store answers 503 and does not apply it.
        applied_late, ///< It is on its way for `release_delay`; no reply.
        reply_lost    ///< The store applies it, and the reply is lost.
    };
    static constexpr milliseconds release_delay{400};

    /// One address of the store. It can be cut off alone.
    struct store_access
    {
        std::unique_ptr<http_server> server;
        /// While set, requests through it get no reply and have no effect.
        bool is_cut_off = false;
        release_fault fault = release_fault::none;
        /// Called when a release arrives, or is lost on its way.
        std::function<void()> on_release;
    };

    explicit users_platform(asio::io_context& io);
    ~users_platform();

    tcp::endpoint get_store_endpoint() const;

    /// Opens another address of the store.
    store_access& add_store_access();

    /// Publishes a configuration with one queue at the path `/q/` of host `h`,
    /// which is open to all callers and runs its jobs in pool `p`.
    /// @param has_queue whether the configuration has the queue, or none.
    void publish_config(int version = 1, bool has_queue = true);

    /// Starts a target and publishes its row.
    /// @param task_duration how long each task runs.
    void add_target(const std::string& id, milliseconds task_duration);

    /// The target crashes and starts again under its id and address. It knows
    /// nothing of before, and connections of before are closed. Its row is not
    /// published again.
    void restart_target(const std::string& id, milliseconds task_duration);

    /// Publishes the target's row.
    void list_target(const std::string& id);
    /// Deletes the target's row; the target itself keeps running.
    void unlist_target(const std::string& id);

    /// Simulates a network partition: an unreachable target answers no request,
    /// while its tasks keep running.
    void set_unreachable(const std::string& id, bool is_unreachable);

    /// Simulates a network partition between the target and some coordinators:
    /// it answers only requests with a fencing token in this range.
    void set_reachable_for(const std::string& id, std::uint64_t min_fence,
        std::uint64_t max_fence);

    /// Simulates the way to the targets: each answer takes this much longer.
    void set_target_delay(milliseconds time) { target_delay_ = time; }

    /// @return time between the first and the last start of a task by any
    ///   target.
    milliseconds get_start_span() const;

    /// From now on, runs end when their lease expires.
    /// @param limit longest lease that a target grants.
    void set_lease_limit(milliseconds limit) { lease_limit_ = limit; }

    /// While unavailable, the store answers each request with status 503. The
    /// instance service keeps working.
    void set_store_unavailable(bool is_unavailable)
    {
        is_store_unavailable_ = is_unavailable;
    }

    /// The store carries out each transaction after this time.
    void set_transaction_time(milliseconds time) { transaction_time_ = time; }

    /// The store answers each transaction that writes this row with status 400.
    void reject_row(const std::string& table, const std::string& key)
    {
        rejected_rows_.insert({table, key});
    }

    /// Lists an instance in pool `p` that is up and runs no target.
    void add_instance(const std::string& id);

    /// Publishes a maintenance wave that covers all instances.
    void publish_wave(
        std::uint64_t number, std::uint32_t max_unavailable_instances);

    /// While set, orders to instances take effect but are not answered.
    void set_holding_order_replies(bool is_holding)
    {
        is_holding_order_replies_ = is_holding;
    }

    /// @return the instances that received an order. The stand-in does not
    ///   tell maintenance from moves.
    const std::set<std::string>& get_maintained_instances() const
    {
        return maintained_instances_;
    }

    /// @return how often targets started each task, by task name. A request to
    ///   start a task that is running at the target does not count.
    const std::map<std::string, int>& get_start_counts() const
    {
        return start_counts_;
    }

    /// @return the starts that came while another target was running the task.
    const std::vector<std::string>& get_overlapping_starts() const
    {
        return overlapping_starts_;
    }

    /// @return the targets that are running the task.
    std::vector<std::string> list_running_targets(const std::string& task);

    /// @return the number of polls that the target's current life has answered.
    int get_poll_count(const std::string& id) const;

    /// @return the number of transactions that were refused because a row or
    ///   the whole transaction was too large.
    int get_refused_size_count() const { return refused_size_count_; }

    /// @return the keys of the table's rows.
    std::vector<std::string> list_keys(const std::string& table) const;

    /// @return the decoded value of a row; empty if there is none.
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
    struct target; ///< One target with its server and its runs.

    /// @param port 0 for a free one.
    void start_target(const std::string& id, milliseconds task_duration,
        std::int64_t incarnation_start, unsigned short port);

    asio::awaitable<http_response> handle_store_request(
        store_access& access, http_request request);
    asio::awaitable<http_response> handle_transaction(
        store_access& access, http_request request);
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
    std::vector<std::unique_ptr<store_access>> store_accesses_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 0;
    int refused_size_count_ = 0;
    std::set<row_key> rejected_rows_;
    std::map<std::string, std::shared_ptr<target>> targets_;
    std::map<std::string, int> start_counts_;
    std::vector<std::string> overlapping_starts_;
    std::optional<milliseconds> lease_limit_;
    milliseconds target_delay_{0};
    std::int64_t first_start_ms_ = 0;
    std::int64_t last_start_ms_ = 0;
    bool is_store_unavailable_ = false;
    milliseconds transaction_time_{0};
    bool is_holding_order_replies_ = false;
    std::set<std::string> instances_;
    std::set<std::string> maintained_instances_;
};

} // namespace cowslippass
