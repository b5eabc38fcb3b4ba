#pragma once

#include "main/entryd/relay_client.hpp"

namespace cowslippass
{

class task_supervisor;

/// The relays of one term of the coordinator, with a connection to each.
class relay_set
{
public:
    /// @param own address at which peers reach this entry, which is never its
    ///   own relay. Connections are made from this IP address.
    relay_set(asio::io_context& io, const task_supervisor& tasks,
        const tcp::endpoint& own);
    ~relay_set();

    /// Records a probe of an entry, which offers itself as a relay.
    void record_contact(const peer_coordinator_call& probe);

    /// Selects relays and opens or closes the connections to them.
    /// @param targets number of targets in each data centre.
    void update(const std::map<data_centre_id, std::size_t>& targets);

    /// @return the relay for a target; null if there is none that is ready.
    std::shared_ptr<relay_client> choose(
        const target_id& target, const data_centre_id& data_centre) const;

    std::size_t count_ready() const;

    /// Closes all connections.
    void close();

private:
    void handle_loss(const relay_client& relay);

    asio::io_context& io_;
    const task_supervisor& tasks_;
    tcp::endpoint own_;
    relay_table table_;
    std::map<std::string, std::shared_ptr<relay_client>> clients_;
    /// Expires when the set is destroyed, which relays may outlive.
    std::shared_ptr<relay_set*> self_;
};

} // namespace cowslippass
