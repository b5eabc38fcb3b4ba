#pragma once

#include "systems/pools/pool_planner.hpp"
#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <algorithm>
#include <memory>
#include <string>

namespace cowslippass
{

/// An event beside the maintenance wave of a modelled fleet.
enum class fleet_event
{
    none,
    short_job,      ///< Two short tasks, each as large as a long-running one.
    long_task,      ///< A small task that ends after 12 s.
    takeover,       ///< A successor loads the ledger.
    withdraw_wave,  ///< Operators remove the wave.
    replace_wave,   ///< Another wave of the same instances replaces it.
    crash,          ///< A target with runs ends; its instance is back later.
    cancel_and_next ///< The first long-running job is replaced by another one.
};

struct timed_event
{
    std::int64_t at_ms = 0;
    fleet_event event = fleet_event::none;
};

/// A fleet of one pool with long-running tasks, and its maintenance wave.
struct fleet_layout
{
    int instances = 2;
    int spares = 0;                           ///< In standby.
    std::vector<std::uint32_t> lasting = {3}; ///< Tasks of each job.
    std::uint32_t max_per_target = 0;
    std::uint32_t budget = 0; ///< step_spec::max_unavailable.
    std::uint32_t max_unavailable_instances = 1;
};

/// Runs the coordinator and the pool planner against targets and a platform
/// that answer at once. Counts what callers must not see:
/// tasks that wait although the pool has capacity for them twice over, orders
/// beyond a budget, and more instances drained or in maintenance than allowed.
class drain_model
{
public:
    static constexpr std::int64_t step_ms = 50;
    static constexpr std::int64_t wave_at_ms = 2'000;
    static constexpr std::int64_t wave_limit_ms = 20'000;
    static constexpr std::int64_t end_ms = 60'000;
    static constexpr std::int64_t task_cores = 5'400;

    /// @param events in the order of their times.
    drain_model(fleet_layout layout, std::vector<timed_event> events)
        : layout_(std::move(layout)), events_(std::move(events))
    {
        state_ = make_published_state();
        for (int i = 0; i < layout_.instances + layout_.spares; ++i)
        {
            instance_id id("m" + std::to_string(i));
            instance& it = instances_[id];
            it.pool = i < layout_.instances ? pool_a : pool_off;
            if (it.pool == pool_a)
                wave_.instances.push_back(id);
        }
        wave_.number = 1;
        wave_.time_limit = milliseconds(wave_limit_ms);
        wave_.max_unavailable_instances = layout_.max_unavailable_instances;
        take_over();
        for (auto& [id, it] : instances_)
            if (it.pool == pool_a)
                start_target(it);
        for (std::size_t i = 0; i < layout_.lasting.size(); ++i)
            submit_lasting("lasting-" + std::to_string(i), layout_.lasting[i]);
    }

    void run()
    {
        while (now_ < end_ms)
            step();
    }

    /// Runs up to a time.
    void run_until(std::int64_t ms)
    {
        while (now_ < ms)
            step();
    }

    const std::vector<std::string>& get_faults() const { return faults_; }

