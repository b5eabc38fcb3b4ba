#pragma once

#include "systems/claim_machine.hpp"

#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// Switches single rules off, to show that the model finds their absence.
struct claim_rules
{
    bool target_checks_deadline = true;
    bool writes_are_conditioned = true;
    bool waits_for_deadline = true;
    bool minds_retention = true;
    bool knows_repeats = true;
};

enum class claim_move
{
    attempt,
    apply,
    deliver,
    apply_and_deliver,
    lose,
    refuse_write,
    pass_time,
    pass_long_time,
    end_task,
    kill,
    resolve,
    lose_patience
};

struct claim_step
{
    claim_move kind;
    int a;
    int amount;
};

/// One request id, its row, one target that counts runs, and entries whose
/// messages the steps apply late, lose or deliver late.
class claim_model
{
public:
    explicit claim_model(claim_rules rules) : rules_(rules) {}

    /// @return a description of the first violation.
    std::optional<std::string> run(const std::vector<claim_step>& steps)
    {
        using handler = void (claim_model::*)(const claim_step&);
        static constexpr handler handlers[] = {&claim_model::attempt,
            &claim_model::apply, &claim_model::deliver,
            &claim_model::apply_and_deliver, &claim_model::lose,
            &claim_model::refuse_write, &claim_model::pass_time,
            &claim_model::pass_long_time, &claim_model::end_task,
            &claim_model::kill, &claim_model::resolve,
            &claim_model::lose_patience};
        for (const auto& step : steps)
        {
            (this->*handlers[static_cast<std::size_t>(step.kind)])(step);
            if (auto violation = find_violation())
                return violation;
        }
        return run_until_finished();
    }

    std::size_t get_answers(claim_answer answer) const
    {
        auto it = answers_.find(answer);
        return it == answers_.end() ? 0 : it->second;
    }

private:
    struct entry
    {
        session_id id;
        std::string digest;
        std::unique_ptr<claim_machine> machine;
        bool is_alive = true;
        bool was_told_not_run = false;
        bool has_caller = false;
        int answers = 0;
    };

    struct message
    {
        std::size_t from;
        claim_action action;
        bool is_applied = false;
        bool is_answered = false;
        transaction_outcome outcome{};
        row_version written{};
        row read{};
        start_answer started{};
        task_state state{};
        target_time clock{};
    };

    struct task
    {
        std::size_t attempt;
        task_state state = task_state::running;
        std::int64_t ended_at = 0;
    };

    void attempt(const claim_step& step)
    {
        if (entries_.size() >= 5)
            return;
        auto number = entries_.size() + 1;
        entry it{session_id(number), step.amount % 8 == 0 ? "other" : "same",
            nullptr};
        auto attempt = entries_.empty() || !rules_.knows_repeats
                           ? request_attempt::first
                           : request_attempt::maybe_repeated;
        it.machine = std::make_unique<claim_machine>(
            team_id("alpha"), request_id("r"), it.digest, it.id, attempt);
        it.has_caller = true;
        entries_.push_back(std::move(it));
        auto until = target_time(clock_ + step.amount % 2001);
        auto name = "task-" + std::to_string(number);
        take(number - 1, entries_.back().machine->begin(
                             {instance_id("t"), task_id(name), until}));
    }

    void take(std::size_t from, const claim_actions& actions)
    {
        for (const auto& action : actions)
        {
            if (const auto* reply = std::get_if<answer_caller>(&action))
                note_answer(from, *reply);
            else
                messages_.push_back({from, action});
        }
    }

    void note_answer(std::size_t from, const answer_caller& reply)
    {
        ++answers_[reply.answer];
        auto& it = entries_[from];
        ++it.answers;
        it.was_told_not_run |= reply.answer == claim_answer::not_run;
        if (reply.answer == claim_answer::done && get_runs() == 0)
            violation_ = "done without a run";
        bool is_refused = reply.answer == claim_answer::other_payload;
        if (is_refused && it.digest == claim_row::decode(row_.value).digest)
            violation_ = "the same payload was refused";
    }

    std::size_t get_runs() const { return runs_.size(); }

    message* choose(const claim_step& step, bool is_applied)
    {
        std::vector<message*> fitting;
        for (auto& it : messages_)
        {
            if (it.is_applied == is_applied && !(is_applied && it.is_answered))
                fitting.push_back(&it);
        }
        if (fitting.empty())
            return nullptr;
        return fitting[static_cast<std::size_t>(step.a) % fitting.size()];
    }

    void apply(const claim_step& step)
    {
        if (auto* it = choose(step, false))
            apply_one(*it, step.amount);
    }

    void apply_one(message& it, int amount)
    {
        it.is_applied = true;
        it.clock = target_time(clock_);
        if (const auto* write = std::get_if<write_claim>(&it.action))
            apply_write(it, write->request);
        else if (const auto* start = std::get_if<send_start>(&it.action))
            it.started = apply_start(start->start, it.from, amount);
        else if (const auto* ask = std::get_if<ask_target>(&it.action))
            it.state = get_state(ask->task);
        else
            it.read = row_;
    }

