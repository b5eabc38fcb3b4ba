#pragma once

#include "main/node_context.hpp"

#include <functional>
#include <memory>
#include <set>

namespace cowslippass
{

/// Keeps in touch with one target: renews the leases of this entry's tasks
/// there, learns of their ends, and notices silence.
class target_link : public std::enable_shared_from_this<target_link>
{
public:
    struct observer
    {
        /// The target answered a sync.
        std::function<void(const instance_id&, const sync_result&)> on_answer;
        /// The target has not answered for `silence`.
        std::function<void(const instance_id&, milliseconds silence)>
            on_silence;
        /// A task listed in a sync has ended.
        std::function<void(const task_id&, target_task_state)> on_task_ended;
    };

    target_link(node_context& node, instance_id id,
        const tcp::endpoint& endpoint, observer callbacks);

    /// Starts the sync loop, which ends after `stop`.
    void start();

    void stop();

    /// Leases of these tasks are renewed until `remove_task`.
    void add_task(const task_id& id);
    void remove_task(const task_id& id);

    /// Ends the pause before the next sync.
    void sync_soon();

    bool has_tasks() const { return !tasks_.empty(); }

    const instance_id& get_id() const { return id_; }

    target_client& get_client() { return client_; }

    /// @return a deadline for a start on the target's clock, never past the
    ///   end of this entry's freshness; nothing when the target is silent or
    ///   the entry is not fresh.
    asio::awaitable<std::optional<target_clock_reading>> make_start_deadline();

private:
    asio::awaitable<void> sync_loop();
    asio::awaitable<bool> sync_once();
    /// @return time since the target's last answer of any kind.
    milliseconds get_silence() const;
    /// @return time until the next sync.
    milliseconds get_pause(bool is_answered) const;

    node_context& node_;
    instance_id id_;
    target_client client_;
    observer observer_;
    std::set<task_id> tasks_;
    asio::steady_timer idle_timer_;
    monotonic_time last_answer_;  ///< To a sync.
    monotonic_time active_until_; ///< Counts as idle afterwards.
    bool renewed_ = false;        ///< The last sync renewed leases.
    bool is_stopped_ = false;
};

} // namespace cowslippass