    std::size_t count_maintained() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(instances_,
            [](const auto& it) { return !it.second.maintained.empty(); }));
    }

    /// @return number of long-running tasks that were stopped at work.
    std::size_t count_interruptions() const { return interruptions_; }

    std::size_t count_cordoned() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(decisions_->get_targets(),
                [](const auto& it) { return it.second.is_cordoned; }));
    }

    bool is_wave_published() const { return !state_.waves.empty(); }

    /// Submits a job of short tasks.
    void submit_short(const std::string& id, std::uint32_t tasks,
        std::int64_t processor, std::int64_t takes_ms)
    {
        step_spec step = make_step(tasks, processor);
        step.estimate = milliseconds(takes_ms);
        submit(job_id(id), step);
        waiting_since_[job_id(id)] = now_;
    }

    void publish(std::map<std::uint64_t, maintenance_wave> waves)
    {
        state_.waves = std::move(waves);
        decisions_->set_published_state(state_);
    }

    const maintenance_wave& get_wave() const { return wave_; }

    void take_over()
    {
        std::map<job_id, std::string> progress;
        if (decisions_)
            for (const auto& [id, record] : jobs_)
                progress[id] = decisions_->find_job(id)->encode_progress();
        std::map<std::uint64_t, wave_progress> waves;
        if (planner_)
            for (const auto& [number, wave] : state_.waves)
                if (auto it = planner_->get_wave_progress(number))
                    waves[number] = *it;
        decisions_ = std::make_unique<coordinator>(coordinator_options{});
        decisions_->set_published_state(state_);
        pool_planner_options options;
        options.standby_delay = milliseconds(3'600'000);
        planner_ = std::make_unique<pool_planner>(options);
        for (const auto& [id, target] : targets_)
            list_target(id);
        for (const auto& [id, record] : jobs_)
            decisions_->load_job(
                id, record, progress[id], at(now_), platform_time(now_));
        for (const auto& [id, target] : targets_)
            decisions_->record_lease(id, at(now_ + lease_ms));
        for (const auto& [number, it] : waves)
            planner_->restore_wave(number, it, at(now_));
        planner_->cordon_ordered_targets(*decisions_, at(now_));
        next_list_ = now_;
    }

