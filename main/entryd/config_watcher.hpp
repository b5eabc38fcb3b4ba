#pragma once

#include "platform/published_rows.hpp"

#include <functional>

namespace cowslippass
{

/// Follows the configuration, evacuations and maintenance waves that operators
/// publish in the store, and tracks how recent its copy of them is.
class config_watcher
{
public:
    using change_handler = std::function<void()>;

    /// @param on_change called after each change of the state and after each
    ///   full read.
    config_watcher(
        asio::io_context& io, store_client& store, change_handler on_change);

    /// Runs until the process ends.
    asio::awaitable<void> run();

    /// @return what operators have published, as last read.
    const published_state& get_state() const { return state_; }

    /// @return the latest time at which the state is known to have been up to
    ///   date; nothing before the first answer of the store.
    std::optional<boot_time> get_confirmed_at() const { return confirmed_at_; }

private:
    /// Replaces the state by a full read of the published rows.
    /// @return whether the store answered.
    asio::awaitable<bool> read_all();
    /// Waits for the next changes and applies them.
    /// @return whether the store answered.
    asio::awaitable<bool> read_feed();
    /// Applies rows to the state. Skips rows that cannot be decoded.
    void apply(const std::vector<stored_row>& rows);

    asio::io_context& io_;
    store_client& store_;
    change_handler on_change_;
    published_state state_;
    std::optional<boot_time> confirmed_at_;
    row_version version_; ///< The feed continues after this version.
    bool needs_full_read_ = true;
};

} // namespace cowslippass
