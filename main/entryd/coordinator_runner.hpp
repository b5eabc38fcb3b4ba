#pragma once

#include "drivers/peer_message.hpp"
#include "main/entryd/entry_settings.hpp"
#include "main/entryd/pool_plan_executor.hpp"
#include "main/entryd/relay_set.hpp"
#include "platform/published_rows.hpp"
#include "systems/coordination/ledger.hpp"
#include "systems/scheduling/coordinator.hpp"
#include "systems/workload/job_rows.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace cowslippass
{

class metrics_registry;

/// Carries out the decisions of the coordinator: writes them to the ledger,
/// sends the requests to the targets and passes the replies back. There is one
/// object for each term of this process.
class coordinator_runner
    : public std::enable_shared_from_this<coordinator_runner>
{
public:
    /// @param version version of the head row that the takeover wrote.
    /// @param renewed_at time just before the takeover's transaction was sent.
    /// @param was_previous_term_released whether the predecessor released its
    ///   term, instead of failing; also true if there was no predecessor.
    coordinator_runner(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics,
        const task_supervisor& tasks, ledger_head head, row_version version,
        boot_time renewed_at, bool was_previous_term_released);

    /// Restores the coordinator's state from the ledger. The term has to be
    /// renewed meanwhile, see start_renewing().
    /// @return whether the ledger could be read.
    asio::awaitable<bool> recover();

    /// Starts the loop that renews the term and writes the ledger.
    void start_renewing();

    /// Ends the term without releasing it in the ledger.
    void abandon();

    /// Starts to make decisions, and the other loops, which end with the term.
    /// Needs a successful recover().
    void start(const published_state& state);

    /// Replaces the configuration, evacuations and waves that operators have
    /// published.
    void set_published_state(const published_state& state);

    /// Requests the release of the term, so that a successor need not wait.
    /// Nothing is done under the term once the store may hold the release; the
    /// term ends when the store confirms it.
    void release();

    /// @return whether the term has ended.
    bool is_over() const { return is_over_; }

    /// @return time since the last durable transaction was sent.
    milliseconds get_renewal_age() const;

    /// Records the processor share of an entry that sent a call.
    void record_processor_share(std::uint32_t millicores)
    {
        max_processor_share_ = std::max(max_processor_share_, millicores);
    }
    /// @return the largest recorded share, in thousandths of a core.
    std::uint32_t get_max_processor_share() const
    {
        return max_processor_share_;
    }
    fencing_token get_term() const { return head_.term; }
    const coordinator& get_coordinator() const { return coordinator_; }

    /// Records a probe of an entry, which offers itself as a relay.
    void record_probe(const peer_coordinator_call& probe);

    /// Executes a caller's operation. The result is `not_coordinator` when the
    /// term has ended or the operation did not become durable in time.
    /// @param deadline after which the caller no longer waits for the reply.
    asio::awaitable<peer_coordinator_reply> handle(
        peer_coordinator_call call, boot_time deadline);

private:
    struct target_link;
    using link_ptr = std::shared_ptr<target_link>;

    /// @return whether the last renewal is recent enough to start and stop runs
    ///   and to extend leases, and no successor can have read a release.
    bool has_valid_term() const;
    /// @return when the term loses its validity unless it is renewed; the epoch
    ///   if it has none any more.
    boot_time get_term_end() const;
    /// @return when a request to start or stop a run, issued now, must no
    /// longer
    ///   be sent.
    boot_time get_request_end() const;
    /// Counts the targets of each data centre and selects relays for them.
    void update_relays();
    /// Stops all loops and closes the links to targets.
    /// @param why reason for the log.
    void end_term(const char* why);
    /// Lets the write loop run its next round at once.
    void wake();

    /// The rows of one table of the ledger, by job.
    using job_row_table = std::map<job_id, job_row_values>;

    static job_row_table group_by_job(std::vector<stored_row> rows);
    /// Restores an accepted job.
    /// @param record rows of its record.
    /// @param progress rows of its progress; all empty if there are none.
    void load_job(const job_id& id, const job_row_values& record,
        const job_row_values& progress, boot_time now);
    /// @param progress progress row of a job.
    /// @return whether the job is settled.
    bool load_settled_job(
        const job_id& id, const std::string& progress, boot_time now);
    /// @param progress progress row of a job.
    /// @return whether the row is a tombstone.
    bool load_tombstone(
        const job_id& id, const std::string& progress, boot_time now);
    /// @param records rows of accepted jobs.
    /// @param progress progress rows of jobs.
    asio::awaitable<void> load_jobs(
        job_row_table records, job_row_table progress);
    /// Deletes a job's rows in one table, other than its main row, with the
    /// next batches.
    void erase_parts(const char* table, const job_id& id,
        const std::set<std::uint32_t>& parts);
    /// Refuses submissions that the store rejects, and holds jobs whose
    /// progress it rejects.
    void handle_rejected_rows(const std::string& why);
    /// Writes the changed records of queues with the next batches.
    void put_changed_queues();
    /// @param rows of queues that jobs in the ledger may need.
    void load_queues(const std::vector<stored_row>& rows);
    /// @param rows what predecessors have learned of run times.
    void load_run_times(const std::vector<stored_row>& rows);
    /// Writes the job's changed progress with the next batches.
    void put_progress(const job& it);
    /// Removes the rows that a settled job no longer needs.
    void erase_rows_of_settled_job(const job& it);
    /// Makes decisions and commits them in batches. Commits an empty batch to
    /// renew the term when nothing has changed.
    asio::awaitable<void> write_loop();
    /// Follows the list of targets in the store.
    asio::awaitable<void> target_feed_loop();
    /// Polls a target until its link is closed or the target is no longer
    /// tracked, and processes its statuses.
    asio::awaitable<void> poll_loop(link_ptr link);
    /// Sends a start until the target replies or the start is abandoned.
    asio::awaitable<void> send_start(start_decision decision);
    /// Begins to send a start, or lets it wait at its link while as many are in
    /// flight as the target's connections carry: the time-out of a start must
    /// not run out before it is sent.
    void begin_start(const start_decision& decision);
    /// Sends the next start that waits at the link.
    void begin_next_start(const link_ptr& link);
    /// Abandons the starts that wait at a link, so that their tasks start
    /// elsewhere.
    void abandon_waiting_starts(const link_ptr& link);
    /// The caller will not send the start, or not again.
    void abandon_start(const start_decision& decision);
    /// Sends the queued starts in groups and yields between them, so that other
    /// work, callers' operations above all, is not delayed.
    asio::awaitable<void> send_queued_starts();
    /// @param decisions starts that are durable in the ledger.
    void queue_starts(const std::vector<start_decision>& decisions);
    /// Sends a stop once. Later rounds send it again until the run has ended.
    asio::awaitable<void> send_stop(stop_decision decision);
    /// Sends the next batch until the store has applied it or the term ends.
    /// @param is_committed set when the store has applied it.
    asio::awaitable<void> commit_batch(bool& is_committed);
    asio::awaitable<peer_coordinator_reply> submit(
        peer_coordinator_call call, boot_time deadline);
    /// Decides at the door. Nothing of a refused job is kept.
    /// @return when its caller can return; nothing if it can be accepted.
    std::optional<milliseconds> refuse_submission(
        const job_id& id, const job_record& record);
    /// Cancels a job. One that is not known gets a tombstone, so that a
    /// submission that was sent before is not accepted afterwards.
    asio::awaitable<peer_coordinator_reply> cancel(
        peer_coordinator_call call, boot_time deadline);
    /// Writes the tombstone of an unknown job with the next batches.
    /// @return false if there are too many.
    bool put_tombstone(const job_id& id, const team_id& team);
    /// @return whether the store has accepted nothing for a while.
    bool is_store_away() const;
    /// @return the refusal of a submission of which nothing is stored.
    peer_coordinator_reply refuse_in_outage(
        const job_id& id, boot_time deadline);
    /// Takes back a submission whose rows are not stored yet.
    /// @return whether none of them can take effect any more.
    bool withdraw_submission(const job_id& id);
    /// @return whether all rows put so far became durable by the deadline.
    asio::awaitable<bool> wait_until_durable(boot_time deadline);
    /// Waits until the store has confirmed the term anew. Any answer that ends
    /// a caller's effort needs this, because a coordinator that was replaced
    /// does not know what its successor has accepted. The next batch, at the
    /// latest the next renewal, confirms all calls that wait.
    /// @return whether the term was confirmed by the deadline.
    asio::awaitable<bool> wait_until_confirmed(boot_time deadline);
    /// Waits for a callback of the ledger.
    /// @param request passes a callback to the ledger.
    /// @return whether it was called by the deadline.
    asio::awaitable<bool> wait_for_ledger(
        std::function<void(std::function<void()>)> request, boot_time deadline);
    /// @return the state of a job, or that there is none.
    asio::awaitable<peer_coordinator_reply> get_status(
        peer_coordinator_call call, boot_time deadline);
    /// @return the number of jobs that have not begun.
    asio::awaitable<peer_coordinator_reply> count(
        peer_coordinator_call call, boot_time deadline);
    /// Reads the whole list of targets.
    asio::awaitable<bool> read_targets();
    asio::awaitable<void> sleep(milliseconds time);

    /// Runs one round: plans starts, and puts the changed rows into the next
    /// batch.
    void decide();
    void log_starts(const std::vector<start_decision>& starts);
    /// Adds the ends that a status reports for the first time to the next
    /// log line.
    /// @param last_known_number number of the last end that was known before.
    void collect_ends_to_log(const target_link& link,
        const target_status& status, std::uint64_t last_known_number);
    void log_ends();
    /// Logs the backlog and the commit times once a second.
    void log_load();
    void log_overloads();
    /// Puts the progress rows of changed jobs into the ledger.
    void put_changed_rows();
    /// Writes what was learned of run times, if that is due.
    void put_run_times();
    /// Removes the rows of jobs and tombstones whose retention time has passed.
    void erase_expired_rows();
    /// Acknowledges the received ends to their targets once the next
    /// transaction, which contains them, is durable.
    void acknowledge_ends_when_durable();
    /// Sends the stops that are not in flight, while the term is valid.
    void send_stops();
    /// Applies changed rows of the list of targets, and opens and closes links
    /// to match it.
    void apply_target_rows(const std::vector<stored_row>& rows);
    /// Opens a link to each listed target.
    void open_links();
    /// Opens a link, unless there is an open one to the same address.
    void open_link(const target_id& id, const target_report& report);
    /// Closes the links of targets that the coordinator no longer tracks.
    void close_unused_links();
    /// Passes a target's status to the coordinator, and notes the ends that
    /// have to be acknowledged.
    void process_status(const link_ptr& link, const target_status& status,
        boot_time sent_at, boot_time received_at);
    /// @return time after which a lease has certainly expired, even if the
    ///   target's clock is slow.
    milliseconds get_max_lease_time() const;
    /// @return pause after a status that reported ends.
    milliseconds get_poll_interval() const;
    /// Records a new lease of the target's runs.
    /// @return its end on the target's clock.
    target_time grant_lease(const target_link& link);
    void start_pool_plan_executor();
    /// Releases the term in the ledger if that is requested, no earlier
    /// coordinator can extend leases any more, all durable starts have been
    /// sent, and no instance order is in flight, because the successor sends
    /// orders at once.
    void release_when_nothing_to_send();
    /// @return null if there is no link to the target.
    link_ptr find_link(const target_id& target) const;

    asio::io_context& io_;
    const entry_settings& settings_;
    store_client& store_;
    metrics_registry& metrics_;
    const task_supervisor& tasks_;
    ledger_head head_;
    ledger ledger_;
    coordinator coordinator_;
    /// If set, the predecessor sends no more requests.
    bool was_previous_term_released_;
    /// Since then the predecessor cannot have written to the ledger.
    boot_time taken_over_at_;
    /// Time just before the last durable transaction was sent.
    boot_time renewed_at_;
    boot_time last_batch_at_{};
    /// A transaction was sent and has no reply yet.
    bool is_request_under_way_ = false;
    /// Largest processor share of this entry and of those that sent calls, in
    /// thousandths of a core.
    std::uint32_t max_processor_share_ = 0;
    asio::steady_timer wake_timer_;
    relay_set relays_;
    std::map<target_id, link_ptr> links_;
    std::shared_ptr<pool_plan_executor> pool_plan_executor_;
    /// Rows of maintenance waves, as read at the takeover.
    std::vector<stored_row> wave_rows_;
    std::deque<start_decision> starts_to_send_; ///< All are durable.
    bool is_sending_starts_ = false;
    /// Durable starts of which no request has been sent yet.
    std::size_t unsent_start_count_ = 0;
    std::set<stop_decision> stops_in_flight_;
    /// The ends received from each target whose rows are not in the ledger's
    /// next batch yet.
    std::map<link_ptr, end_acknowledgement> received_ends_;
    boot_time next_erase_at_{};
    boot_time next_run_time_record_at_{};
    boot_time next_relay_update_at_{};
    boot_time next_load_report_at_{};
    std::uint64_t commit_count_ = 0; ///< Since the last load report.
    milliseconds longest_commit_{0}; ///< Since the last load report.
    /// Since the last load report.
    std::map<std::pair<queue_id, team_id>, std::uint64_t> refused_jobs_to_log_;
    /// Why the store did not apply the last transaction; empty if it did.
    std::string last_commit_failure_;
    std::string ends_to_log_;
    std::size_t ends_to_log_count_ = 0;
    /// Number of targets with runs, as of the last round of decisions.
    std::size_t busy_target_count_ = 0;
    std::set<job_id> durably_ended_jobs_; ///< Jobs whose end the ledger holds.
    /// Jobs that could not be accepted because the store rejects their rows.
    std::set<job_id> rejected_jobs_;
    /// Jobs whose progress the store rejects; nothing of them is written any
    /// more in this term.
    std::set<job_id> held_jobs_;
    /// Numbers of the parts over which the records of large jobs are
    /// distributed.
    std::map<job_id, std::set<std::uint32_t>> record_parts_;
    row_version targets_version_; ///< Version of the list of targets.
    /// Timers of the calls that wait for the ledger.
    std::set<std::shared_ptr<asio::steady_timer>> ledger_waits_;
    bool is_recovered_ = false; ///< Until then the term is only renewed.
    bool is_over_ = false;
    bool is_releasing_ = false; ///< A release was requested.
};

} // namespace cowslippass
