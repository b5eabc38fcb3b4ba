#pragma once

#include "drivers/peer_message.hpp"
#include "main/entryd/entry_settings.hpp"
#include "main/entryd/pool_plan_executor.hpp"
#include "platform/publication.hpp"
#include "platform/runner_client.hpp"
#include "systems/coordination/ledger.hpp"
#include "systems/scheduling/coordinator.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace cowslippass
{

class metrics_registry;

/// Runs the coordinator's decisions: writes the ledger, sends orders and
/// passes the answers back. One object for each term that this process holds.
class coordinator_runner
    : public std::enable_shared_from_this<coordinator_runner>
{
public:
    /// @param renewed_at before the takeover's transaction was sent.
    /// @param was_previous_term_released whether the predecessor ended its term
    /// in order.
    coordinator_runner(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics, ledger_head head,
        row_version version, boot_time renewed_at,
        bool was_previous_term_released);

    /// Reads the ledger, renewing the term meanwhile.
    /// @return whether the ledger could be read.
    asio::awaitable<bool> recover();

    /// Keeps the term from now on, also while the ledger is read.
    void start_renewing();

    /// Gives the term up without a word in the ledger.
    void abandon();

    /// Starts the other loops; they end with the term.
    void start(const published_state& state);

    void set_published_state(const published_state& state);

    /// Ends the term in order, so that a successor need not wait.
    void release();

    /// @return whether the term is over.
    bool is_over() const { return is_over_; }

    milliseconds get_renewal_age() const;

    /// An entry of that share has asked.
    void record_processor_share(std::uint32_t millicores)
    {
        max_processor_share_ = std::max(max_processor_share_, millicores);
    }
    std::uint32_t get_max_processor_share() const
    {
        return max_processor_share_;
    }
    fencing_number get_term() const { return head_.term; }
    const coordinator& get_coordinator() const { return coordinator_; }

    /// @param deadline by when an answer is of use.
    asio::awaitable<peer_coordinator_reply> handle(
        peer_coordinator_call call, boot_time deadline);

private:
    struct target_link;
    using link_ptr = std::shared_ptr<target_link>;

    bool has_valid_term() const;
    void end_term(const char* why);
    void wake();

    void load_job(
        const stored_row& row, const std::string& progress, boot_time now);
    /// @return whether the row is that of a settled job.
    bool load_settled_job(const stored_row& row, boot_time now);
    asio::awaitable<void> load_jobs(
        std::vector<stored_row> specs, std::vector<stored_row> states);
    asio::awaitable<void> write_loop();
    asio::awaitable<void> target_feed_loop();
    asio::awaitable<void> watch_target(link_ptr link);
    asio::awaitable<void> poll_loop(link_ptr link);
    asio::awaitable<void> send_start(start_decision decision);
    /// Sends the starts that are durable, some at a time: what else is ready
    /// to be handled, calls above all, has its turn between them.
    asio::awaitable<void> send_queued_starts();
    void queue_start(const start_decision& decision);
    asio::awaitable<void> send_stop(stop_decision decision);
    asio::awaitable<void> commit_batch(bool& is_done);
    asio::awaitable<peer_coordinator_reply> submit(
        peer_coordinator_call call, boot_time deadline);
    asio::awaitable<peer_coordinator_reply> cancel(
        peer_coordinator_call call, boot_time deadline);
    /// @return whether everything put so far became durable.
    asio::awaitable<bool> wait_until_durable(boot_time deadline);
    asio::awaitable<bool> read_targets();
    asio::awaitable<void> sleep(milliseconds time);

    void decide();
    void log_starts(const std::vector<start_decision>& starts);
    /// Collects the ends that a status lists anew, for one line a batch.
    void collect_ends_to_log(const target_link& link,
        const target_status& status, std::uint64_t last_known_number);
    void log_ends();
    /// Tells once a second how far the coordinator keeps up.
    void log_load();
    void put_changed_rows();
    /// Removes the rows of jobs that callers can no longer ask for.
    void erase_expired_rows();
    /// Lets targets forget the ends that the next transaction holds.
    void acknowledge_ends_when_durable();
    void send_stops();
    void apply_target_rows(const std::vector<stored_row>& rows);
    void open_links();
    void open_link(const target_id& id, const target_report& report);
    void close_unused_links();
    void process_status(const link_ptr& link, const target_status& status,
        boot_time sent_at, boot_time received_at);
    milliseconds get_max_lease_time() const;
    milliseconds get_poll_interval() const;
    /// @return the end of a new lease on the target's clock.
    target_time grant_lease(const target_link& link);
    void start_pool_plan_executor();
    /// Tells the ledger of a release once no order to an instance is under
    /// way: the successor orders at once.
    void release_when_no_order_in_flight();
    link_ptr find_link(const target_id& target) const;

    asio::io_context& io_;
    const entry_settings& settings_;
    store_client& store_;
    metrics_registry& metrics_;
    ledger_head head_;
    ledger ledger_;
    coordinator coordinator_;
    /// The predecessor gives no more orders.
    bool was_previous_term_released_;
    boot_time taken_over_at_; ///< The predecessor has written nothing since.
    boot_time renewed_at_;    ///< Before the last durable transaction was sent.
    boot_time last_batch_at_{};
    std::uint32_t max_processor_share_ = 0; ///< Of an entry that asked.
    asio::steady_timer wake_timer_;
    std::map<target_id, link_ptr> links_;
    std::shared_ptr<pool_plan_executor> pool_plan_executor_;
    std::vector<stored_row> wave_rows_;         ///< As read at the takeover.
    std::deque<start_decision> starts_to_send_; ///< Durable ones.
    bool is_sending_starts_ = false;
    std::set<task_name> stops_in_flight_;
    /// Highest ends that were taken note of and whose rows are not put yet.
    std::map<link_ptr, std::uint64_t> received_end_numbers_;
    boot_time next_erase_at_{};
    boot_time next_load_report_at_{};
    std::uint64_t commit_count_ = 0; ///< Since the last such line.
    milliseconds longest_commit_{0};
    std::string ends_to_log_;
    std::size_t ends_to_log_count_ = 0;
    /// Targets with runs, as of the last decisions.
    std::size_t busy_target_count_ = 0;
    std::set<job_id> durably_ended_jobs_; ///< Jobs whose end the ledger holds.
    row_version targets_version_;
    std::set<std::shared_ptr<asio::steady_timer>> durability_waits_;
    bool is_recovered_ = false;
    bool is_over_ = false;
    bool is_releasing_ = false;
};

} // namespace cowslippass
