#pragma once

#include "tests/systems/grant_model_state.hpp"

#include <rapidcheck.h>

#include <iostream>

namespace cowslippass
{

/// Model of sessions that change one grants row through a platform which may
/// delay requests, and delay or lose replies. Checks after each step that the
/// team stays within its limit.
class grant_model : private grant_model_state
{
public:
    explicit grant_model(grant_rules rules) : grant_model_state(rules) {}

    /// @param checks_idle_state whether to check after the steps that all
    ///   grants are returned and can be granted again.
    /// @return a description of the first violation.
    std::optional<std::string> run(
        const std::vector<grant_step>& steps, bool checks_idle_state = true)
    {
        for (const auto& step : steps)
        {
            apply(step);
            if (violation)
                return violation;
        }
        return checks_idle_state ? check_idle_state() : std::nullopt;
    }

private:
    void apply(const grant_step& step)
    {
        using handler = void (grant_model::*)(const grant_step&);
        static constexpr handler handlers[] = {&grant_model::pass_time,
            &grant_model::start, &grant_model::end, &grant_model::renew,
            &grant_model::change_limit, &grant_model::catch_up,
            &grant_model::set_waiting_count, &grant_model::send_peer_waiting,
            &grant_model::send_reads, &grant_model::execute_read,
            &grant_model::deliver_read, &grant_model::exchange_rows,
            &grant_model::send_transfers, &grant_model::apply_request,
            &grant_model::deliver_reply, &grant_model::lose_reply,
            &grant_model::apply_and_answer, &grant_model::run_without_faults,
            &grant_model::inject_fault, &grant_model::end_unreachable_session,
            &grant_model::release, &grant_model::adopt,
            &grant_model::renew_for_other, &grant_model::start_session,
            &grant_model::run_all_sessions};
        (this->*handlers[static_cast<std::size_t>(step.kind)])(step);
        drop_lapsed();
    }

    void send_reads(const grant_step& step)
    {
        auto& it = get(step.session);
        if (!can_act(it))
            return;
        auto from = it.id.get() - 1;
        for (const auto& team : it.ledger->plan_reads(now))
        {
            if (it.is_partitioned)
                it.ledger->on_read_failed(team);
            else
                pending_reads.push_back({from, config_version(it.version)});
        }
    }

    void execute_read(const grant_step& step)
    {
        if (pending_reads.empty())
            return;
        auto& one = pending_reads[static_cast<std::size_t>(step.argument) %
                                  pending_reads.size()];
        if (!one.value)
            one.value = table;
    }

    void deliver_read(const grant_step& step)
    {
        if (pending_reads.empty())
            return;
        auto index =
            static_cast<std::size_t>(step.argument) % pending_reads.size();
        auto one = pending_reads[index];
        auto& it = all_sessions[one.from];
        if (!one.value || it.is_paused)
            return;
        pending_reads.erase(
            pending_reads.begin() + static_cast<std::ptrdiff_t>(index));
        if (!it.is_alive)
            return;
        if (!rules.reads_again_after_limit)
            one.read_at = config_version(1000000);
        it.ledger->on_row(team, *one.value, one.read_at);
        note_adoptions(it);
    }

    void exchange_rows(const grant_step& step)
    {
        send_reads(step);
        for (int n = 0; n < static_cast<int>(pending_reads.size()); ++n)
            execute_read({{}, 0, n, 0});
        for (int n = static_cast<int>(pending_reads.size()); n-- > 0;)
            deliver_read({{}, 0, n, 0});
    }

    void send(session& it, grant_transfer transfer)
    {
        request one{it.id.get() - 1, std::move(transfer)};
        if (!rules.conditions_growth_on_head)
        {
            std::erase_if(one.transfer.request.conditions,
                [](const auto& c) { return c.key == "config/head"; });
        }
        pending_requests.push_back(std::move(one));
    }

    void send_transfers(const grant_step& step)
    {
        auto& it = get(step.session);
        if (!can_act(it))
            return;
        for (auto& transfer : it.ledger->plan_transfers(now))
        {
            if (it.is_partitioned)
                it.ledger->on_result(
                    transfer.id, transaction_outcome::unavailable);
            else
                send(it, std::move(transfer));
        }
    }

    bool holds(const row_condition& condition) const
    {
        if (condition.key == "config/head")
            return condition.version.get() == log.size();
        return condition.version == table.version;
    }

