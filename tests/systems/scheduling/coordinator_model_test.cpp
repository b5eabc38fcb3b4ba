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
constexpr std::int64_t authority_ms = 4'000;
constexpr std::size_t target_count = 3;
constexpr std::size_t max_jobs = 4;

/// A target of the users' platform: obeys fences, leases and run numbers.
struct target_model
{
    struct run
    {
        std::uint64_t number;
        std::int64_t lease_end;
    };

    std::uint64_t fence = 0;
    std::int64_t born = 1;
    std::map<task_name, run> runs;
    std::map<task_name, std::uint64_t> highest_ended;
    std::vector<end_report> ended;
    std::uint64_t last_end = 0;
    std::int64_t lease_end = 0; ///< Of everything that runs here.
    /// Ends up to this one were listed when the lease ran out; taking note of
    /// them later does not count.
    std::uint64_t lapsed_end = 0;

    void end(const task_name& task, run_outcome how)
    {
        auto it = runs.find(task);
        highest_ended[task] = std::max(highest_ended[task], it->second.number);
        ended.push_back(
            {++last_end, task, run_number(it->second.number), how, ""});
        runs.erase(it);
    }

    void lapse(std::int64_t now)
    {
        std::vector<task_name> out;
        for (const auto& [task, it] : runs)
            if (it.lease_end <= now)
                out.push_back(task);
        for (const task_name& it : out)
            end(it, run_outcome::lease_expired);
        if (lease_end <= now)
            lapsed_end = last_end;
    }

    void crash()
    {
        target_model next;
        next.born = born + 1;
        *this = next;
    }
};

struct late_start
{
    std::size_t target;
    std::uint64_t fence;
    std::int64_t born;
    start_decision decision;
    std::int64_t lease_end;
};

