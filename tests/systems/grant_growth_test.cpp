#include "systems/grant_ledger.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <random>

namespace cowslippass
{

namespace
{

constexpr int session_count = 15; // Pool owners: 5 pools, 3 data centres.
constexpr std::uint32_t limit = 60;
constexpr milliseconds tick{10};
constexpr int ticks = 12000; // Two minutes.
constexpr int ticks_per_summary = 50;
constexpr int mean_run_ticks = 40;

/// Arrivals of a session: bursts with pauses between them.
struct load
{
    const char* name;
    double mean_demand; ///< Mean demand of all sessions / limit.
    int burst_ticks;
    double burst_share; ///< Fraction of time in bursts.
};

/// Result of a simulation.
struct figures
{
    double mean_wait_ms = 0;
    double p99_wait_ms = 0; ///< 99th percentile.
    double writes_per_second = 0;
    double conflicts_per_second = 0;
    double reads_per_second = 0;
    double worst_wait_ms = 0; ///< Mean wait of the worst session.
    double used = 0;          ///< Mean running tasks / limit.
};

/// Simulates sessions whose transactions and reads take one tick each.
class growth_simulation
{
public:
    growth_simulation(growth_policy policy, const load& shape)
        : shape_(shape), random_(7)
    {
        grant_settings settings;
        settings.growth = policy;
        for (int n = 0; n < session_count; ++n)
        {
            sessions_.push_back({grant_ledger(session_id(n + 1), settings),
                std::mt19937(static_cast<unsigned>(n))});
            auto& ledger = sessions_.back().ledger;
            ledger.on_limit(team_, task_count(limit), config_version(1));
            ledger.on_config_head(config_version(1), row_version(1));
        }
    }

    figures run()
    {
        for (int n = 0; n < ticks; ++n)
        {
            now_ += tick;
            for (auto& it : sessions_)
                work(it, n);
            if (n % ticks_per_summary == 0)
                exchange_summaries();
            deliver();
            for (auto& it : sessions_)
                send(it);
        }
        return summarize();
    }

private:
    struct session
    {
        grant_ledger ledger;
        std::mt19937 random; ///< Same arrivals for every policy.
        bool is_in_burst = false;
        std::deque<std::pair<int, int>> waiting{}; ///< Arrival, run time.
        std::vector<int> ends{};
        double wait_sum = 0;
        double started = 1;
        std::vector<grant_transfer> transfers{};
        bool is_reading = false;
    };

    void work(session& it, int n)
    {
        auto ended = std::erase_if(it.ends, [n](int end) { return end <= n; });
        for (; ended > 0; --ended)
            it.ledger.give_back(team_);
        arrive(it, n);
        while (!it.waiting.empty() && it.ledger.try_acquire(team_))
        {
            waits_.push_back(n - it.waiting.front().first);
            it.wait_sum += waits_.back();
            it.started += 1;
            it.ends.push_back(n + it.waiting.front().second);
            it.waiting.pop_front();
        }
        used_ += it.ends.size();
        it.ledger.set_waiting(
            team_, task_count(static_cast<std::uint32_t>(it.waiting.size())));
    }

    void arrive(session& it, int n)
    {
        double end_burst = 1.0 / shape_.burst_ticks;
        double begin_burst =
            end_burst * shape_.burst_share / (1 - shape_.burst_share);
        double draw = std::uniform_real_distribution<>(0, 1)(it.random);
        if (draw < (it.is_in_burst ? end_burst : begin_burst))
            it.is_in_burst = !it.is_in_burst;
        double rate = shape_.mean_demand * limit / mean_run_ticks /
                      (session_count * shape_.burst_share);
        std::poisson_distribution<> count(it.is_in_burst ? rate : rate / 100);
        std::exponential_distribution<> run(1.0 / mean_run_ticks);
        for (int k = count(it.random); k > 0; --k)
            it.waiting.emplace_back(n, 1 + static_cast<int>(run(it.random)));
    }

