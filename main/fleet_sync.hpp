#pragma once

#include "main/node_context.hpp"
#include "systems/fleet_log.hpp"

#include <deque>
#include <functional>

namespace cowslippass
{

inline constexpr const char* heartbeat_prefix = "heartbeats/";

/// @return the key of the row that a session writes to show that it lives.
std::string get_heartbeat_key(session_id session);

enum class append_status
{
    committed,
    unavailable, ///< Not committed, and will not be.
    unknown      ///< May be committed; ask again with the same command id.
};

struct append_result
{
    append_status status = append_status::unavailable;
    config_version version;
    std::size_t records = 0; ///< 0 when an earlier try had committed.
};

/// Keeps the fleet state equal to the fleet log, and appends to the log.
class fleet_sync
{
public:
    /// Plans records against a state; throws systems_error to refuse.
    using planner =
        std::function<std::vector<fleet_record>(const fleet_state&)>;

    explicit fleet_sync(node_context& node);

    /// Loads the log and registers this entry's session; tries again until
    /// the platform answers.
    asio::awaitable<void> join();

    /// Starts reading the head and writing the heartbeat row.
    /// @param relay asks a peer to write the row; used when the platform does
    ///   not answer.
    void start(std::function<asio::awaitable<void>()> relay);

    /// Writes the heartbeat row of a live session, the own one or a peer's.
    /// @return whether it was written.
    asio::awaitable<bool> write_heartbeat(session_id session);

    /// Reads the head and applies what is new.
    /// @return whether the platform confirmed the version in hand.
    asio::awaitable<bool> catch_up();

    /// Applies entries that a peer sent; used while the platform is out of
    /// reach. Entries that do not follow the version in hand are ignored.
    void apply_from_peer(const std::string& entries);

    /// @return the entries after `version` as JSON, for a peer; bounded.
    std::string get_entries_since(config_version version) const;

    /// Commits one command exactly once, whatever is lost on the way.
    /// @param conditions further rows that must be unchanged.
    /// @throws what the planner throws.
    asio::awaitable<append_result> append(command_id command, planner plan,
        std::vector<row_condition> conditions = {});

    /// @return the head as last read or written.
    const fleet_head& get_head() const { return head_; }

private:
    asio::awaitable<bool> load_snapshot();
    asio::awaitable<bool> read_entries(config_version until);
    void apply_entry(config_version version, const std::string& records);
    asio::awaitable<std::optional<append_result>> find_committed(
        command_id command);
    asio::awaitable<void> resolve_unknown(command_id command, fleet_head base);
    asio::awaitable<void> head_loop();
    asio::awaitable<void> heartbeat_loop(
        std::function<asio::awaitable<void>()> relay);

    node_context& node_;
    fleet_head head_;
    /// The newest entries, for peers that cannot reach the platform.
    std::deque<std::pair<config_version, std::string>> recent_;
    bool is_catching_up_ = false;
    row_version heartbeat_row_{0};
};

} // namespace cowslippass
