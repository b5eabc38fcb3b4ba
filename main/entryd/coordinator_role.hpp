#pragma once

#include "drivers/peer_client.hpp"
#include "main/entryd/config_watcher.hpp"
#include "main/entryd/coordinator_runner.hpp"
#include "systems/coordination/coordinator_election.hpp"

namespace cowslippass
{

/// The outcome of a caller's operation.
struct coordinator_call_result
{
    std::optional<peer_coordinator_reply> reply; ///< Not set without a reply.
    /// Whether the operation was sent to a coordinator that has not said what
    /// became of it, and may have executed it.
    bool may_be_applied = false;
};

/// This process's part in the election of the coordinator. It tracks which
/// entry is the coordinator, passes callers' operations to it, and takes over
/// the role when the coordinator has failed or has released it.
class coordinator_role
{
public:
    coordinator_role(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics,
        const task_supervisor& tasks, const config_watcher& config);

    /// Probes the coordinator, and takes over its role when needed, until the
    /// process ends.
    asio::awaitable<void> run();

    /// Passes an operation to the coordinator. Retries until the deadline,
    /// because operations are idempotent.
    /// @param give_up_at without a reply by then, it returns as soon as it is
    ///   certain that no coordinator has executed the operation.
    asio::awaitable<coordinator_call_result> call(peer_coordinator_call call,
        boot_time deadline, boot_time give_up_at = boot_time::max());

    /// Executes an operation that a peer passed on, if this process is the
    /// coordinator.
    asio::awaitable<peer_coordinator_reply> handle_peer_call(
        peer_coordinator_call call);

    /// Passes a change of the published configuration to the current term.
    void handle_published_change();

    /// Releases the role, if this process holds it, and never takes it over
    /// again.
    void resign();

    /// @return whether this process is the coordinator, or another one has
    ///   replied as the coordinator recently.
    bool is_coordinator_known() const;

    /// @return whether calls can be passed to a coordinator, as far as this
    ///   entry knows. While the fleet has none, no other entry can do better,
    ///   so that only an entry that alone does not reach it counts.
    bool can_reach_coordinator() const;

    /// @return identity of this process, different after each start.
    const std::string& get_boot_id() const { return boot_id_; }

    /// @return whether this process is the coordinator.
    bool is_coordinator() const { return runner_ && !runner_->is_over(); }

private:
    /// Asks the coordinator for the age of its last renewal.
    asio::awaitable<void> probe();
    /// Reads the head row of the ledger, which names the coordinator.
    asio::awaitable<void> read_head();
    /// Writes a new term into the head row and, if that succeeds, restores the
    /// coordinator's state.
    asio::awaitable<void> take_over();
    /// @param was_sent set if the call may have reached the coordinator.
    /// @param valid_until from then on it is not sent.
    /// @return nothing without a reply.
    asio::awaitable<std::optional<peer_coordinator_reply>>
    call_remote_coordinator(peer_coordinator_call call, milliseconds timeout,
        bool& was_sent, boot_time valid_until = boot_time::max());
    /// Makes run() read the head row at once.
    void suspect_coordinator();

    /// @return processor share in thousandths of a core.
    std::uint32_t get_own_processor_share() const;
    /// @return whether another entry has a much larger processor share.
    bool is_low_on_processor() const;

    asio::io_context& io_;
    const entry_settings& settings_;
    store_client& store_;
    metrics_registry& metrics_;
    const task_supervisor& tasks_;
    const config_watcher& config_;
    std::string boot_id_;
    std::string address_;
    coordinator_election election_;
    std::shared_ptr<coordinator_runner> runner_;
    /// Holds the role, but has not read the ledger yet.
    std::shared_ptr<coordinator_runner> recovering_runner_;
    boot_time role_held_since_{};
    /// Largest processor share of all entries, as last reported, in thousandths
    /// of a core.
    std::uint32_t max_processor_share_ = 0;
    bool is_resigning_ = false;
    /// Connection to the coordinator; null if there is no remote one.
    std::shared_ptr<peer_client> remote_coordinator_;
    std::optional<boot_time> last_coordinator_reply_at_;
    /// When the head row was last seen to have changed while the coordinator
    /// was suspected, which shows that it works.
    std::optional<boot_time> head_changed_at_;
    asio::steady_timer probe_timer_;
};

} // namespace cowslippass
