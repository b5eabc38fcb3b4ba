#pragma once

#include "systems/grant_ledger.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// Rules of the protocol. Tests switch single rules off to show that the model
/// detects their absence.
struct grant_rules
{
    /// A growth is conditioned on the version of `config/head`.
    bool conditions_growth_on_head = true;
    /// The grants row is read again after a change of the limit.
    bool reads_again_after_limit = true;
    /// A growth without a known outcome counts as failed.
    bool counts_unknown_as_not_grown = true;
    /// Leases are renewed only until the renewal deadline.
    bool stops_renewing = true;
    /// Grants of an ended session are released only at the release time.
    bool waits_for_release = true;
    /// Grants of an ended session are adopted only from the adoption time on.
    bool waits_for_adoption = true;
    /// Tasks start only on a fresh configuration.
    bool needs_freshness = true;
};

/// What a step of the model does. The order is that of the handlers in
/// `grant_model::apply`.
enum class grant_action
{
    pass_time,
    start, ///< Starts tasks.
    end,   ///< Ends a task.
    renew, ///< Renews the leases of the session's own tasks.
    change_limit,
    catch_up,           ///< Applies the fleet log up to its newest version.
    set_waiting_count,  ///< Sets the number of tasks that wait for a grant.
    send_peer_waiting,  ///< Delivers the summary of a peer.
    send_reads,         ///< Sends the reads that are due.
    execute_read,       ///< The platform reads the row.
    deliver_read,       ///< The reply reaches the session.
    exchange_rows,      ///< Sends reads; executes and delivers all open ones.
    send_transfers,     ///< Sends the transactions that are due.
    apply_request,      ///< The platform executes a transaction.
    deliver_reply,      ///< The reply reaches the session.
    lose_reply,         ///< The session never learns the outcome.
    apply_and_answer,   ///< Sends, executes and answers transactions at once.
    run_without_faults, ///< Reads and writes without delays or lost replies.
    inject_fault, ///< Crashes a session, or toggles its pause or partition.
    end_unreachable_session, ///< Commits `session_ended`.
    release,                 ///< Releases grants of an ended session.
    adopt,                   ///< Adopts a task of an ended session.
    renew_for_other,         ///< Renews the leases of another session's tasks.
    start_session,
    run_all_sessions ///< All sessions run for some seconds without delays.
};

/// A step of the model.
struct grant_step
{
    grant_action kind;
    int session;  ///< Index of the acting session, modulo their number.
    int argument; ///< Another session, a task, a message or a count.
    int amount;   ///< A time or a limit.
};

/// State of the model: one team with its limit and its tasks, and sessions that
/// the steps start, stop and disconnect. Steps that are not possible do
/// nothing.
class grant_model_state
{
protected:
    explicit grant_model_state(grant_rules chosen) : rules(chosen)
    {
        change_limit({{}, 0, 0, 5});
        for (int i = 0; i < 2; ++i)
            start_session({});
    }

    struct session
    {
        session_id id;
        std::unique_ptr<grant_ledger> ledger;
        bool is_alive = true;
        bool is_paused = false;
        bool is_partitioned = false; ///< Cannot reach the platform.
        std::uint64_t version = 0;   ///< Of the fleet log, as applied.
        monotonic_time fresh_as_of{};
        /// By ended session: when this session learned of its end, and when its
        /// own configuration was last fresh before that.
        std::map<std::uint64_t, monotonic_time> ended_observed{};
        std::map<std::uint64_t, monotonic_time> fresh_before_end{};
        /// Transfer id and task of each adoption that was sent.
        std::map<std::uint64_t, std::size_t> adoptions{};
    };

    struct task
    {
        /// Sessions that count the task as in use: the one that started it and
        /// those that adopted it.
        std::set<session_id> owners;
        monotonic_time lease_until;
        bool is_running = true;
    };

    /// A transaction that a session sent.
    struct request
    {
        std::size_t from; ///< Index of the session.
        grant_transfer transfer;
        std::optional<transaction_outcome> outcome{}; ///< Set when executed.
        row_version written{};
        bool is_answered = false;
    };

    /// A read of the grants row that a session sent.
    struct read
    {
        std::size_t from; ///< Index of the session.
        config_version read_at;
        std::optional<row> value{}; ///< Set when executed.
    };

    /// An entry of the fleet log.
    struct limit_change
    {
        monotonic_time committed;
        std::uint32_t limit;
        std::optional<std::uint64_t> ended; ///< The session that it ends.
    };

    session& get(int index)
    {
        return all_sessions[static_cast<std::size_t>(index) %
                            all_sessions.size()];
    }

    static bool can_act(const session& it)
    {
        return it.is_alive && !it.is_paused;
    }

    static bool can_reach(const session& it)
    {
        return can_act(it) && !it.is_partitioned;
    }

    void start_session(const grant_step&)
    {
        if (all_sessions.size() < 4)
            add_session();
    }

    void add_session()
    {
        session it{session_id(all_sessions.size() + 1), nullptr};
        it.ledger = std::make_unique<grant_ledger>(it.id);
        all_sessions.push_back(std::move(it));
        catch_up({{}, static_cast<int>(all_sessions.size()) - 1, 0, 0});
    }

    void pass_time(const grant_step& step)
    {
        now += milliseconds(step.amount * 100);
    }

    bool is_fresh(const session& it) const
    {
        return now < it.fresh_as_of + freshness_limit;
    }