    void apply_one_request(request& one)
    {
        if (one.outcome)
            return;
        const auto& request = one.transfer.request;
        bool is_met =
            std::all_of(request.conditions.begin(), request.conditions.end(),
                [this](const auto& it) { return holds(it); });
        one.outcome = is_met ? transaction_outcome::committed
                             : transaction_outcome::conflict;
        if (!is_met)
            return;
        table.value = *request.writes.front().value;
        table.version = row_version(table.version.get() + 1);
        one.written = table.version;
    }

    void apply_request(const grant_step& step)
    {
        if (!pending_requests.empty())
            apply_one_request(
                pending_requests[static_cast<std::size_t>(step.argument) %
                                 pending_requests.size()]);
    }

    void answer(request& one, transaction_outcome outcome)
    {
        auto& it = all_sessions[one.from];
        if (one.is_answered || !can_act(it))
            return;
        one.is_answered = true;
        std::optional<row_version> written;
        if (outcome == transaction_outcome::committed)
            written = one.written;
        if (!rules.counts_unknown_as_not_grown &&
            outcome == transaction_outcome::unknown)
        {
            outcome = transaction_outcome::committed;
            auto base = one.transfer.request.conditions.front().version;
            written = row_version(base.get() + 1);
        }
        it.ledger->on_result(one.transfer.id, outcome, written);
        note_adoptions(it);
    }

    void deliver_reply(const grant_step& step)
    {
        if (pending_requests.empty())
            return;
        auto& one = pending_requests[static_cast<std::size_t>(step.argument) %
                                     pending_requests.size()];
        if (one.outcome)
            answer(one, *one.outcome);
    }

    // The platform may still execute the request later.
    void lose_reply(const grant_step& step)
    {
        if (!pending_requests.empty())
            answer(pending_requests[static_cast<std::size_t>(step.argument) %
                                    pending_requests.size()],
                transaction_outcome::unknown);
    }

    void apply_and_answer(const grant_step& step)
    {
        send_transfers(step);
        for (auto& one : pending_requests)
        {
            if (one.from != get(step.session).id.get() - 1)
                continue;
            apply_one_request(one);
            answer(one, *one.outcome);
        }
    }

    // The session catches up, reads the row and changes it, without delays or
    // lost replies.
    void run_without_faults(const grant_step& step)
    {
        catch_up(step);
        exchange_rows(step);
        set_waiting_count(step);
        apply_and_answer(step);
    }

    // All sessions run for some seconds.
    void run_all_sessions(const grant_step& step)
    {
        for (int second = 0; second < step.amount; ++second)
        {
            now += milliseconds(1000);
            for (int n = 0; n < static_cast<int>(all_sessions.size()); ++n)
            {
                catch_up({{}, n, 0, 0});
                renew({{}, n, 0, 0});
                exchange_rows({{}, n, 0, 0});
                apply_and_answer({{}, n, 0, 0});
            }
            drop_lapsed();
        }
    }

    void inject_fault(const grant_step& step)
    {
        auto& it = get(step.session);
        if (step.argument == 0)
            it.is_alive = false;
        else if (step.argument < 4)
            it.is_paused = !it.is_paused;
        else
            it.is_partitioned = !it.is_partitioned;
    }

    bool is_ended(const session& it) const
    {
        return std::any_of(log.begin(), log.end(),
            [&](const auto& one) { return one.ended == it.id.get(); });
    }

    void end_unreachable_session(const grant_step& step)
    {
        auto& it = get(step.session);
        if (can_reach(it) || is_ended(it))
            return;
        auto limit = log.back().limit;
        log.push_back({now, limit, it.id.get()});
    }

    void release(const grant_step& step)
    {
        auto& it = get(step.session);
        auto& other = get(step.argument);
        auto ended = it.ended_observed.find(other.id.get());
        if (!can_reach(it) || ended == it.ended_observed.end())
            return;
        auto observed = ended->second;
        if (!rules.waits_for_release)
            observed -= milliseconds(20000);
        auto transfer = it.ledger->plan_ended_session_release(
            other.id, team, observed, now);
        if (transfer)
            send(it, std::move(*transfer));
    }

    void adopt(const grant_step& step)
    {
        auto& it = get(step.session);
        auto& other = get(step.argument);
        auto ended = it.ended_observed.find(other.id.get());
        if (!can_reach(it) || ended == it.ended_observed.end())
            return;
        auto observed = ended->second;
        if (!rules.waits_for_adoption)
            observed -= milliseconds(20000);
        for (auto n : get_tasks(other))
        {
            if (!all_tasks[n].is_running || all_tasks[n].owners.contains(it.id))
                continue;
            auto transfer = it.ledger->plan_adoption(
                other.id, team, task_count(1), observed, now);
            if (!transfer)
                return;
            it.adoptions[transfer->id] = n;
            send(it, std::move(*transfer));
            return;
        }
    }

