#pragma once

#include "drivers/peer_link.hpp"
#include "main/entryd/config_watcher.hpp"
#include "main/entryd/coordinator_runner.hpp"
#include "systems/coordination/coordinator_election.hpp"

namespace cowslippass
{

/// The answer to a caller's operation, as far as there is one.
struct coordinator_call_result
{
    std::optional<peer_coordinator_reply> reply;
    /// A coordinator may have taken the operation although none answered.
    bool may_be_applied = false;
};

/// Knows the coordinator, passes operations to it, and takes its place in
/// this process when it is gone.
class coordinator_role
{
public:
    coordinator_role(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics,
        const config_watcher& config);

    /// Watches the coordinator until the process ends.
    asio::awaitable<void> run();

    /// Tries until the deadline; operations are safe to repeat.
    asio::awaitable<coordinator_call_result> call(
        peer_coordinator_call call, boot_time deadline);

    /// Answers a peer's operation if this process is the coordinator.
    asio::awaitable<peer_coordinator_reply> handle_peer_call(
        peer_coordinator_call call);

    void handle_published_change();

    /// Gives the place back, if it is held, and never takes it again.
    void resign();

    /// @return whether a coordinator answered lately, here or elsewhere.
    bool is_coordinator_known() const;

    bool is_coordinator() const { return runner_ && !runner_->is_over(); }

private:
    asio::awaitable<void> probe();
    asio::awaitable<void> read_head();
    asio::awaitable<void> take_over();
    asio::awaitable<std::optional<peer_coordinator_reply>>
    call_remote_coordinator(
        peer_coordinator_call call, milliseconds timeout, bool& was_sent);
    void suspect_coordinator();

    /// @return in thousandths of a core.
    std::uint32_t get_own_processor_share() const;
    /// @return whether another entry has far more processor.
    bool is_low_on_processor() const;

    asio::io_context& io_;
    const entry_settings& settings_;
    store_client& store_;
    metrics_registry& metrics_;
    const config_watcher& config_;
    std::string boot_id_;
    std::string address_;
    coordinator_election election_;
    std::shared_ptr<coordinator_runner> runner_;
    /// Holds the place, but has not read the ledger yet.
    std::shared_ptr<coordinator_runner> recovering_runner_;
    boot_time role_held_since_{};
    std::uint32_t max_processor_share_ = 0; ///< Of all entries, as last told.
    bool is_resigning_ = false;
    std::shared_ptr<peer_client> remote_coordinator_;
    std::optional<boot_time> last_coordinator_reply_at_;
    asio::steady_timer probe_timer_;
};

} // namespace cowslippass
