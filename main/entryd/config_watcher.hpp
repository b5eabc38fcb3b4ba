#pragma once

#include "platform/publication.hpp"

#include <functional>

namespace cowslippass
{

/// Follows what operators publish and knows how old that knowledge is.
class config_watcher
{
public:
    using change_handler = std::function<void()>;

    config_watcher(
        asio::io_context& io, store_client& store, change_handler on_change);

    /// Runs until the process ends.
    asio::awaitable<void> run();

    const published_state& get_state() const { return state_; }

    /// @return the time as of which the state is known to be the newest;
    ///   nothing before the first answer.
    std::optional<boot_time> get_confirmed_at() const { return confirmed_at_; }

private:
    asio::awaitable<bool> read_all();
    asio::awaitable<bool> read_feed();
    void apply(const std::vector<stored_row>& rows);

    asio::io_context& io_;
    store_client& store_;
    change_handler on_change_;
    published_state state_;
    std::optional<boot_time> confirmed_at_;
    row_version version_;
    bool needs_full_read_ = true;
};

} // namespace cowslippass
