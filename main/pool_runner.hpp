#pragma once

#include "main/node_context.hpp"
#include "main/target_link.hpp"
#include "main/work_item.hpp"
#include "systems/placement_system.hpp"
#include "systems/target_health.hpp"

#include <map>
#include <memory>
#include <set>

namespace cowslippass
{

/// Grants of the fleet-wide limits of teams.
struct grant_source
{
    std::function<bool(const team_id&)> take;
    std::function<void(const team_id&)> give_back;
    /// Called when work waits for a grant.
    std::function<void()> want_more;
};

/// Told about targets that have been silent for long.
using target_failure_handler = std::function<void(const instance_id&)>;

/// Queues and places the work of one pool in this entry's data centre, and
/// carries out what the placement system decides.
class pool_runner : public std::enable_shared_from_this<pool_runner>
{
public:
    pool_runner(node_context& node, pool_id pool, grant_source grants,
        target_failure_handler on_failure);

    /// Starts the tick loop.
    void start();

    /// Runs one item to its end or to its answer deadline.
    asio::awaitable<work_result> run(work_item item);

    /// Goes on with a task that an earlier owner started.
    /// @param item has the task's id; no further start is made of it.
    asio::awaitable<work_result> adopt(work_item item, instance_id target);

    /// Renews the lease of a task that another session started, until that
    /// session is known to live or the task is adopted.
    void watch(const instance_id& target, const task_id& task);
    void unwatch(const instance_id& target, const task_id& task);

    /// @return the state of a task that may not be this entry's own; nothing
    ///   when the target is unknown or does not answer.
    asio::awaitable<std::optional<target_task_report>> query_task(
        instance_id target, task_id task);

    asio::awaitable<std::optional<std::string>> fetch_result(
        instance_id target, task_id task, request_id request);

    /// Cancels by the caller's request id.
    /// @return whether an item with this id was found.
    bool cancel(const request_id& request);

    /// Sends back a waiting task, as too much waits in the entry.
    /// @return whether the task waits here.
    bool refuse_waiting(const task_id& id);

    /// Work that waits is sent back with `owner_changed` when ownership ends.
    void set_owned(bool is_owned);

    bool is_owned() const { return is_owned_; }

    /// Takes over the instances of the pool from the fleet state.
    void update_targets();

    /// @param leaving instances that the platform lists as leaving.
    void set_leaving(const std::set<instance_id>& leaving);

    const pool_id& get_pool() const { return pool_; }

    /// @return items that have not ended.
    std::size_t get_active_count() const { return active_.size(); }

    const placement_system& get_placement() const { return placement_; }

    std::uint32_t count_targets() const;

    /// @return urgent items that have not ended.
    std::size_t count_urgent() const;

    /// One running or waiting task, for queries.
    struct task_view
    {
        task_id task;
        team_id team;
        queue_id queue;
        request_id request;
        instance_id target; ///< Empty while the task waits.
    };
    std::vector<task_view> list_tasks() const;

    /// One target, for queries.
    struct target_view
    {
        instance_id id;
        std::uint32_t slots = 0;
        std::uint32_t free_slots = 0;
        bool is_answering = false;
    };
    std::vector<target_view> list_targets() const;

private:
    struct active_item
    {
        active_item(asio::io_context& io, work_item what)
            : item(std::move(what)), done(io)
        {
        }

        work_item item;
        asio::steady_timer done;
        std::optional<work_result> result;
        instance_id target;
        std::optional<target_clock_reading> start_before;
        std::uint32_t starts = 0;
        bool is_on_target = false; ///< A start was sent and not disproved.
        /// A start was sent of which "not run" has not been proved.
        bool may_have_run = false;
        bool is_cancelled = false;
        bool is_preempted = false;
    };
    using active_ptr = std::shared_ptr<active_item>;
    struct target_entry
    {
        std::shared_ptr<target_link> link;
        placement_target description;
        bool is_answering = false;
    };

    asio::awaitable<void> tick_loop();
    void tick();
    void judge_targets();
    bool may_set_aside() const;
    void kick();
    void carry_out(const placement_decision& decision);
    void log_decision(
        const placement_decision& decision, const active_ptr& active) const;

    asio::awaitable<void> start_task(active_ptr active, instance_id target);
    asio::awaitable<void> resolve_start(active_ptr active);
    asio::awaitable<void> control_task(
        active_ptr active, placement_action action);
    void note_started(const active_ptr& active);
    void note_not_started(const active_ptr& active, start_refusal reason);
    void handle_task_ended(const task_id& id, target_task_state state);
    asio::awaitable<void> deliver_result(active_ptr active);

    /// @return the id that all attempts of an item share.
    static task_id get_work_id(const active_item& active);

    /// Removes the task from its target's books.
    void release(const active_ptr& active, task_outcome outcome,
        milliseconds keep_grant_for);
    /// Queues an idempotent item again, or ends it with `otherwise`.
    void retry_or_finish(const active_ptr& active, work_result otherwise);
    void finish(const active_ptr& active, work_result result);
    /// @return whether the entry has room for the new item; others may have
    ///   been sent back for it.
    bool take_room(const active_ptr& active);
    void finish_without_room(const active_ptr& active);
    /// Counts an accepted item that waits again.
    void note_waiting(const active_ptr& active);

    void handle_answer(const instance_id& id, const sync_result& answer);
    void handle_silence(const instance_id& id, milliseconds silence);
    target_link::observer make_observer();
    void update_description(target_entry& entry);
    bool is_usable(const instance_row& row) const;
    active_ptr find(const task_id& id) const;
    task_id make_task_id();

    node_context& node_;
    pool_id pool_;
    grant_source grants_;
    target_failure_handler on_failure_;
    placement_system placement_;
    target_health health_;
    std::set<task_id> bad_work_; ///< Fails wherever it runs.
    decision_log log_{"placement"};
    asio::steady_timer timer_;
    std::map<task_id, active_ptr> active_;
    std::map<instance_id, target_entry> targets_;
    std::set<instance_id> leaving_;
    bool is_owned_ = false;
    std::uint64_t last_task_ = 0;
};

} // namespace cowslippass
