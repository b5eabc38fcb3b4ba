#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace cowslippass
{

/// What a connection does. Under pressure, connections whose peer keeps the
/// server waiting are closed; never one whose request is being handled.
enum class connection_phase
{
    idle,      ///< Waits for the first byte of a request.
    receiving, ///< Has a part of a request.
    handling,  ///< Its request is complete and has no response yet.
    sending    ///< Its response is being sent, or its last bytes discarded.
};

struct connection_limits
{
    std::size_t max_connections = 4096;
    /// Bound on the bytes that all connections hold together.
    std::size_t max_bytes = 64 * 1024 * 1024;
};

/// The open connections of one server and the bytes that they hold. It decides
/// which of them are closed so that the limits hold.
class connection_table
{
public:
    struct entry
    {
        std::function<void()> close; ///< Frees the descriptor at once.
        connection_phase phase = connection_phase::idle;
        std::size_t bytes = 0;
        bool is_closed = false; ///< By this table.
    };
    using slot = std::list<entry>::iterator;

    explicit connection_table(connection_limits limits) : limits_(limits) {}

    /// Adds an idle connection; closes another one if there are too many.
    /// @return nothing when each of the others has a request in progress.
    std::optional<slot> add(std::function<void()> close);

    /// Forgets a connection that has ended.
    void remove(slot it);

    /// Moves the connection to the end of those that wait in this phase.
    void enter(slot it, connection_phase phase);

    /// Sets what the connection holds, and closes the slowest connections until
    /// the bound on bytes holds. The connection itself may be one of them.
    /// @return false when the bound is exceeded by requests in progress alone.
    bool hold(slot it, std::size_t bytes);

    /// Closes the connections that wait for a request.
    void close_idle();

    /// @return connections that were not closed by this table.
    std::size_t count_open() const;
    std::size_t get_bytes() const { return bytes_; }

private:
    std::list<entry>& get_list(connection_phase phase);
    void close(slot it);

    connection_limits limits_;
    std::size_t bytes_ = 0; ///< Of all open connections.
    // Each list is ordered by the time of entry into the phase.
    std::list<entry> idle_;
    std::list<entry> waiting_; ///< Receiving or sending.
    std::list<entry> handling_;
    std::list<entry> closed_;
};

} // namespace cowslippass
