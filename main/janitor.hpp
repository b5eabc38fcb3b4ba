#pragma once

#include "main/fleet_sync.hpp"
#include "main/grant_keeper.hpp"
#include "main/lease_holder.hpp"
#include "main/node_context.hpp"
#include "main/row_cleaner.hpp"

#include <map>

namespace cowslippass
{

/// Declares dead sessions, removes what they held, keeps the fleet log short,
/// and removes rows that have outlived their use. Runs in the entry that holds
/// the lease `janitor`.
class janitor
{
public:
    janitor(node_context& node, fleet_sync& sync, grant_keeper& grants);

    /// Needs the session.
    void start();

    /// @param session that is not live.
    /// @return when its end was first seen here; the commit was not later.
    monotonic_time observe_ended(session_id session);

    const lease_holder& get_lease() const { return lease_; }

    /// Gives the lease back; for a planned stop.
    asio::awaitable<void> stop();

private:
    struct heartbeat
    {
        row_version version;
        monotonic_time since;
    };

    asio::awaitable<void> run_loop();
    asio::awaitable<void> clean_loop();
    /// @return whether this entry may act as the janitor now.
    bool is_on_duty() const;
    std::optional<row_condition> get_fence() const;
    bool is_gone(session_id session);
    asio::awaitable<void> check_heartbeats();
    asio::awaitable<void> end_session(session_id session, row_version beat);
    asio::awaitable<void> release_grants();
    asio::awaitable<void> write_snapshot();
    void note_ended_sessions();

    node_context& node_;
    fleet_sync& sync_;
    grant_keeper& grants_;
    lease_holder lease_;
    row_cleaner cleaner_;
    std::map<session_id, heartbeat> heartbeats_;
    std::set<session_id> live_;
    std::map<session_id, monotonic_time> ended_;
    config_version snapshot_version_;
};

} // namespace cowslippass