    // Ends all faults and tasks and checks that all grants are returned, and
    // that the whole limit can be granted afterwards.
    std::optional<std::string> check_idle_state()
    {
        for (auto& it : all_sessions)
        {
            it.is_paused = false;
            it.is_partitioned = false;
            if (!it.is_alive)
                end_unreachable_session(
                    {{}, static_cast<int>(it.id.get()) - 1, 0, 0});
        }
        for (auto& it : all_tasks)
            it.is_running = false;
        add_session();
        run_rounds(0, 600);
        if (violation)
            return violation;
        auto left = grant_row::decode(table.value).get_total();
        if (left > 0)
        {
            std::string text = "grants not returned: " + table.value;
            for (const auto& it : all_sessions)
                text += " [" + std::to_string(it.id.get()) +
                        (it.is_alive ? " alive" : " dead") + " in use " +
                        std::to_string(it.ledger->get_in_use(team).get()) +
                        " tasks " + std::to_string(get_tasks(it).size()) + "]";
            return text;
        }
        // With waiting work, the whole limit must be granted again.
        run_rounds(6, 100);
        if (grant_row::decode(table.value).get_total() != log.back().limit)
            return "limit not granted completely: " + table.value;
        return std::nullopt;
    }

    void run_rounds(int wanted, int rounds)
    {
        for (int round = 0; round < rounds && !violation; ++round)
        {
            now += milliseconds(100);
            for (int n = 0; n < static_cast<int>(all_sessions.size()); ++n)
                run_round(n, wanted);
        }
    }

    void run_round(int n, int wanted)
    {
        catch_up({{}, n, 0, 0});
        auto& it = get(n);
        if (!it.is_alive)
            return;
        for (std::size_t left = get_tasks(it).size(); left > 0; --left)
            end({{}, n, 0, 0});
        set_waiting_count({{}, n, wanted, 0});
        for (int peer = 0; peer < static_cast<int>(all_sessions.size()); ++peer)
        {
            release({{}, n, peer, 0});
            send_peer_waiting({{}, n, peer, 0});
        }
        exchange_rows({{}, n, 0, 0});
        apply_and_answer({{}, n, 0, 0});
    }
};

inline rc::Gen<grant_action> gen_grant_action()
{
    using enum grant_action;
    return rc::gen::weightedElement<grant_action>(
        {{2, pass_time}, {4, start}, {2, end}, {1, renew}, {1, change_limit},
            {2, catch_up}, {2, set_waiting_count}, {1, send_peer_waiting},
            {1, send_reads}, {1, execute_read}, {1, deliver_read},
            {2, exchange_rows}, {1, send_transfers}, {1, apply_request},
            {1, deliver_reply}, {1, lose_reply}, {2, apply_and_answer},
            {3, run_without_faults}, {1, inject_fault},
            {1, end_unreachable_session}, {1, release}, {1, adopt},
            {1, renew_for_other}, {1, start_session}, {1, run_all_sessions}});
}

inline rc::Gen<std::vector<grant_step>> gen_grant_steps()
{
    auto step = rc::gen::build<grant_step>(
        rc::gen::set(&grant_step::kind, gen_grant_action()),
        rc::gen::set(&grant_step::session, rc::gen::inRange(0, 4)),
        rc::gen::set(&grant_step::argument, rc::gen::inRange(0, 7)),
        rc::gen::set(&grant_step::amount, rc::gen::inRange(0, 30)));
    return rc::gen::container<std::vector<grant_step>>(250, step);
}

/// Runs random steps with the seeds 1 to `max_runs`, so that the result is
/// reproducible.
/// @param sought part of the violation's description; empty accepts any
///   violation.
/// @return the description of the first violation found.
inline std::optional<std::string> find_grant_violation(
    grant_rules rules, const std::string& sought, std::uint64_t max_runs)
{
    auto gen = gen_grant_steps();
    for (std::uint64_t seed = 1; seed <= max_runs; ++seed)
    {
        auto steps = gen(rc::Random(seed), rc::kNominalSize).value();
        auto violation = grant_model(rules).run(steps, sought.empty());
        bool is_sought =
            violation && violation->find(sought) != std::string::npos;
        if (!is_sought)
            continue;
        std::cout << "found by run " << seed << ": " << *violation << '\n';
        return violation;
    }
    return std::nullopt;
}

inline void showValue(const grant_step& step, std::ostream& os) // NOLINT
{
    os << static_cast<int>(step.kind) << ' ' << step.session << ' '
       << step.argument << ' ' << step.amount;
}

} // namespace cowslippass
