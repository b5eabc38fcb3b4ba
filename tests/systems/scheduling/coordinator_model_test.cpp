#include "tests/systems/scheduling/coordinator_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace cowslippass
{

namespace
{

constexpr std::int64_t lease_ms = 5'000;
/// How long a former coordinator may still grant leases after a takeover.
constexpr std::int64_t former_term_ms = 4'000;
constexpr std::size_t target_count = 3;
constexpr std::size_t max_jobs = 4;

/// Model of a target: checks fencing tokens, leases and run numbers.
struct target_model
{
    struct run
    {
        std::uint64_t number;
        std::int64_t lease_end;
    };

    std::uint64_t fence = 0;
    std::int64_t incarnation_start = 1;
    std::map<task_name, run> runs;
    /// Highest run number of each task that has ended or was stopped here.
    std::map<task_name, std::uint64_t> highest_ended;
    std::vector<end_report> ended;
    std::uint64_t last_end_number = 0;
    std::int64_t lease_end = 0; ///< Common to all runs at this target.
    /// Highest end number when the lease last expired. From then on, tasks may
    /// start elsewhere, so that reports of these ends do not count.
    std::uint64_t last_end_number_at_expiry = 0;

    void end(const task_name& task, run_outcome how)
    {
        auto it = runs.find(task);
        highest_ended[task] = std::max(highest_ended[task], it->second.number);
        ended.push_back(
            {++last_end_number, task, run_number(it->second.number), how, ""});
        runs.erase(it);
    }

    void expire_leases(std::int64_t now)
    {
        std::vector<task_name> out;
        for (const auto& [task, it] : runs)
            if (it.lease_end <= now)
                out.push_back(task);
        for (const task_name& it : out)
            end(it, run_outcome::lease_expired);
        if (lease_end <= now)
            last_end_number_at_expiry = last_end_number;
    }

    void crash()
    {
        target_model next;
        next.incarnation_start = incarnation_start + 1;
        *this = next;
    }
};

/// A start request that has no answer yet or may arrive late.
struct sent_start
{
    std::size_t target;
    std::uint64_t fence;
    std::int64_t incarnation_start;
    start_decision decision;
    std::int64_t lease_end;
};

/// Simulates coordinators that replace each other, targets that crash, and
/// requests and answers that are lost or late. Checks after every step that no
/// task runs twice, that no task starts again after the coordinator has
/// processed its end, and that no target exceeds its capacity.
class coordinator_simulation
{
public:
    coordinator_simulation()
    {
        targets_.resize(target_count);
        start_coordinator();
    }

    /// Takes one random step.
    /// @param choice selects the kind of step, and its faults.
    void step(int choice)
    {
        std::size_t n = static_cast<std::size_t>(choice) / 12;
        switch (choice % 12)
        {
        case 0:
            submit();
            break;
        case 1:
        case 2:
            plan(n);
            break;
        case 3:
        case 4:
            poll(n % target_count, n / target_count % 4);
            break;
        case 5:
            finish(n);
            break;
        case 6:
            advance(100 * static_cast<std::int64_t>(n % 12 + 1));
            break;
        case 7:
            if (n % 3 == 0)
                targets_[n % target_count].crash();
            break;
        case 8:
            if (n % 3 == 0)
                start_coordinator();
            break;
        case 9:
            deliver_delayed_request();
            break;
        case 10:
            current_->end_runs_without_lease(at(now_));
            save();
            break;
        default:
            stop(n);
            break;
        }
        check();
    }

    /// Continues without faults until every job is completed.
    /// @return whether all jobs were completed within the bound on rounds.
    bool drain()
    {
        for (int i = 0; i < 400; ++i)
        {
            delayed_.clear();
            plan(0);
            for (std::size_t t = 0; t < target_count; ++t)
                poll(t, 0);
            for (std::size_t t = 0; t < target_count; ++t)
                while (!targets_[t].runs.empty())
                    finish_on(t, targets_[t].runs.begin()->first);
            stop(0);
            current_->end_runs_without_lease(at(now_));
            save();
            advance(100);
            check();
            if (std::ranges::all_of(jobs_,
                    [&](const auto& it) {
                        return current_->find_job(it.first)->get_phase() ==
                               job_phase::completed;
                    }))
                return true;
        }
        return false;
    }

private:
    static target_id name(std::size_t i)
    {
        return target_id("t" + std::to_string(i));
    }

    void start_coordinator()
    {
        ++term_;
        unanswered_.clear();
        // The former coordinator stopped or crashed: only stored rows are left.
        current_ = std::make_unique<coordinator>(coordinator_options{});
        current_->set_published_state(make_published_state());
        for (const auto& [id, record] : jobs_)
            if (auto settled = job::decode_settled(id, rows_[id]))
                current_->load_settled_job(std::move(*settled), at(now_));
            else
                current_->load_job(
                    id, record, rows_[id], at(now_), platform_time(now_));
        for (std::size_t i = 0; i < target_count; ++i)
        {
            auto report = make_report(name(i).get(), 2);
            current_->handle_target_change({name(i), report}, at(now_));
            current_->record_lease(
                name(i), at(now_ + former_term_ms + lease_ms));
        }
        acknowledged_.clear();
    }

    void save()
    {
        for (const job_id& id : current_->take_changed_jobs())
            rows_[id] = current_->find_job(id)->encode_progress();
    }

    void submit()
    {
        if (jobs_.size() >= max_jobs)
            return;
        job_id id(std::to_string(jobs_.size()));
        step_spec last = make_step(1);
        last.after = {0};
        jobs_[id] = make_record({make_step(2), last});
        current_->submit(id, jobs_[id], at(now_));
        rows_[id] = current_->find_job(id)->encode_progress();
    }

    /// Plans and sends the start requests.
    /// @param faults one digit of base 5 for each request: 3 delays the
    ///   request, 4 loses its answer.
    void plan(std::size_t faults)
    {
        auto starts = current_->plan(at(now_), platform_time(now_));
        save();
        for (const start_decision& it : starts)
        {
            auto i = static_cast<std::size_t>(it.target.get()[1] - '0');
            unanswered_.push_back(
                {i, term_, targets_[i].incarnation_start, it, now_ + lease_ms});
            current_->record_lease(it.target, at(now_ + lease_ms));
        }
        // A start request without an answer is sent again, with its first
        // lease.
        for (sent_start& it : std::exchange(unanswered_, {}))
        {
            if (!current_->make_start_request(it.decision))
                continue;
            std::size_t fault = faults % 5;
            faults /= 5;
            if (fault == 3)
            {
                delayed_.push_back(it);
                current_->handle_start_reply(
                    it.decision, request_outcome::no_answer, at(now_));
                unanswered_.push_back(it);
                continue;
            }
            request_outcome outcome = execute(it);
            if (fault == 4)
                outcome = request_outcome::no_answer;
            current_->handle_start_reply(it.decision, outcome, at(now_));
            if (outcome == request_outcome::no_answer)
                unanswered_.push_back(it);
        }
    }

    request_outcome execute(const sent_start& it)
    {
        target_model& target = targets_[it.target];
        // A request never reaches another incarnation of the target.
        if (target.incarnation_start != it.incarnation_start)
            return request_outcome::not_sent;
        if (it.fence < target.fence)
            return request_outcome::stale_fence;
        target.fence = it.fence;
        const task_name& task = it.decision.task;
        std::uint64_t run = it.decision.run.get();
        if (run <= target.highest_ended[task])
            return request_outcome::superseded;
        if (it.lease_end <= now_)
            return request_outcome::too_late;
        if (target.runs.contains(task))
            return request_outcome::accepted;
        started_after_end_ |= processed_done_.contains(task);
        target.runs[task] = {run, it.lease_end};
        extend(target, it.lease_end);
        return request_outcome::accepted;
    }

    static void extend(target_model& target, std::int64_t lease_end)
    {
        target.lease_end = std::max(target.lease_end, lease_end);
        for (auto& [task, it] : target.runs)
            it.lease_end = target.lease_end;
    }

    void deliver_delayed_request()
    {
        if (delayed_.empty())
            return;
        execute(delayed_.front());
        delayed_.erase(delayed_.begin());
    }

    /// @param fault 1 when the poll is lost, 2 when its answer is lost.
    void poll(std::size_t i, std::size_t fault)
    {
        target_model& target = targets_[i];
        if (fault == 1)
        {
            current_->handle_poll_failure(name(i), at(now_));
            return;
        }
        target.fence = std::max(target.fence, term_);
        if (current_->should_renew_leases(name(i)))
        {
            current_->record_lease(name(i), at(now_ + lease_ms));
            extend(target, now_ + lease_ms);
        }
        std::uint64_t acknowledged_here =
            acknowledged_[i].first == target.incarnation_start
                ? acknowledged_[i].second
                : 0;
        std::erase_if(target.ended,
            [&](const end_report& it)
            {
                if (it.number > acknowledged_here)
                    return false;
                if (it.end == run_outcome::done &&
                    it.number > target.last_end_number_at_expiry)
                    processed_done_.insert(it.task);
                return true;
            });
        if (fault == 2)
        {
            current_->handle_poll_failure(name(i), at(now_));
            return;
        }
        target_status out;
        out.incarnation_start = platform_time(target.incarnation_start);
        for (const auto& [task, it] : target.runs)
            out.running.push_back({task, run_number(it.number), "", 100, 0});
        out.ended = target.ended;
        current_->handle_status(name(i), out, at(now_), at(now_));
        save();
        acknowledged_[i] = {target.incarnation_start, target.last_end_number};
    }

    void finish(std::size_t n)
    {
        target_model& target = targets_[n % target_count];
        if (target.runs.empty())
            return;
        auto it = target.runs.begin();
        std::advance(it, n / target_count % target.runs.size());
        finish_on(n % target_count, it->first);
    }

    void finish_on(std::size_t i, task_name task)
    {
        targets_[i].end(task, run_outcome::done);
    }

    /// Sends all stop requests.
    /// @param n modulo 3: 1 when the answers are lost, 2 when the requests are.
    void stop(std::size_t n)
    {
        for (const stop_decision& it : current_->list_stops())
        {
            auto i = static_cast<std::size_t>(it.target.get()[1] - '0');
            target_model& target = targets_[i];
            if (n % 3 == 2)
                continue;
            target.fence = std::max(target.fence, term_);
            if (target.runs.contains(it.task))
                target.end(it.task, run_outcome::stopped);
            target.highest_ended[it.task] =
                std::max(target.highest_ended[it.task], it.run.get());
            current_->handle_stop_reply(it,
                n % 3 == 1 ? request_outcome::no_answer
                           : request_outcome::accepted,
                at(now_));
        }
    }

    void advance(std::int64_t ms)
    {
        now_ += ms;
        for (target_model& it : targets_)
            it.expire_leases(now_);
    }

    void check()
    {
        std::map<task_name, int> copies;
        for (const target_model& target : targets_)
        {
            RC_ASSERT(target.runs.size() <= 2);
            for (const auto& [task, it] : target.runs)
                RC_ASSERT(++copies[task] == 1);
        }
        RC_ASSERT(!started_after_end_);
    }

    std::int64_t now_ = 0;
    std::uint64_t term_ = 0;
    std::unique_ptr<coordinator> current_;
    std::vector<target_model> targets_;
    std::map<job_id, job_record> jobs_;
    std::map<job_id, std::string> rows_;
    std::map<std::size_t, std::pair<std::int64_t, std::uint64_t>> acknowledged_;
    std::vector<sent_start> delayed_;
    std::vector<sent_start> unanswered_;
    /// Tasks whose end the coordinator has processed and acknowledged.
    std::set<task_name> processed_done_;
    bool started_after_end_ = false;
};

} // namespace

// Guards against a task that runs twice, starts after its end was processed,
// exceeds a target's capacity or never ends, while coordinators are replaced,
// targets crash, and requests and answers are lost or late.
RC_GTEST_PROP(coordinator_model, runs_every_task_once_whatever_fails, ())
{
    auto choices = *rc::gen::container<std::vector<int>>(
        150, rc::gen::inRange(0, 100'000));
    coordinator_simulation it;
    for (int choice : choices)
        it.step(choice);
    RC_ASSERT(it.drain());
}

} // namespace cowslippass
