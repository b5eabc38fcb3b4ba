#pragma once

#include "main/node_context.hpp"
#include "main/peer_network.hpp"

#include <functional>
#include <set>

namespace cowslippass
{

/// Knows which instances the platform lists as leaving (I9).
///
/// The list of 4,300 instances has 0.5 MB and changes with each restart. One
/// entry of a data centre, the reader, reads it; the others take the leaving
/// instances from its summaries, and read themselves when the reader's
/// knowledge grows old.
class leaving_watch
{
public:
    using change_handler = std::function<void(const std::set<instance_id>&)>;

    /// @param on_change called when the set of leaving instances has changed.
    leaving_watch(
        node_context& node, peer_network& peers, change_handler on_change);

    void start();

    const std::set<instance_id>& get_leaving() const { return leaving_; }

    /// Adds what is known of the list to a summary for a local peer.
    void describe(peer_summary& out) const;

private:
    asio::awaitable<void> run_loop();
    asio::awaitable<void> read();
    void adopt_from_peers();
    void accept(const listed_leaving& listed);
    bool is_reader() const;
    bool is_due() const;

    node_context& node_;
    peer_network& peers_;
    change_handler on_change_;
    std::set<instance_id> leaving_;
    std::string tag_;
    /// The list was no older than this at that time.
    std::optional<monotonic_time> as_of_;
    monotonic_time last_read_{};
};

} // namespace cowslippass