    std::size_t count_running() const
    {
        return static_cast<std::size_t>(std::count_if(all_tasks.begin(),
            all_tasks.end(), [](const task& it) { return it.is_running; }));
    }

    // Entries may use a higher limit until the freshness limit has passed since
    // it was lowered.
    std::uint32_t get_highest_limit() const
    {
        std::uint32_t highest = log.back().limit;
        for (std::size_t n = log.size() - 1; n-- > 0;)
        {
            if (now >= log[n + 1].committed + freshness_limit)
                break;
            highest = std::max(highest, log[n].limit);
        }
        return highest;
    }

    void start(const grant_step& step)
    {
        for (int n = 0; n <= step.argument && !violation; ++n)
            start_one(get(step.session));
    }

    void start_one(session& it)
    {
        bool may_start =
            can_act(it) && (is_fresh(it) || !rules.needs_freshness);
        if (!may_start || !it.ledger->try_acquire(team))
            return;
        // The target may start the task as late as the start deadline.
        all_tasks.push_back({{it.id}, now + start_deadline + task_lease});
        if (count_running() > get_highest_limit())
            violation = "session " + std::to_string(it.id.get()) +
                        " starts task " + std::to_string(count_running()) +
                        " above the limit " +
                        std::to_string(get_highest_limit());
    }

    std::vector<std::size_t> get_tasks(const session& it) const
    {
        std::vector<std::size_t> result;
        for (std::size_t n = 0; n < all_tasks.size(); ++n)
        {
            if (all_tasks[n].owners.contains(it.id))
                result.push_back(n);
        }
        return result;
    }

    void end(const grant_step& step)
    {
        auto& it = get(step.session);
        auto tasks = get_tasks(it);
        if (!can_act(it) || tasks.empty())
            return;
        auto& one = all_tasks[tasks[static_cast<std::size_t>(step.argument) %
                                    tasks.size()]];
        one.is_running = false;
        one.owners.erase(it.id);
        it.ledger->give_back(team);
    }

    void drop_lapsed()
    {
        for (auto& it : all_tasks)
        {
            if (it.is_running && it.lease_until <= now)
                it.is_running = false;
        }
    }

    void renew(const grant_step& step)
    {
        auto& it = get(step.session);
        auto deadline = grant_ledger::get_renewal_deadline(it.fresh_as_of);
        if (!can_act(it) || (now >= deadline && rules.stops_renewing))
            return;
        for (auto n : get_tasks(it))
        {
            if (all_tasks[n].is_running)
                all_tasks[n].lease_until = now + task_lease;
        }
    }

    // A pool owner renews the leases of tasks that another session started.
    void renew_for_other(const grant_step& step)
    {
        auto& it = get(step.session);
        auto& other = get(step.argument);
        auto ended = it.fresh_before_end.find(other.id.get());
        auto fresh =
            ended == it.fresh_before_end.end() ? it.fresh_as_of : ended->second;
        if (!can_act(it) || now >= grant_ledger::get_renewal_deadline(fresh))
            return;
        for (auto n : get_tasks(other))
        {
            if (all_tasks[n].is_running)
                all_tasks[n].lease_until = now + task_lease;
        }
    }

    void change_limit(const grant_step& step)
    {
        auto limit = static_cast<std::uint32_t>(1 + step.amount % 6);
        log.push_back({now, limit, std::nullopt});
    }

    void catch_up(const grant_step& step)
    {
        auto& it = get(step.session);
        if (!can_reach(it))
            return;
        auto before = it.fresh_as_of;
        for (auto n = it.version; n < log.size(); ++n)
        {
            if (!log[n].ended)
                continue;
            it.ended_observed[*log[n].ended] = now;
            it.fresh_before_end[*log[n].ended] = before;
            if (*log[n].ended == it.id.get())
                it.is_alive = false;
        }
        bool is_changed = it.version < log.size();
        it.version = log.size();
        it.fresh_as_of = now;
        // As after a snapshot: the session sees only the newest limit.
        config_version version(it.version);
        if (is_changed)
            it.ledger->on_limit(team, task_count(log.back().limit), version);
        it.ledger->on_config_head(version, row_version(it.version));
    }

    void set_waiting_count(const grant_step& step)
    {
        auto& it = get(step.session);
        it.ledger->set_waiting(
            team, task_count(static_cast<std::uint32_t>(step.argument)));
        waiting[it.id.get()] = static_cast<std::uint32_t>(step.argument);
    }

    void send_peer_waiting(const grant_step& step)
    {
        auto& it = get(step.session);
        auto& peer = get(step.argument);
        if (can_act(it) && can_act(peer) && it.id != peer.id)
            it.ledger->on_peer_waiting(
                peer.id, team, task_count(waiting[peer.id.get()]), now);
    }

    void note_adoptions(session& it)
    {
        for (const auto& outcome : it.ledger->take_adoption_outcomes())
        {
            if (!outcome.is_adopted)
                continue;
            auto& one = all_tasks[it.adoptions[outcome.id]];
            if (one.is_running)
                one.owners.insert(it.id);
            else
                it.ledger->give_back(team);
        }
    }

    grant_rules rules;
    team_id team{"alpha"};
    monotonic_time now{milliseconds(100000)};
    std::vector<limit_change> log;
    row table{"grants/alpha", "", row_version(0)};
    std::vector<session> all_sessions;
    std::vector<task> all_tasks;
    std::vector<request> pending_requests;
    std::vector<read> pending_reads;
    std::map<std::uint64_t, std::uint32_t> waiting;
    std::optional<std::string> violation;
};

} // namespace cowslippass
