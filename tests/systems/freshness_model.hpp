#pragma once

#include "systems/freshness.hpp"
#include "systems/session_admission.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// Switches single rules off, to show that the model finds their absence.
struct freshness_rules
{
    bool leaves_out_dead = false;
    bool needs_admission = true;
    bool needs_admitted_peer = true;
    bool needs_resolved_changes = true;
    bool uses_reply_time = false;
};

struct freshness_step
{
    int kind;
    int a;
    int b;
    int amount;
};

/// Members with their own links to the platform and to each other, and the
/// fleet log as a list of commit times. Steps that are not possible do nothing.
class freshness_model
{
public:
    explicit freshness_model(freshness_rules rules) : rules_(rules)
    {
        start_member();
        start_member();
    }

    /// @return a description of the first violation.
    std::optional<std::string> run(const std::vector<freshness_step>& steps)
    {
        using handler = void (freshness_model::*)(const freshness_step&);
        static constexpr handler handlers[] = {&freshness_model::pass_time,
            &freshness_model::pass_time, &freshness_model::toggle_platform,
            &freshness_model::cut_older, &freshness_model::toggle_peer,
            &freshness_model::kill, &freshness_model::newcomer,
            &freshness_model::newcomer, &freshness_model::commit,
            &freshness_model::commit, &freshness_model::send_change,
            &freshness_model::land_change, &freshness_model::resolve,
            &freshness_model::send_read, &freshness_model::receive_read,
            &freshness_model::ask_peer, &freshness_model::receive_peer,
            &freshness_model::begin_round, &freshness_model::answer_round,
            &freshness_model::whole_round, &freshness_model::whole_round,
            &freshness_model::catch_up, &freshness_model::catch_up,
            &freshness_model::acknowledge, &freshness_model::acknowledge,
            &freshness_model::end_session};
        for (const auto& step : steps)
        {
            (this->*handlers[step.kind % std::size(handlers)])(step);
            if (auto violation = find_violation())
                return violation;
        }
        return std::nullopt;
    }

private:
    struct member
    {
        session_id id;
        config_version started_at;
        session_admission admission;
        freshness fresh;
        bool is_alive = true;
        bool has_platform = true;
        bool has_unresolved = false;
        std::optional<config_version> in_flight{}; ///< Condition of an append.
        std::optional<std::pair<monotonic_time, config_version>> read{};
        std::optional<std::pair<monotonic_time, config_version>> reply{};
        milliseconds reply_age{0};
        std::uint64_t round = 0;
    };

    struct log_entry
    {
        monotonic_time committed;
        bool is_start_of_newcomer;
        std::optional<session_id> ended;
        std::vector<session_id> live;
    };

    config_version head() const { return config_version(log_.size()); }

    member& get(int index)
    {
        return members_[static_cast<std::size_t>(index) % members_.size()];
    }

    const std::vector<session_id>& live_at(config_version version) const
    {
        return log_[version.get() - 1].live;
    }

    bool is_connected(const member& a, const member& b) const
    {
        auto pair = std::minmax(a.id, b.id);
        auto it = cuts_.find({pair.first, pair.second});
        return a.is_alive && b.is_alive &&
               (it == cuts_.end() || !it->second || a.id == b.id);
    }

    bool is_admitted(const member& it) const
    {
        return !rules_.needs_admission || it.admission.is_admitted();
    }

    void append(bool is_start, std::optional<session_id> started,
        std::optional<session_id> ended)
    {
        std::vector<session_id> live;
        if (!log_.empty())
            live = log_.back().live;
        if (started)
            live.push_back(*started);
        if (ended)
            std::erase(live, *ended);
        log_.push_back({now_, is_start, ended, live});
    }

    void start_member()
    {
        session_id id(members_.size() + 1);
        std::vector<session_id> older;
        // The first two are admitted from the start.
        if (!log_.empty() && members_.size() >= 2)
            older = log_.back().live;
        append(!older.empty(), id, std::nullopt);
        member it{id, head(), session_admission(id, older), freshness()};
        it.fresh.note_version(head());
        members_.push_back(it);
        if (members_.size() == 2)
            members_.front().fresh.note_version(head());
    }

    void pass_time(const freshness_step& step)
    {
        now_ += milliseconds(step.amount);
    }

    void toggle_platform(const freshness_step& step)
    {
        get(step.a).has_platform = !get(step.a).has_platform;
    }

    void cut_older(const freshness_step&)
    {
        for (auto& it : members_)
            it.has_platform = false;
    }

    void toggle_peer(const freshness_step& step)
    {
        auto pair = std::minmax(get(step.a).id, get(step.b).id);
        auto& is_cut = cuts_[{pair.first, pair.second}];
        is_cut = !is_cut;
    }

    void kill(const freshness_step& step) { get(step.a).is_alive = false; }

    void newcomer(const freshness_step&)
    {
        if (members_.size() < 6)
            start_member();
    }

    bool can_append(const member& it) const
    {
        return it.is_alive && it.has_platform && is_admitted(it) &&
               !it.has_unresolved && it.fresh.get_version() == head();
    }

    void commit(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (!can_append(it))
            return;
        append(false, std::nullopt, std::nullopt);
        it.fresh.note_version(head());
        it.fresh.note_head_read(now_, head());
    }

    // The reply is lost; the request itself may still be on its way.
    void send_change(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (!can_append(it))
            return;
        it.has_unresolved = true;
        it.in_flight = head();
    }

    void land_change(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (it.in_flight && *it.in_flight == head())
            append(false, std::nullopt, std::nullopt);
        it.in_flight.reset();
    }

