#pragma once

#include "main/fleet_sync.hpp"
#include "main/node_context.hpp"
#include "main/summary_exchange.hpp"
#include "systems/membership.hpp"

#include <map>
#include <memory>

namespace cowslippass
{

/// What is known of the platform's instance list.
struct listed_leaving
{
    monotonic_time as_of; ///< The list held at this time or later.
    std::string tag;      ///< ETag of the list.
    std::vector<instance_id> leaving;
};

/// Links to the other live sessions: summaries, freshness through peers, the
/// outage agreement, and calls for the other parts.
class peer_network
{
public:
    /// @param is_local whether the reader is in the own data centre.
    using summary_source = std::function<peer_summary(bool is_local)>;
    using request_handler =
        std::function<asio::awaitable<std::optional<peer_body>>(peer_body)>;

    peer_network(node_context& node, fleet_sync& sync);
    ~peer_network();

    /// @param make_summary describes this entry.
    /// @param handle answers forwards, cancellations and queries.
    /// @throws platform_error (`cannot_listen`).
    void listen(summary_source make_summary, request_handler handle);

    unsigned short get_port() const;

    /// Starts exchanging summaries; needs the session.
    void start();

    void stop();

    /// @param was_sent is set to false when the peer cannot have received it.
    asio::awaitable<std::optional<peer_body>> call(session_id session,
        peer_body body, milliseconds timeout, bool& was_sent);

    /// @return live sessions of a data centre that are not suspected, without
    ///   those that are leaving; this session is included.
    std::vector<session_id> get_live(const data_centre_id& data_centre) const;

    /// @return the owner of a pool in a data centre, or nothing.
    std::optional<session_id> find_owner(
        const pool_id& pool, const data_centre_id& data_centre) const;

    /// @return the newest summary of a session, or null.
    const peer_summary* find_summary(session_id session) const;

    /// @return whether the session is live and not suspected.
    bool is_heard(session_id session) const;

    /// Asks peers that reach the platform to write the heartbeat row of this
    /// session: an entry that is cut off from the platform alone goes on
    /// working and must not be declared dead.
    asio::awaitable<void> relay_heartbeat();

    /// @return whether an entry of each other data centre is not suspected.
    bool hears_data_centres() const;

    /// @param entries that the platform's instance list names as leaving.
    void set_leaving(std::set<entry_id> entries);

    /// @return open connections to and from other entries.
    std::size_t count_connections() const;

    /// @return the newest knowledge of the instance list among local peers.
    std::optional<listed_leaving> find_newest_list() const;

    /// @return newest summaries of all live sessions, this one excluded.
    std::vector<peer_summary> get_summaries() const;

private:
    struct peer
    {
        std::unique_ptr<peer_client> client;
        /// Of the instance list in the peer's newest summary.
        std::optional<monotonic_time> list_as_of;
        bool is_exchanging = false;
    };

    asio::awaitable<std::optional<peer_body>> handle_request(peer_body body);
    asio::awaitable<void> exchange_loop();
    asio::awaitable<void> exchange(session_id session);
    asio::awaitable<void> agreement_loop();
    asio::awaitable<void> fetch_entries(session_id session);
    /// @return the own summary as this peer needs it.
    peer_summary make_summary_for(session_id reader);
    void accept_summary(const peer_summary& summary);
    void update_peers();
    bool is_local(session_id session) const;
    bool is_initiator(session_id session) const;
    void log_fault(const std::string& code, const std::string& message) const;

    node_context& node_;
    fleet_sync& sync_;
    summary_source make_summary_;
    request_handler handle_;
    std::unique_ptr<peer_server> server_;
    std::map<session_id, std::shared_ptr<peer>> peers_;
    summary_exchange summaries_;
    std::optional<membership> members_; ///< Set once there is a session.
    bool is_fetching_ = false;
    std::uint64_t tick_ = 0;
};

} // namespace cowslippass