    void exchange_summaries()
    {
        for (auto& it : sessions_)
        {
            for (std::size_t peer = 0; peer < sessions_.size(); ++peer)
            {
                if (&sessions_[peer] == &it)
                    continue;
                auto size = sessions_[peer].waiting.size();
                it.ledger.on_peer_waiting(session_id(peer + 1), team_,
                    task_count(static_cast<std::uint32_t>(size)), now_);
            }
        }
    }

    void deliver()
    {
        std::vector<session*> order;
        for (auto& it : sessions_)
            order.push_back(&it);
        std::shuffle(order.begin(), order.end(), random_);
        for (auto* it : order)
        {
            for (const auto& transfer : it->transfers)
                commit(*it, transfer);
            it->transfers.clear();
            if (!std::exchange(it->is_reading, false))
                continue;
            it->ledger.on_row(team_, table_, config_version(1));
        }
    }

    void commit(session& it, const grant_transfer& transfer)
    {
        auto base = transfer.request.conditions.front().version;
        if (base != table_.version)
        {
            ++conflicts_;
            it.ledger.on_result(transfer.id, transaction_outcome::conflict);
            return;
        }
        ++writes_;
        table_.value = *transfer.request.writes.front().value;
        table_.version = row_version(base.get() + 1);
        EXPECT_LE(grant_row::decode(table_.value).get_total(), limit);
        it.ledger.on_result(
            transfer.id, transaction_outcome::committed, table_.version);
    }

    void send(session& it)
    {
        it.transfers = it.ledger.plan_transfers(now_);
        it.is_reading = !it.ledger.plan_reads(now_).empty();
        reads_ += it.is_reading ? 1 : 0;
    }

    figures summarize()
    {
        std::sort(waits_.begin(), waits_.end());
        double sum = 0;
        for (int wait : waits_)
            sum += wait;
        double seconds = ticks * 0.01;
        double worst = 0;
        for (const auto& it : sessions_)
            worst = std::max(worst, it.wait_sum / it.started);
        auto p99 = waits_[waits_.size() * 99 / 100];
        return {sum * 10 / static_cast<double>(waits_.size()), p99 * 10.0,
            writes_ / seconds, conflicts_ / seconds, reads_ / seconds,
            worst * 10, static_cast<double>(used_) / ticks / limit};
    }

    load shape_;
    std::mt19937 random_;
    team_id team_{"alpha"};
    row table_{"grants/alpha", "", row_version(0)};
    std::vector<session> sessions_;
    monotonic_time now_{milliseconds(1000)};
    std::vector<int> waits_;
    std::size_t used_ = 0;
    int writes_ = 0;
    int conflicts_ = 0;
    int reads_ = 0;
};

} // namespace

// Guards against a growth policy under which waiting tasks never start. Prints
// the waiting times and the platform load of each policy, in simulated time.
TEST(grant_growth, compares_growth_policies)
{
    const load loads[] = {{"half full, short bursts", 0.5, 300, 0.2},
        {"nearly full, bursts", 0.9, 500, 0.2},
        {"nearly full, steady", 0.9, 1000, 0.9}, {"overload", 1.2, 500, 0.2}};
    const std::pair<const char*, growth_policy> policies[] = {
        {"everything", growth_policy::all_wanted},
        {"half", growth_policy::half},
        {"proportional", growth_policy::proportional}};
    for (const auto& shape : loads)
    {
        for (const auto& [name, policy] : policies)
        {
            auto it = growth_simulation(policy, shape).run();
            std::printf("%-24s %-13s wait %6.0f ms mean %6.0f ms p99 %6.0f ms "
                        "worst session, "
                        "%5.1f writes/s %5.1f conflicts/s %5.1f reads/s, "
                        "%3.0f%% used\n",
                shape.name, name, it.mean_wait_ms, it.p99_wait_ms,
                it.worst_wait_ms, it.writes_per_second, it.conflicts_per_second,
                it.reads_per_second, it.used * 100);
            EXPECT_GT(it.used, 0.1);
        }
    }
}

} // namespace cowslippass
