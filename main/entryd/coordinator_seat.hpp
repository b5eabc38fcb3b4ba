#pragma once

#include "drivers/peer_client.hpp"
#include "main/entryd/config_follower.hpp"
#include "main/entryd/coordinator_runner.hpp"
#include "systems/coordination/coordinator_election.hpp"

namespace cowslippass
{

/// The answer to a caller's operation, as far as there is one.
struct seat_reply
{
    std::optional<peer_coordinator_reply> reply;
    /// A coordinator may have taken the operation although none answered.
    bool may_be_done = false;
};

/// Knows the coordinator, passes operations to it, and takes its place in
/// this process when it is gone.
class coordinator_seat
{
public:
    coordinator_seat(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics,
        const config_follower& config);

    /// Watches the coordinator until the process ends.
    asio::awaitable<void> run();

    /// Tries until the deadline; operations are safe to repeat.
    asio::awaitable<seat_reply> call(
        peer_coordinator_call call, boot_time deadline);

    /// Answers a peer's operation if this process is the coordinator.
    asio::awaitable<peer_coordinator_reply> handle_peer(
        peer_coordinator_call call);

    void note_publication();

    /// Gives the place back, if it is held, and never takes it again.
    void leave();

    /// @return whether a coordinator answered lately, here or elsewhere.
    bool is_coordinator_known() const;

    bool is_holder() const { return runner_ && !runner_->is_over(); }

private:
    asio::awaitable<void> probe();
    asio::awaitable<void> read_head();
    asio::awaitable<void> take_over();
    asio::awaitable<std::optional<peer_coordinator_reply>> ask_peer(
        peer_coordinator_call call, milliseconds timeout, bool& was_sent);
    void suspect();

    /// @return in thousandths of a core.
    std::uint32_t get_own_share() const;
    /// @return whether another entry has far more processor.
    bool is_weak() const;

    asio::io_context& io_;
    const entry_settings& settings_;
    store_client& store_;
    metrics_registry& metrics_;
    const config_follower& config_;
    std::string boot_;
    std::string address_;
    coordinator_election candidacy_;
    std::shared_ptr<coordinator_runner> runner_;
    /// Holds the place, but has not read the ledger yet.
    std::shared_ptr<coordinator_runner> recovering_;
    boot_time held_since_{};
    std::uint32_t top_share_ = 0; ///< Of all entries, as last told.
    bool is_leaving_ = false;
    std::shared_ptr<peer_client> peer_;
    std::optional<boot_time> last_answer_;
    asio::steady_timer timer_;
};

} // namespace cowslippass
