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

/// Switches single rules off, to show that the model finds their absence.
struct grant_rules
{
    bool conditions_growth_on_head = true;
    bool reads_again_after_limit = true;
    bool counts_unknown_as_not_grown = true;
    bool stops_renewing = true;
    bool waits_for_release = true;
    bool waits_for_adoption = true;
    bool needs_freshness = true;
};

enum class grant_action
{
    pass_time,
    start,
    end,
    renew,
    change_limit,
    catch_up,
    set_waiting_count,
    send_peer_waiting,
    send_reads,
    execute_read,
    deliver_read,
    exchange_rows,
    send_transfers,
    apply_request,
    deliver_reply,
    lose_reply,
    apply_and_answer,
    run_without_faults,
    inject_fault,
    end_unreachable_session,
    release,
    adopt,
    renew_for_other,
    start_session,
    run_all_sessions
};

struct grant_step
{
    grant_action kind;
    int session;
    int argument;
    int amount;
};

/// One team, its limit and its tasks, and sessions whose clocks and lives the
/// steps control. Steps that are not possible do nothing.
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
        bool is_partitioned = false;
        std::uint64_t version = 0;
        monotonic_time fresh_as_of{};
        /// When the end of a session was learned, and the last freshness
        /// before that.
        std::map<std::uint64_t, monotonic_time> ended_observed{};
        std::map<std::uint64_t, monotonic_time> fresh_before_end{};
        std::map<std::uint64_t, std::size_t> adoptions{};
    };

    struct task
    {
        /// Sessions that count it as in use: the starter, and those that
        /// adopted it.
        std::set<session_id> owners;
        monotonic_time lease_until;
        bool is_running = true;
    };

    struct request
    {
        std::size_t from;
        grant_transfer transfer;
        std::optional<transaction_outcome> outcome{};
        row_version written{};
        bool is_answered = false;
    };

    struct read
    {
        std::size_t from;
        config_version read_at;
        std::optional<row> value{};
    };

    struct limit_change
    {
        monotonic_time committed;
        std::uint32_t limit;
        std::optional<std::uint64_t> ended;
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

    // Entries learn of a lowered limit within the freshness limit.
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
        // The target starts it up to the start deadline later.
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

    // A pool owner keeps the tasks of another session alive.
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
        // As after a snapshot: limits in between are not seen.
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