    void apply_write(message& it, const transaction& request)
    {
        bool is_met = request.conditions.front().version == row_.version ||
                      !rules_.writes_are_conditioned;
        it.outcome = is_met ? transaction_outcome::committed
                            : transaction_outcome::conflict;
        if (!is_met)
            return;
        row_.value = *request.writes.front().value;
        row_.version = row_version(row_.version.get() + 1);
        it.written = row_.version;
    }

    start_answer apply_start(
        const claim_start& start, std::size_t from, int amount)
    {
        if (tasks_.contains(start.task))
            return start_answer::known;
        bool is_late = clock_ > start.start_before.get();
        bool is_full = amount % 5 == 0;
        if ((is_late && rules_.target_checks_deadline) || is_full)
            return start_answer::refused;
        tasks_[start.task] = {from};
        runs_.push_back(from);
        return start_answer::started;
    }

    task_state get_state(const task_id& id) const
    {
        auto it = tasks_.find(id);
        return it == tasks_.end() ? task_state::unknown : it->second.state;
    }

    void deliver(const claim_step& step)
    {
        auto* it = choose(step, true);
        if (it && !it->is_answered)
            deliver_one(*it);
    }

    // A copy, as the actions that follow enlarge the list of messages.
    void deliver_one(message& original)
    {
        original.is_answered = true;
        auto it = original;
        auto& from = entries_[it.from];
        if (!from.is_alive)
            return;
        auto& machine = *from.machine;
        if (std::holds_alternative<write_claim>(it.action))
            take(it.from, machine.on_written(it.outcome, it.written));
        else if (std::holds_alternative<send_start>(it.action))
            take(it.from, machine.on_start_answer(it.started));
        else if (std::holds_alternative<ask_target>(it.action))
            take(it.from, machine.on_task_state(it.state, get_clock(it)));
        else if (std::holds_alternative<fetch_result>(it.action))
            take(it.from, machine.on_result("results/r"));
        else
            take(it.from, machine.on_row(it.read,
                              [this](session_id id) { return is_live(id); }));
    }

    target_time get_clock(const message& it) const
    {
        auto clock = it.clock.get();
        if (!rules_.waits_for_deadline)
            clock += start_deadline.count();
        if (!rules_.minds_retention)
            clock = std::min<std::int64_t>(clock, 100000);
        return target_time(clock);
    }

    bool is_live(session_id id) const
    {
        return id.get() > entries_.size() || entries_[id.get() - 1].is_alive;
    }

    void apply_and_deliver(const claim_step& step)
    {
        auto* it = choose(step, false);
        if (!it)
            return;
        apply_one(*it, step.amount);
        deliver_one(*it);
    }

    // The answer is lost; the message itself may still arrive.
    void lose(const claim_step& step)
    {
        auto* chosen = choose(step, step.amount % 2 == 0);
        if (!chosen || chosen->is_answered)
            return;
        chosen->is_answered = true;
        auto it = *chosen;
        auto& from = entries_[it.from];
        if (!from.is_alive)
            return;
        auto& machine = *from.machine;
        if (std::holds_alternative<write_claim>(it.action))
            take(it.from,
                machine.on_written(transaction_outcome::unknown, std::nullopt));
        else if (std::holds_alternative<send_start>(it.action))
            take(it.from, machine.on_start_answer(start_answer::none));
        else if (std::holds_alternative<read_claim>(it.action))
            take(it.from, machine.on_read_failed());
        else
            take(it.from, machine.on_target_silent());
    }

    // The platform says that it did not take a write.
    void refuse_write(const claim_step& step)
    {
        auto* chosen = choose(step, false);
        if (!chosen || chosen->is_answered ||
            !std::holds_alternative<write_claim>(chosen->action))
            return;
        auto from = chosen->from;
        messages_.erase(messages_.begin() + (chosen - messages_.data()));
        if (entries_[from].is_alive)
            take(from, entries_[from].machine->on_written(
                           transaction_outcome::unavailable, std::nullopt));
    }

    void pass_time(const claim_step& step)
    {
        clock_ += step.amount;
        std::erase_if(tasks_,
            [this](const auto& it)
            {
                return it.second.state != task_state::running &&
                       clock_ >=
                           it.second.ended_at + ended_task_retention.count();
            });
    }

    void pass_long_time(const claim_step& step)
    {
        pass_time({step.kind, step.a, 300 * step.amount});
    }

    void end_task(const claim_step& step)
    {
        for (auto& [id, it] : tasks_)
        {
            if (it.state != task_state::running)
                continue;
            it.state = step.amount % 2 ? task_state::done : task_state::lapsed;
            it.ended_at = clock_;
        }
    }

