#pragma once

#include "main/fleet_sync.hpp"
#include "main/node_context.hpp"
#include "systems/grant_ledger.hpp"

#include <map>
#include <set>

namespace cowslippass
{

/// Carries out what the grant ledger plans: reads and transactions on the
/// rows `grants/<team>`.
class grant_keeper
{
public:
    /// @return tasks of each team that wait here for a start.
    using waiting_source = std::function<std::map<team_id, std::uint32_t>()>;

    grant_keeper(
        node_context& node, fleet_sync& sync, waiting_source count_waiting);

    /// Needs the session.
    void start();

    bool take(const team_id& team);

    /// Work waits for a grant; plans at once instead of at the next round.
    void kick();

    void give_back(const team_id& team);

    /// A peer told how many tasks of a team wait there.
    void note_peer_waiting(
        session_id peer, const team_id& team, std::uint32_t waiting);

    /// Takes over the grant of a task that a dead session started.
    /// @return whether the grant is held now; the task counts as in use.
    asio::awaitable<bool> adopt(
        session_id dead, team_id team, monotonic_time ended_observed);

    /// Removes what a dead session held, once none of its tasks can run.
    /// @return whether nothing is held any more.
    asio::awaitable<bool> release_dead(
        session_id dead, team_id team, monotonic_time ended_observed);

    const grant_ledger& get_ledger() const { return *ledger_; }

    /// Returns every idle grant; for a planned stop.
    asio::awaitable<void> return_all();

private:
    void take_over_limits();
    asio::awaitable<void> run_loop();
    asio::awaitable<void> read_row(team_id team);
    asio::awaitable<transaction_outcome> send(grant_transfer transfer);

    node_context& node_;
    fleet_sync& sync_;
    waiting_source count_waiting_;
    std::optional<grant_ledger> ledger_;
    std::map<team_id, std::pair<task_count, config_version>> limits_;
    fleet_head noted_head_;
    asio::steady_timer timer_;
    std::map<std::uint64_t, bool> adoptions_; ///< Known outcomes by id.
};

} // namespace cowslippass