    void resolve(const freshness_step& step)
    {
        auto& it = get(step.a);
        bool can_still_land = it.in_flight && *it.in_flight == head();
        if (!it.is_alive || !it.has_platform || can_still_land)
            return;
        it.has_unresolved = false;
        apply_log(it);
    }

    void send_read(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (it.is_alive && it.has_platform)
            it.read = {now_, head()};
    }

    void receive_read(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (!it.is_alive || !it.read)
            return;
        auto at = rules_.uses_reply_time ? now_ : it.read->first;
        it.fresh.note_head_read(at, it.read->second);
        it.read.reset();
    }

    void ask_peer(const freshness_step& step)
    {
        auto& it = get(step.a);
        auto& peer = get(step.b);
        auto age = peer.fresh.get_age(now_);
        if (!is_connected(it, peer) || !age)
            return;
        it.reply = {now_, peer.fresh.get_version()};
        it.reply_age = *age;
    }

    void receive_peer(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (!it.is_alive || !it.reply)
            return;
        it.fresh.note_peer(it.reply->first, it.reply_age, it.reply->second);
        it.reply.reset();
    }

    void begin_round(const freshness_step& step)
    {
        auto& it = get(step.a);
        auto sessions = live_at(it.fresh.get_version());
        if (rules_.leaves_out_dead)
        {
            std::erase_if(sessions, [this](session_id id)
                { return !members_[id.get() - 1].is_alive; });
        }
        it.round = it.fresh.begin_agreement_round(now_, sessions);
    }

    void answer_round(const freshness_step& step)
    {
        auto& it = get(step.a);
        auto& peer = get(step.b);
        if (!is_connected(it, peer))
            return;
        it.fresh.on_agreement_answer(it.round, peer.id,
            peer.fresh.get_version(), peer.has_platform,
            peer.has_unresolved && rules_.needs_resolved_changes);
    }

    void whole_round(const freshness_step& step)
    {
        begin_round(step);
        now_ += milliseconds(step.amount / 100);
        for (int i = 0; i < static_cast<int>(members_.size()); ++i)
            answer_round({step.kind, step.a, i, 0});
    }

    void catch_up(const freshness_step& step)
    {
        auto& it = get(step.a);
        if (it.is_alive && it.has_platform)
            apply_log(it);
    }

    void apply_log(member& it)
    {
        for (auto n = it.fresh.get_version().get(); n < log_.size(); ++n)
        {
            auto ended = log_[n].ended;
            if (ended)
                it.admission.on_session_ended(*ended);
            if (ended == it.id)
                it.is_alive = false;
            it.fresh.note_version(config_version(n + 1));
        }
    }

    void acknowledge(const freshness_step& step)
    {
        auto& it = get(step.a);
        auto& peer = get(step.b);
        if (!is_connected(it, peer))
            return;
        it.admission.on_acknowledgement(peer.id,
            peer.admission.is_admitted() || !rules_.needs_admitted_peer,
            peer.fresh.get_version() >= it.started_at);
    }

    // Stands for the janitor and, with a == b, for a planned stop.
    void end_session(const freshness_step& step)
    {
        auto& it = get(step.a);
        auto& other = get(step.b);
        bool seems_dead = !other.is_alive || !other.has_platform;
        auto live = log_.back().live;
        bool is_listed =
            std::find(live.begin(), live.end(), other.id) != live.end();
        bool is_self = it.id == other.id;
        if (!can_append(it) || !is_listed || (!seems_dead && !is_self))
            return;
        append(false, std::nullopt, other.id);
        apply_log(it);
    }

    std::optional<std::string> find_violation() const
    {
        for (const auto& it : members_)
        {
            if (!it.is_alive || !it.fresh.is_fresh(now_))
                continue;
            for (auto n = it.fresh.get_version().get(); n < log_.size(); ++n)
            {
                const auto& entry = log_[n];
                if (entry.is_start_of_newcomer ||
                    now_ < entry.committed + freshness_limit)
                    continue;
                return "session " + std::to_string(it.id.get()) +
                       " is fresh without version " + std::to_string(n + 1);
            }
        }
        return std::nullopt;
    }

    freshness_rules rules_;
    monotonic_time now_{milliseconds(100000)};
    std::vector<log_entry> log_;
    std::vector<member> members_;
    std::map<std::pair<session_id, session_id>, bool> cuts_;
};

inline rc::Gen<std::vector<freshness_step>> gen_freshness_steps()
{
    auto step = rc::gen::build<freshness_step>(
        rc::gen::set(&freshness_step::kind, rc::gen::inRange(0, 26)),
        rc::gen::set(&freshness_step::a, rc::gen::inRange(0, 6)),
        rc::gen::set(&freshness_step::b, rc::gen::inRange(0, 6)),
        rc::gen::set(&freshness_step::amount, rc::gen::inRange(0, 3000)));
    return rc::gen::container<std::vector<freshness_step>>(200, step);
}

/// Searches with fixed seeds, so that the result never depends on chance.
inline bool find_freshness_violation(freshness_rules rules)
{
    constexpr std::uint64_t most_runs = 20000;
    auto gen = gen_freshness_steps();
    for (std::uint64_t seed = 1; seed <= most_runs; ++seed)
    {
        auto steps = gen(rc::Random(seed), rc::kNominalSize).value();
        if (freshness_model(rules).run(steps))
        {
            std::cout << "found by run " << seed << '\n';
            return true;
        }
    }
    return false;
}

inline void showValue(const freshness_step& step, std::ostream& os) // NOLINT
{
    os << step.kind << ' ' << step.a << ' ' << step.b << ' ' << step.amount;
}

} // namespace cowslippass