    void kill(const claim_step& step)
    {
        if (!entries_.empty())
            entries_[static_cast<std::size_t>(step.a) % entries_.size()]
                .is_alive = false;
    }

    // By an entry that takes the holder for dead, rightly or not.
    void resolve(const claim_step&)
    {
        if (row_.version == row_version(0) || entries_.size() >= 8)
            return;
        entry it{session_id(entries_.size() + 1), "same", nullptr};
        it.machine = std::make_unique<claim_machine>(team_id("alpha"),
            request_id("r"), it.digest, it.id, request_attempt::maybe_repeated);
        entries_.push_back(std::move(it));
        take(entries_.size() - 1, entries_.back().machine->resolve(row_));
    }

    void lose_patience(const claim_step& step)
    {
        if (entries_.empty())
            return;
        auto index = static_cast<std::size_t>(step.a) % entries_.size();
        if (entries_[index].is_alive)
            take(index, entries_[index].machine->on_patience_end());
    }

    // Nothing is lost any more, and every task ends.
    std::optional<std::string> run_until_finished()
    {
        for (int round = 0; round < 20; ++round)
        {
            pass_time({claim_move::pass_time, 0, 500});
            end_task({claim_move::end_task, 0, 1});
            // Actions that are added meanwhile wait for the next round.
            for (auto n = messages_.size(); n-- > 0;)
            {
                if (!messages_[n].is_applied)
                    apply_one(messages_[n], 1);
                if (!messages_[n].is_answered)
                    deliver_one(messages_[n]);
            }
        }
        if (auto violation = find_violation())
            return violation;
        for (const auto& it : entries_)
        {
            if (it.is_alive && !it.machine->is_finished())
                return "session " + std::to_string(it.id.get()) +
                       " never finishes";
            if (it.is_alive && it.answers != (it.has_caller ? 1 : 0))
                return "session " + std::to_string(it.id.get()) + " gave " +
                       std::to_string(it.answers) + " answers";
        }
        return std::nullopt;
    }

    std::optional<std::string> find_violation() const
    {
        if (violation_)
            return violation_;
        if (get_runs() > 1)
            return "ran twice";
        if (get_runs() == 0)
            return std::nullopt;
        auto state = claim_row::decode(row_.value);
        if (state.state == claim_state::not_run)
            return "recorded as not run";
        auto digest = entries_[runs_.front()].digest;
        if (state.digest != digest)
            return "ran with another payload";
        for (auto n = runs_.front(); n < entries_.size(); ++n)
        {
            if (entries_[n].was_told_not_run)
                return "told not run";
        }
        return std::nullopt;
    }

    claim_rules rules_;
    std::int64_t clock_ = 50000;
    row row_{"claims/alpha/r", "", row_version(0)};
    std::vector<entry> entries_;
    std::vector<message> messages_;
    std::map<task_id, task> tasks_;
    std::vector<std::size_t> runs_; ///< Entries whose starts ran.
    std::map<claim_answer, std::size_t> answers_;
    std::optional<std::string> violation_;
};

inline rc::Gen<std::vector<claim_step>> gen_claim_steps()
{
    using enum claim_move;
    auto kind = rc::gen::weightedElement<claim_move>(
        {{3, attempt}, {3, apply}, {3, deliver}, {8, apply_and_deliver},
            {3, lose}, {1, refuse_write}, {2, pass_time}, {1, pass_long_time},
            {2, end_task}, {1, kill}, {1, resolve}, {1, lose_patience}});
    auto step =
        rc::gen::build<claim_step>(rc::gen::set(&claim_step::kind, kind),
            rc::gen::set(&claim_step::a, rc::gen::inRange(0, 6)),
            rc::gen::set(&claim_step::amount, rc::gen::inRange(1, 3000)));
    return rc::gen::container<std::vector<claim_step>>(60, step);
}

/// Searches with fixed seeds, so that the result never depends on chance.
inline std::optional<std::string> find_claim_violation(
    claim_rules rules, std::uint64_t most_runs = 20000)
{
    auto gen = gen_claim_steps();
    std::map<claim_answer, std::size_t> answers;
    for (std::uint64_t seed = 1; seed <= most_runs; ++seed)
    {
        auto steps = gen(rc::Random(seed), rc::kNominalSize).value();
        claim_model model(rules);
        auto violation = model.run(steps);
        for (auto it : {claim_answer::done, claim_answer::not_run,
                 claim_answer::unknown, claim_answer::other_payload})
            answers[it] += model.get_answers(it);
        if (!violation)
            continue;
        std::cout << "found by run " << seed << ": " << *violation << '\n';
        return violation;
    }
    for (auto [answer, count] : answers)
        std::cout << "answer " << static_cast<int>(answer) << ": " << count
                  << '\n';
    return std::nullopt;
}

inline void showValue(const claim_step& step, std::ostream& os) // NOLINT
{
    os << static_cast<int>(step.kind) << ' ' << step.a << ' ' << step.amount;
}

} // namespace cowslippass
