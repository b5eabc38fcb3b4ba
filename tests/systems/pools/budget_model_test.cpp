#include "systems/pools/pool_planner.hpp"
#include "tests/systems/pools/lossy_fleet_model.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace cowslippass
{

namespace
{

constexpr std::int64_t step_ms = 50;
constexpr std::int64_t run_ms = 60'000;
constexpr std::int64_t takeovers_end_ms = 25'000;
constexpr std::int64_t lease_ms = 6'000;
const job_id job_1("1");

/// Runs coordinators one after the other against a fleet. Answers are lost or
/// late.
class budget_model : private lossy_fleet_model
{
public:
    explicit budget_model(unsigned seed, std::uint32_t budget)
        : lossy_fleet_model(seed, budget)
    {
        step_ = make_step(modelled_task_count);
        step_.is_long_running = true;
        step_.max_per_target = 2;
        step_.max_unavailable = budget;
        wave_.number = 1;
        wave_.time_limit = milliseconds(24'000);
        wave_.max_unavailable_instances = 3;
        for (const auto& [id, it] : instances)
            wave_.instances.push_back(id);
        take_over();
    }

    void run()
    {
        for (now_ms = 0; now_ms < run_ms; now_ms += step_ms)
        {
            move_time();
            if (is_chance(0.004))
                crash_target();
            if (now_ms < takeovers_end_ms && is_chance(0.03))
                take_over();
            act();
        }
    }

    int get_violations() const { return violations; }
    bool is_wave_done() const
    {
        return std::ranges::all_of(
            instances, [](const auto& it) { return it.second.is_maintained; });
    }

private:
    void take_over()
    {
        ++current_term;
        decisions = std::make_unique<coordinator>(coordinator_options{});
        auto state = make_published_state();
        state.waves[1] = wave_;
        decisions->set_published_state(state);
        pool_planner_options options;
        options.standby_delay = milliseconds(3'600'000);
        options.move_time = milliseconds(3'600'000);
        planner_ = std::make_unique<pool_planner>(options);
        for (const auto& [id, target] : targets)
            list_target(id);
        if (is_submitted_)
            decisions->load_job(job_1, make_record({step_}), progress_,
                at(now_ms), platform_time(now_ms));
        else
            decisions->submit(job_1, make_record({step_}), at(now_ms));
        is_submitted_ = true;
        for (const auto& [id, target] : decisions->get_targets())
            decisions->record_lease(id, at(now_ms + lease_ms));
        if (saved_wave_)
            planner_->restore_wave(1, *saved_wave_, at(now_ms));
        planner_->cordon_ordered_targets(*decisions, at(now_ms));
        for (const auto& [id, target] : targets)
            poll(id);
        next_list_ = now_ms + draw(0, 300);
        pending_.clear();
        stops_.clear();
    }

    void poll(const target_id& id)
    {
        boot_time sent = at(now_ms);
        std::uint64_t term = current_term;
        bool is_lost = is_chance(0.03);
        // Targets answer again before their leases expire.
        if (decisions->should_renew_leases(id))
            decisions->record_lease(id, at(now_ms + lease_ms));
        after(draw(0, 300), term,
            [this, id, sent, term, is_lost]
            {
                auto found = targets.find(id);
                if (found == targets.end() || is_lost)
                {
                    after(600, term,
                        [this, id]
                        {
                            decisions->handle_poll_failure(id, at(now_ms));
                            if (targets.contains(id))
                                poll(id);
                        });
                    return;
                }
                found->second.fence = std::max(found->second.fence, term);
                target_status status;
                status.clock = target_time(now_ms);
                for (const auto& [task, run] : found->second.runs)
                    status.running.push_back({task, run_number(run.number), "",
                        static_cast<int>(std::min<std::int64_t>(100,
                            (now_ms - run.started_at) * 100 / start_up_ms)),
                        0});
                status.ended = found->second.ended;
                after(draw(0, 200), term,
                    [this, id, status, sent]
                    {
                        decisions->handle_status(id, status, sent, at(now_ms));
                        poll(id);
                    });
            });
    }

    void send_start(const start_decision& decision, bool is_first)
    {
        if (!decisions->make_start_request(decision))
        {
            decisions->abandon_start(decision, at(now_ms));
            return;
        }
        decisions->record_lease(decision.target, at(now_ms + lease_ms));
        std::uint64_t term = current_term;
        double luck = std::uniform_real_distribution<>(0, 1)(random);
        auto reply = [this, decision](request_outcome outcome)
        {
            decisions->handle_start_reply(decision, outcome, at(now_ms));
            if (outcome == request_outcome::no_answer)
                send_start(decision, false);
        };
        if (!is_first && luck < 0.2)
        {
            after(50, term, [reply] { reply(request_outcome::not_sent); });
            return;
        }
        if (luck < 0.85)
            after(0, 0, [this, decision, term] { start(decision, term); });
        if (luck < 0.7)
            after(step_ms, term,
                [this, decision, term, reply]
                { reply(start(decision, term)); });
        else
            after(250, term, [reply] { reply(request_outcome::no_answer); });
    }

    void send_stops()
    {
        std::uint64_t term = current_term;
        for (const stop_decision& it : decisions->list_stops())
        {
            if (!stops_.insert(it.task).second)
                continue;
            bool is_answered = is_chance(0.7);
            after(draw(0, 100), 0,
                [this, it, term, is_answered]
                {
                    auto outcome = stop(it, term);
                    if (term == current_term && is_answered)
                        decisions->handle_stop_reply(it, outcome, at(now_ms));
                });
            after(400, term, [this, it] { stops_.erase(it.task); });
        }
    }

    void send_order(const instance_order& order)
    {
        if (!pending_.insert(order.instance).second)
            return;
        std::uint64_t term = current_term;
        double luck = std::uniform_real_distribution<>(0, 1)(random);
        auto reply = [this, order](instance_order_outcome outcome)
        {
            pending_.erase(order.instance);
            planner_->handle_order_reply(
                order, outcome, *decisions, at(now_ms));
            save();
        };
        if (luck < 0.4)
        {
            after(step_ms, 0,
                [this, order, term, reply]
                {
                    auto outcome = carry_out(order.instance, term, false);
                    if (term == current_term)
                        reply(outcome);
                });
            return;
        }
        if (luck < 0.55)
            after(step_ms, 0,
                [this, order, term]
                { carry_out(order.instance, term, false); });
        else if (luck < 0.7)
            after(draw(2'000, 12'000), 0,
                [this, order, term] { carry_out(order.instance, term, true); });
        after(
            1'500, term, [reply] { reply(instance_order_outcome::no_answer); });
    }

    void list_instances()
    {
        next_list_ = now_ms + 400;
        std::vector<platform_instance> list;
        for (const auto& [id, it] : instances)
        {
            platform_instance entry;
            entry.instance = id;
            entry.pool = pool_a;
            entry.condition = it.back_at ? instance_condition::in_maintenance
                                         : instance_condition::up;
            entry.data_centre = data_centre_id("z");
            entry.capacity = {4'000, 32'768, 0};
            entry.target = it.target;
            list.push_back(entry);
        }
        boot_time sent = at(now_ms);
        after(draw(0, 200), current_term,
            [this, list, sent]
            {
                planner_->set_instances(list, sent);
                for (const target_id& it :
                    planner_->find_ended_incarnations(*decisions, at(now_ms)))
                    decisions->handle_incarnation_end(it, sent, at(now_ms));
            });
    }

    void save()
    {
        progress_ = decisions->find_job(job_1)->encode_progress();
        if (auto wave = planner_->get_wave_progress(1))
            saved_wave_ = wave;
    }

    void act()
    {
        for (const auto& [id, target] : targets)
            if (!polled_[id].contains(current_term))
            {
                polled_[id].insert(current_term);
                if (!decisions->get_targets().at(id).has_reported)
                    poll(id);
            }
        if (now_ms >= next_list_)
            list_instances();
        decisions->end_runs_without_lease(at(now_ms));
        auto starts = decisions->plan(at(now_ms), platform_time(now_ms));
        pool_decisions pools;
        if (now_ms % 100 == 0)
            pools = planner_->plan(*decisions, at(now_ms));
        save();
        for (const start_decision& it : starts)
            send_start(it, true);
        for (const instance_order& it : pools.orders)
            send_order(it);
        send_stops();
    }

    step_spec step_;
    maintenance_wave wave_;
    std::unique_ptr<pool_planner> planner_;
    bool is_submitted_ = false;
    std::string progress_;
    std::optional<wave_progress> saved_wave_;
    std::int64_t next_list_ = 0;
    std::set<instance_id> pending_;
    std::set<task_name> stops_;
    std::map<target_id, std::set<std::uint64_t>> polled_;
};

} // namespace

// Load pattern: a maintenance wave with many takeovers, lost and late answers
// of the platform and of targets, and crashes. Guards against tasks that are
// ended beyond the budget of their step, and against a wave that stops.
TEST(budget_model, keeps_the_budget_of_a_step_over_takeovers)
{
    int violations = 0;
    int done = 0;
    constexpr int runs = 300;
    for (unsigned seed = 1; seed <= runs; ++seed)
    {
        budget_model model(seed, 1 + seed % 3);
        model.run();
        violations += model.get_violations();
        done += model.is_wave_done() ? 1 : 0;
        EXPECT_EQ(model.get_violations(), 0) << "seed " << seed;
    }
    RecordProperty("violations", violations);
    EXPECT_EQ(done, runs);
}

} // namespace cowslippass