/// Coordinators that come and go, targets that crash, orders and answers that
/// are lost or late. Checks after every step that no task runs twice, that no
/// task starts again after its end was taken note of, and that no target has
/// more than it holds.
class world
{
public:
    world()
    {
        targets_.resize(target_count);
        start_coordinator();
    }

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
            look(n % target_count, n / target_count % 4);
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
            deliver_late();
            break;
        case 10:
            current_->expire(at(now_));
            save();
            break;
        default:
            stop(n);
            break;
        }
        check();
    }

    /// Runs without faults until every job is completed.
    bool drain()
    {
        for (int i = 0; i < 400; ++i)
        {
            late_.clear();
            plan(0);
            for (std::size_t t = 0; t < target_count; ++t)
                look(t, 0);
            for (std::size_t t = 0; t < target_count; ++t)
                while (!targets_[t].runs.empty())
                    finish_on(t, targets_[t].runs.begin()->first);
            stop(0);
            current_->expire(at(now_));
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
        // A planned or unplanned end: only what was saved is left.
        current_ = std::make_unique<coordinator>(coordinator_options{});
        current_->set_publication(make_published_state());
        for (const auto& [id, record] : jobs_)
            if (auto settled = job::decode_settled(id, rows_[id]))
                current_->load_settled_job(std::move(*settled), at(now_));
            else
                current_->load_job(
                    id, record, rows_[id], at(now_), platform_time(now_));
        for (std::size_t i = 0; i < target_count; ++i)
        {
            auto report = make_report(name(i).get(), 2);
            current_->note_target_change({name(i), report}, at(now_));
            current_->note_lease(name(i), at(now_ + authority_ms + lease_ms));
        }
        seen_.clear();
    }

    void save()
    {
        for (const job_id& id : current_->take_changed())
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

    void plan(std::size_t faults)
    {
        auto starts = current_->plan(at(now_), platform_time(now_));
        save();
        for (const start_decision& it : starts)
        {
            auto i = static_cast<std::size_t>(it.target.get()[1] - '0');
            unanswered_.push_back(
                {i, term_, targets_[i].born, it, now_ + lease_ms});
            current_->note_lease(it.target, at(now_ + lease_ms));
        }
        // A start without an answer is sent again, with its first lease.
        for (late_start& it : std::exchange(unanswered_, {}))
        {
            if (!current_->make_start_order(it.decision))
                continue;
            std::size_t fault = faults % 5;
            faults /= 5;
            if (fault == 3)
            {
                late_.push_back(it);
                current_->note_start_reply(
                    it.decision, order_outcome::no_answer, at(now_));
                unanswered_.push_back(it);
                continue;
            }
            order_outcome outcome = execute(it);
            if (fault == 4)
                outcome = order_outcome::no_answer;
            current_->note_start_reply(it.decision, outcome, at(now_));
            if (outcome == order_outcome::no_answer)
                unanswered_.push_back(it);
        }
    }

    order_outcome execute(const late_start& it)
    {
        target_model& target = targets_[it.target];
        // A call never reaches another life of the target.
        if (target.born != it.born)
            return order_outcome::not_sent;
        if (it.fence < target.fence)
            return order_outcome::stale_fence;
        target.fence = it.fence;
        const task_name& task = it.decision.task;
        std::uint64_t run = it.decision.run.get();
        if (run <= target.highest_ended[task])
            return order_outcome::superseded;
        if (it.lease_end <= now_)
            return order_outcome::too_late;
        if (target.runs.contains(task))
            return order_outcome::accepted;
        started_after_end_ |= noted_done_.contains(task);
        target.runs[task] = {run, it.lease_end};
        extend(target, it.lease_end);
        return order_outcome::accepted;
    }

    static void extend(target_model& target, std::int64_t lease_end)
    {
        target.lease_end = std::max(target.lease_end, lease_end);
        for (auto& [task, it] : target.runs)
            it.lease_end = target.lease_end;
    }

    void deliver_late()
    {
        if (late_.empty())
            return;
        execute(late_.front());
        late_.erase(late_.begin());
    }

    void look(std::size_t i, std::size_t fault)
    {
        target_model& target = targets_[i];
        if (fault == 1)
        {
            current_->note_look_failure(name(i), at(now_));
            return;
        }
        target.fence = std::max(target.fence, term_);
        if (current_->wants_lease(name(i)))
        {
            current_->note_lease(name(i), at(now_ + lease_ms));
            extend(target, now_ + lease_ms);
        }
        std::uint64_t seen_here =
            seen_[i].first == target.born ? seen_[i].second : 0;
        std::erase_if(target.ended,
            [&](const end_report& it)
            {
                if (it.number > seen_here)
                    return false;
                if (it.end == run_outcome::done &&
                    it.number > target.lapsed_end)
                    noted_done_.insert(it.task);
                return true;
            });
        if (fault == 2)
        {
            current_->note_look_failure(name(i), at(now_));
            return;
        }
        target_look out;
        out.born = platform_time(target.born);
        for (const auto& [task, it] : target.runs)
            out.running.push_back({task, run_number(it.number), "", 100, 0});
        out.ended = target.ended;
        current_->note_look(name(i), out, at(now_), at(now_));
        save();
        seen_[i] = {target.born, target.last_end};
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
            current_->note_stop_reply(it,
                n % 3 == 1 ? order_outcome::no_answer : order_outcome::accepted,
                at(now_));
        }
    }

    void advance(std::int64_t ms)
    {
        now_ += ms;
        for (target_model& it : targets_)
            it.lapse(now_);
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
    std::map<std::size_t, std::pair<std::int64_t, std::uint64_t>> seen_;
    std::vector<late_start> late_;
    std::vector<late_start> unanswered_;
    std::set<task_name> noted_done_;
    bool started_after_end_ = false;
};

} // namespace

// Guards against a task that runs twice, starts after its end was taken note
// of, overfills a target, or never ends: coordinators are replaced, targets_
// crash, orders and answers are lost or late.
RC_GTEST_PROP(coordinator_model, runs_every_task_once_whatever_fails, ())
{
    auto choices = *rc::gen::container<std::vector<int>>(
        150, rc::gen::inRange(0, 100'000));
    world it;
    for (int choice : choices)
        it.step(choice);
    RC_ASSERT(it.drain());
}

} // namespace cowslippass