private:
    static constexpr std::int64_t lease_ms = 3'000;
    static constexpr std::int64_t stop_ms = 350;
    static constexpr std::int64_t start_up_ms = 700;
    static constexpr std::int64_t move_ms = 1'500;
    static constexpr std::int64_t maintenance_ms = 2'000;
    static constexpr std::int64_t crash_ms = 1'000;
    /// A task that was unavailable for this long counts against the budget.
    static constexpr std::int64_t notice_ms = 4'500;
    /// Bounds on the wait of a task for which there is room: from the end of
    /// its last run, and from then on.
    static constexpr std::int64_t restart_ms = 6'000;
    static constexpr std::int64_t wait_ms = 3'000;
    /// After a disturbance, waits count from this time on.
    static constexpr std::int64_t calm_ms = 4'000;

    struct task_run
    {
        std::uint64_t number = 0;
        std::int64_t started_at = 0;
        std::optional<std::int64_t> ends_at; ///< Of a task that ends.
        std::optional<std::int64_t> stops_at;
        resources need;
    };

    struct target
    {
        std::map<task_name, task_run> runs;
        std::map<task_name, std::uint64_t> ended_runs;
        std::vector<end_report> ended;
        std::uint64_t last_end = 0;

        resources get_used() const
        {
            resources out;
            for (const auto& [task, it] : runs)
                out += it.need;
            return out;
        }
    };

    struct instance
    {
        pool_id pool;
        target_id running;
        instance_condition condition = instance_condition::up;
        std::optional<std::int64_t> back_at;
        std::set<std::uint64_t> maintained; ///< Waves.
    };

    void add_fault(const std::string& what)
    {
        faults_.push_back(std::to_string(now_) + " ms: " + what);
    }

    void list_target(const target_id& id)
    {
        decisions_->handle_target_change({id, make_report(id.get())}, at(now_));
    }

    void start_target(instance& it)
    {
        it.running = target_id("t" + std::to_string(++last_target_));
        targets_[it.running];
        list_target(it.running);
    }

    void end_target(instance& it)
    {
        decisions_->handle_target_change({it.running, std::nullopt}, at(now_));
        targets_.erase(it.running);
        it.running = target_id();
    }

    void submit(const job_id& id, const step_spec& step)
    {
        jobs_[id] = make_record({step});
        decisions_->submit(id, jobs_[id], at(now_));
    }

    void submit_lasting(const std::string& id, std::uint32_t tasks)
    {
        step_spec step = make_step(tasks, task_cores);
        step.is_long_running = true;
        step.max_per_target = layout_.max_per_target;
        step.max_unavailable = layout_.budget;
        submit(job_id(id), step);
        for (std::uint32_t i = 0; i < tasks; ++i)
            last_at_work_[{job_id(id), {0, 0, i}}] = now_;
    }

    void step()
    {
        now_ += step_ms;
        if (now_ == wave_at_ms)
            publish({{1, wave_}});
        for (;
             next_event_ < events_.size() && events_[next_event_].at_ms <= now_;
             ++next_event_)
            start_event(events_[next_event_].event);
        move_runs();
        for (auto& [id, it] : instances_)
            if (it.back_at && *it.back_at <= now_)
            {
                it.back_at.reset();
                it.condition = instance_condition::up;
                if (it.pool == pool_a)
                    start_target(it);
            }
        if (now_ % 100 == 0)
            for (auto& [id, it] : targets_)
                poll(id, it);
        list_instances();
        decisions_->end_runs_without_lease(at(now_));
        for (const start_decision& it :
            decisions_->plan(at(now_), platform_time(now_)))
            start(it);
        if (now_ % 100 == 0)
            plan_pools();
        for (const stop_decision& it : decisions_->list_stops())
            stop(it);
        check_waits();
    }

    void start_event(fleet_event event)
    {
        std::string name = "event-" + std::to_string(next_event_);
        switch (event)
        {
        case fleet_event::none:
            break;
        case fleet_event::short_job:
            submit_short(name, 2, task_cores - 150, 700);
            break;
        case fleet_event::long_task:
            submit_short(name, 1, 1'000, 12'000);
            break;
        case fleet_event::takeover:
            take_over();
            disturbed_at_ = now_;
            break;
        case fleet_event::withdraw_wave:
            publish({});
            break;
        case fleet_event::replace_wave:
            if (state_.waves.empty())
                break;
            ++wave_.number;
            publish({{wave_.number, wave_}});
            break;
        case fleet_event::crash:
            crash();
            break;
        case fleet_event::cancel_and_next:
            cancel_and_submit(name);
            break;
        }
    }

    void cancel_and_submit(const std::string& next)
    {
        if (layout_.lasting.empty())
            return;
        // Its row stays in the ledger, as some of its runs have not ended yet.
        decisions_->cancel(first_, at(now_));
        std::erase_if(last_at_work_,
            [&](const auto& it) { return it.first.job == first_; });
        first_ = job_id(next);
        submit_lasting(next, layout_.lasting[0]);
    }

    void crash()
    {
        for (auto& [id, it] : instances_)
            if (!it.running.get().empty() &&
                !targets_.at(it.running).runs.empty())
            {
                end_target(it);
                it.condition = instance_condition::down;
                it.back_at = now_ + crash_ms;
                disturbed_at_ = now_;
                return;
            }
    }

    void move_runs()
    {
        for (auto& [id, it] : targets_)
            for (auto run = it.runs.begin(); run != it.runs.end();)
            {
                auto& [task, value] = *run;
                bool is_stopped = value.stops_at && *value.stops_at <= now_;
                bool is_done = value.ends_at && *value.ends_at <= now_;
                if (!is_stopped && !is_done)
                {
                    mark_at_work(task, value);
                    ++run;
                    continue;
                }
                it.ended_runs[task] = value.number;
                it.ended.push_back({++it.last_end, task,
                    run_number(value.number),
                    is_done ? run_outcome::done : run_outcome::stopped, ""});
                run = it.runs.erase(run);
            }
    }

    void mark_at_work(const task_name& task, const task_run& run)
    {
        waiting_since_.erase(task.job);
        auto it = last_at_work_.find(task);
        if (it == last_at_work_.end())
            return;
        it->second = now_;
        if (now_ - run.started_at >= start_up_ms && !run.stops_at)
            ordered_away_.erase(task);
    }

    void poll(const target_id& id, target& it)
    {
        if (decisions_->should_renew_leases(id))
            decisions_->record_lease(id, at(now_ + lease_ms));
        target_status status;
        status.clock = target_time(now_);
        for (const auto& [task, run] : it.runs)
            status.running.push_back({task, run_number(run.number), "",
                static_cast<int>(std::min<std::int64_t>(
                    100, (now_ - run.started_at) * 100 / start_up_ms)),
                0});
        status.ended = it.ended;
        decisions_->handle_status(id, status, at(now_), at(now_));
    }

    void list_instances()
    {
        if (now_ < next_list_)
            return;
        next_list_ = now_ + 400;
        std::vector<platform_instance> list;
        for (const auto& [id, it] : instances_)
        {
            platform_instance entry;
            entry.instance = id;
            entry.pool = it.pool;
            entry.condition = it.condition;
            entry.data_centre = data_centre_id("z");
            entry.capacity = {16'000, 32'768, 0};
            entry.target = it.running;
            list.push_back(entry);
        }
        planner_->set_instances(list, at(now_));
        for (const target_id& it :
            planner_->find_ended_incarnations(*decisions_, at(now_)))
            decisions_->handle_incarnation_end(it, at(now_), at(now_));
    }

    void start(const start_decision& it)
    {
        auto found = targets_.find(it.target);
        if (found == targets_.end())
        {
            decisions_->abandon_start(it, at(now_));
            return;
        }
        if (!decisions_->make_start_request(it))
        {
            decisions_->abandon_start(it, at(now_));
            return;
        }
        decisions_->record_lease(it.target, at(now_ + lease_ms));
        const step_spec& step =
            decisions_->find_job(it.task.job)->get_step(it.task.key);
        task_run run{it.run.get(), now_, {}, {}, step.need};
        if (!step.is_long_running)
            run.ends_at = now_ + step.estimate.count();
        found->second.runs[it.task] = run;
        decisions_->handle_start_reply(it, request_outcome::accepted, at(now_));
    }

    void stop(const stop_decision& it)
    {
        auto found = targets_.find(it.target);
        if (found == targets_.end())
            return;
        auto run = found->second.runs.find(it.task);
        if (run != found->second.runs.end() && !run->second.stops_at)
        {
            judge_interruption(it.task, run->second);
            run->second.stops_at = now_ + stop_ms;
        }
        decisions_->handle_stop_reply(it, request_outcome::accepted, at(now_));
    }

    void judge_interruption(const task_name& task, const task_run& run)
    {
        if (!last_at_work_.contains(task) ||
            now_ - run.started_at < start_up_ms)
            return;
        auto away = std::ranges::count_if(last_at_work_,
            [&](const auto& it)
            {
                return it.first.job == task.job && it.first != task &&
                       (ordered_away_.contains(it.first) ||
                           now_ - it.second >= notice_ms);
            });
        if (away >= std::max<std::int64_t>(layout_.budget, 1))
            add_fault("interrupted beyond the budget: task " +
                      std::to_string(task.key.index));
        ordered_away_.insert(task);
        ++interruptions_;
    }

    void plan_pools()
    {
        for (const instance_order& order :
            planner_->plan(*decisions_, at(now_)).orders)
        {
            auto outcome = carry_out(order);
            planner_->handle_order_reply(order, outcome, *decisions_, at(now_));
        }
        for (const auto& [number, wave] : state_.waves)
        {
            std::size_t cordoned = count_drained();
            if (cordoned > wave.max_unavailable_instances)
                add_fault(std::to_string(cordoned) + " instances are drained");
        }
    }

    /// @return number of targets with runs that get no new work.
    std::size_t count_drained() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(decisions_->get_targets(), [](const auto& it)
                { return it.second.is_cordoned && !it.second.runs.empty(); }));
    }

    instance_order_outcome carry_out(const instance_order& order)
    {
        instance& it = instances_.at(order.instance);
        if (order.is_maintenance() && it.maintained.contains(order.wave))
            return instance_order_outcome::accepted;
        if (it.condition != instance_condition::up)
            return instance_order_outcome::busy;
        if (!it.running.get().empty())
        {
            if (!targets_.at(it.running).runs.empty())
                add_fault("an order ends a target with runs");
            end_target(it);
        }
        it.condition = order.is_maintenance()
                           ? instance_condition::in_maintenance
                           : instance_condition::moving;
        it.back_at = now_ + (order.is_maintenance() ? maintenance_ms : move_ms);
        if (order.is_maintenance())
            it.maintained.insert(order.wave);
        else
            it.pool = order.pool;
        auto down = std::ranges::count_if(instances_,
            [](const auto& it) {
                return it.second.condition ==
                       instance_condition::in_maintenance;
            });
        if (down > layout_.max_unavailable_instances)
            add_fault(std::to_string(down) + " instances are in maintenance");
        return instance_order_outcome::accepted;
    }

    /// @return whether a target has capacity for the task twice over.
    bool has_room(const task_name& task, const resources& need,
        std::uint32_t max_per_target) const
    {
        return std::ranges::any_of(targets_,
            [&](const auto& it)
            {
                auto here = std::ranges::count_if(it.second.runs,
                    [&](const auto& run) { return run.first.job == task.job; });
                resources free =
                    resources{16'000, 32'768, 0} - it.second.get_used();
                return free.holds(need * 2) &&
                       (max_per_target == 0 || here < max_per_target);
            });
    }

    /// @return whether less than half of the pool's capacity is in use.
    bool is_half_empty() const
    {
        std::int64_t used = 0;
        for (const auto& [id, it] : targets_)
            used += it.get_used().processor;
        return used * 2 < static_cast<std::int64_t>(targets_.size()) * 16'000;
    }

    void check_waits()
    {
        std::int64_t calm_since = disturbed_at_ ? *disturbed_at_ + calm_ms : 0;
        for (auto& [task, since] : last_at_work_)
            check_wait(task, std::max(since + restart_ms, calm_since), true);
        for (auto& [job, since] : waiting_since_)
            check_wait({job, {}}, std::max(since, calm_since), false);
    }

    void check_wait(
        const task_name& task, std::int64_t since, bool is_long_running)
    {
        const step_spec& step = jobs_.at(task.job).spec.steps.at(0);
        bool waits = now_ >= since &&
                     has_room(task, step.need, step.max_per_target) &&
                     (is_long_running || is_half_empty());
        if (!waits)
        {
            room_since_.erase(task);
            return;
        }
        if (now_ - room_since_.emplace(task, now_).first->second == wait_ms)
            add_fault("task " + std::to_string(task.key.index) + " of " +
                      task.job.get() + " waits beside free capacity");
    }

    fleet_layout layout_;
    std::vector<timed_event> events_;
    std::size_t next_event_ = 0;
    job_id first_{"lasting-0"}; ///< The job that the next one replaces.
    published_state state_;
    maintenance_wave wave_;
    std::unique_ptr<coordinator> decisions_;
    std::unique_ptr<pool_planner> planner_;
    std::int64_t now_ = 0;
    std::int64_t next_list_ = 0;
    int last_target_ = 0;
    std::map<job_id, job_record> jobs_;
    std::map<target_id, target> targets_;
    std::map<instance_id, instance> instances_;
    /// When each long-running task was last running.
    std::map<task_name, std::int64_t> last_at_work_;
    std::set<task_name> ordered_away_; ///< Stopped, not at work again.
    /// Jobs of which no task has started.
    std::map<job_id, std::int64_t> waiting_since_;
    /// Since when a waiting task has had room twice over.
    std::map<task_name, std::int64_t> room_since_;
    std::optional<std::int64_t> disturbed_at_;
    std::vector<std::string> faults_;
    std::size_t interruptions_ = 0;
};

} // namespace cowslippass
