#include "systems/job_machine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace cowslippass
{

namespace
{

struct job_rules
{
    bool conditions_live_row = true;
    bool conditions_ended_row = true;
};

struct job_step
{
    int kind;
    int job;
    int owner;
};

void showValue(const job_step& step, std::ostream& os) // NOLINT
{
    os << step.kind << ' ' << step.job << ' ' << step.owner;
}

/// Rows of some jobs, and entries that act on rows as they once read them.
/// Transactions arrive late, more than once by other entries, or never.
class job_model
{
public:
    explicit job_model(job_rules rules) : rules_(rules) {}

    std::optional<std::string> run(const std::vector<job_step>& steps)
    {
        using handler = void (job_model::*)(const job_step&);
        static constexpr handler handlers[] = {&job_model::accept,
            &job_model::read, &job_model::read, &job_model::start,
            &job_model::start, &job_model::finish, &job_model::fail,
            &job_model::fail, &job_model::withdraw, &job_model::park,
            &job_model::cancel, &job_model::cancel_all, &job_model::adopt,
            &job_model::commit_oldest, &job_model::commit_oldest,
            &job_model::commit_newest, &job_model::commit_newest,
            &job_model::commit_newest, &job_model::lose};
        for (const auto& step : steps)
        {
            (this->*handlers[static_cast<std::size_t>(step.kind) %
                             std::size(handlers)])(step);
            if (auto violation = find_violation())
                return violation;
        }
        return run_until_ended();
    }

private:
    struct request
    {
        transaction value;
        std::optional<job_row> started;
    };

    static job_order get_order(int job)
    {
        job_order it;
        it.id = job_id(std::to_string(job));
        it.pool = pool_id("exports");
        return it;
    }

    static std::string get_key(const char* folder, int job)
    {
        return std::string(folder) + "/exports/" + std::to_string(job);
    }

    void send(const std::optional<job_change>& change)
    {
        if (!change)
            return;
        request it{change->request, std::nullopt};
        if (change->next.state == job_state::running)
            it.started = change->next;
        requests_.push_back(std::move(it));
    }

    const live_job* get_copy(const job_step& step) const
    {
        auto it = copies_.find({step.owner, step.job});
        return it == copies_.end() ? nullptr : &it->second;
    }

    void accept(const job_step& step)
    {
        send(job_machine::accept(get_order(step.job)));
    }

    void read(const job_step& step)
    {
        auto it = rows_.find(get_key("jobs", step.job));
        if (it != rows_.end())
            copies_[{step.owner, step.job}] = {
                job_row::decode(it->second.value), it->second.version};
    }

    void start(const job_step& step)
    {
        const auto* it = get_copy(step);
        if (!it)
            return;
        task_id task(std::to_string(++last_task_));
        send(job_machine::start(*it, session_id(step.owner + 1),
            instance_id("t"), task, target_time(0)));
    }

    void finish(const job_step& step)
    {
        const auto* it = get_copy(step);
        if (it && tasks_.contains(it->value.task))
            send(job_machine::finish(*it, "results/" + it->value.task.get()));
    }

    void fail(const job_step& step)
    {
        if (const auto* it = get_copy(step))
            send(job_machine::fail_attempt(*it, "lapsed"));
    }

    void withdraw(const job_step& step)
    {
        const auto* it = get_copy(step);
        if (it && !tasks_.contains(it->value.task))
            send(job_machine::withdraw_attempt(*it));
    }

    void park(const job_step& step)
    {
        const auto* it = get_copy(step);
        if (it && step.owner == 0)
            send(job_machine::park(*it, "no target is large enough"));
    }

    void cancel(const job_step& step)
    {
        const auto* it = get_copy(step);
        if (it && step.owner == 1)
            send(job_machine::cancel(*it));
    }

    void cancel_all(const job_step& step)
    {
        std::vector<live_job> all;
        for (const auto& [key, copy] : copies_)
        {
            if (key.first == step.owner && step.job == 0)
                all.push_back(copy);
        }
        for (auto& it : job_machine::cancel_all(all))
            requests_.push_back({std::move(it), std::nullopt});
    }

    void adopt(const job_step& step)
    {
        if (const auto* it = get_copy(step))
            send(job_machine::adopt(*it, session_id(step.owner + 1)));
    }

    void commit_oldest(const job_step&)
    {
        if (requests_.empty())
            return;
        auto it = requests_.front();
        requests_.erase(requests_.begin());
        commit(it);
    }

    void commit_newest(const job_step&)
    {
        if (requests_.empty())
            return;
        auto it = requests_.back();
        requests_.pop_back();
        commit(it);
    }

    void lose(const job_step&)
    {
        if (!requests_.empty())
            requests_.pop_back();
    }

    bool holds(const row_condition& condition) const
    {
        bool is_ended = condition.key.starts_with("ended/");
        if (is_ended ? !rules_.conditions_ended_row
                     : !rules_.conditions_live_row)
            return true;
        auto it = rows_.find(condition.key);
        auto version = it == rows_.end() ? row_version() : it->second.version;
        return version == condition.version;
    }

    void commit(const request& it)
    {
        for (const auto& condition : it.value.conditions)
        {
            if (!holds(condition))
                return;
        }
        for (const auto& write : it.value.writes)
            put(write);
        // Every other attempt really runs; the rest is refused.
        bool runs = it.started && std::stoi(it.started->task.get()) % 2 == 0;
        if (runs && tasks_.insert(it.started->task).second)
            ++runs_[it.started->order.id];
    }

    void put(const row_write& write)
    {
        if (!write.value)
        {
            rows_.erase(write.key);
            return;
        }
        if (write.key.starts_with("jobs/"))
            accepted_.insert(write.key.substr(5));
        auto ended = ends_.find(write.key);
        if (ended != ends_.end() && ended->second != *write.value)
            violation_ = write.key + " ended twice";
        if (write.key.starts_with("ended/"))
            ends_[write.key] = *write.value;
        rows_[write.key] = {write.key, *write.value, row_version(++last_)};
    }

    std::optional<std::string> find_violation() const
    {
        if (violation_)
            return violation_;
        for (const auto& name : accepted_)
        {
            auto places =
                rows_.count("jobs/" + name) + rows_.count("ended/" + name);
            if (places != 1)
                return name + " is in " + std::to_string(places) + " places";
        }
        for (const auto& [id, count] : runs_)
        {
            if (count > job_machine::most_attempts)
                return id.get() + " ran too often";
        }
        return std::nullopt;
    }

    // One owner is left, and every attempt fails.
    std::optional<std::string> run_until_ended()
    {
        requests_.clear();
        for (std::uint32_t n = 0; n < 4 * job_machine::most_attempts; ++n)
        {
            for (int job = 0; job < 3; ++job)
            {
                copies_.clear();
                job_step step{0, job, 0};
                read(step);
                n % 2 ? fail(step) : start(step);
                commit_newest(step);
            }
        }
        if (auto violation = find_violation())
            return violation;
        for (const auto& name : accepted_)
        {
            if (!rows_.contains("ended/" + name))
                return name + " never ends";
        }
        return std::nullopt;
    }

    job_rules rules_;
    std::map<std::string, row> rows_;
    std::uint64_t last_ = 0;
    int last_task_ = 0;
    std::map<std::pair<int, int>, live_job> copies_;
    std::vector<request> requests_;
    std::set<task_id> tasks_;
    std::map<job_id, std::uint32_t> runs_;
    std::set<std::string> accepted_;
    std::map<std::string, std::string> ends_;
    std::optional<std::string> violation_;
};

rc::Gen<std::vector<job_step>> gen_job_steps()
{
    auto step = rc::gen::build<job_step>(
        rc::gen::set(&job_step::kind, rc::gen::inRange(0, 19)),
        rc::gen::set(&job_step::job, rc::gen::inRange(0, 3)),
        rc::gen::set(&job_step::owner, rc::gen::inRange(0, 3)));
    return rc::gen::container<std::vector<job_step>>(150, step);
}

std::optional<std::string> find_job_violation(job_rules rules)
{
    constexpr std::uint64_t most_runs = 5000;
    auto gen = gen_job_steps();
    for (std::uint64_t seed = 1; seed <= most_runs; ++seed)
    {
        auto steps = gen(rc::Random(seed), rc::kNominalSize).value();
        auto violation = job_model(rules).run(steps);
        if (!violation)
            continue;
        std::cout << "found by run " << seed << ": " << *violation << '\n';
        return violation;
    }
    return std::nullopt;
}

live_job make_running(std::uint32_t attempts)
{
    live_job it;
    it.value.state = job_state::running;
    it.value.attempts = attempts;
    it.version = row_version(3);
    return it;
}

} // namespace

// Guards against a job that disappears, ends twice, is cancelled over its
// result or runs more than five times, when entries act on old rows and
// transactions arrive late.
RC_GTEST_PROP(job_machine, no_job_disappears_or_ends_twice, ())
{
    auto steps = *gen_job_steps();
    auto violation = job_model(job_rules{}).run(steps);
    if (violation)
        RC_FAIL(*violation);
}

TEST(job_machine, long_search_finds_no_violation)
{
    EXPECT_EQ(find_job_violation({}), std::nullopt);
}

// These guard against a model too weak to see that a condition is needed.
TEST(job_machine, no_condition_on_the_live_row_is_found_broken)
{
    EXPECT_TRUE(find_job_violation({.conditions_live_row = false}));
}

TEST(job_machine, no_condition_on_the_ended_row_is_found_broken)
{
    EXPECT_TRUE(find_job_violation({.conditions_ended_row = false}));
}

// Guards against retries at a constant pace, and against a sixth attempt.
TEST(job_machine, delays_grow_and_the_last_failure_parks)
{
    milliseconds before{0};
    for (std::uint32_t n = 1; n < job_machine::most_attempts; ++n)
    {
        auto change = job_machine::fail_attempt(make_running(n), "lapsed");
        ASSERT_TRUE(change);
        EXPECT_EQ(change->next.state, job_state::queued);
        EXPECT_GT(change->next.delay, before);
        before = change->next.delay;
    }
    auto last = job_machine::fail_attempt(
        make_running(job_machine::most_attempts), "lapsed");
    ASSERT_TRUE(last);
    EXPECT_EQ(last->next.state, job_state::parked);
    EXPECT_EQ(last->next.reason, "lapsed");
}

// Guards against a cancellation of jobs that ended, and against batches that
// exceed the platform's writes.
TEST(job_machine, cancels_live_jobs_in_batches)
{
    std::vector<live_job> jobs(60, make_running(1));
    jobs.front().value.state = job_state::done;
    auto all = job_machine::cancel_all(jobs);
    ASSERT_EQ(all.size(), 3);
    EXPECT_EQ(all[0].writes.size(), 2 * job_machine::cancel_batch);
    EXPECT_EQ(all[2].writes.size(), 2 * 9);
}

// Guards against rows that another version of the codec cannot read.
TEST(job_row, round_trips_and_rejects_malformed_rows)
{
    auto it = make_running(2).value;
    it.order.memory = byte_count(7);
    it.order.run_time = milliseconds(9);
    it.delay = milliseconds(5);
    EXPECT_EQ(it.encode(), job_row::decode(it.encode()).encode());
    EXPECT_THROW(job_row::decode("{}"), systems_error);
    EXPECT_THROW(job_row::decode("["), systems_error);
}

} // namespace cowslippass
