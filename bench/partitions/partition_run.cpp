#include "bench/partitions/partition_run.hpp"

#include <algorithm>
#include <random>

namespace cowslippass
{

namespace
{

constexpr std::size_t cut_data_centre = 1;
constexpr std::size_t entries_per_data_centre = 2;
constexpr milliseconds settling_time{4'000};
constexpr milliseconds before_time{8'000};
/// Longer than the time after which a silent session is declared dead, 12 s.
constexpr milliseconds cut_time{20'000};
constexpr milliseconds after_time{24'000};
constexpr milliseconds after_window{8'000};
constexpr milliseconds withdrawal_delay{1'000};
/// Freshness limit and start deadline.
constexpr milliseconds bound{4'000 + 2'000};
constexpr milliseconds request_interval{200};
/// The rate counts as back when a window of this length has this part of it.
constexpr milliseconds back_window{2'000};
constexpr milliseconds back_step{250};
constexpr double back_part = 0.8;

/// Callers of one kind of work in each data centre.
struct caller_group
{
    const char* prefix; ///< Of the request ids.
    const char* queue;
    const char* team;
    std::size_t callers;
};

/// The key of the last group is withdrawn during the cut.
constexpr std::array<caller_group, work_kinds + 1> groups{{
    {"urgent-", "urgent", "red", 4},
    {"once-", "once", "red", 2},
    {"slow-", "slow", "red", 1},
    {"withdrawn-", "urgent", "blue", 2},
}};

/// Posts at a steady pace to the entries of one data centre. A request that
/// waits for its answer delays those after it.
void run_caller(test_fleet& fleet, const caller_group& group,
    std::size_t data_centre, unsigned seed, const std::atomic<bool>& is_stopped)
{
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> jitter(-50, 50);
    std::string prefix =
        group.prefix + std::to_string(seed) + "-" + std::to_string(data_centre);
    auto next = std::chrono::steady_clock::now();
    for (std::size_t i = 0; !is_stopped; ++i)
    {
        caller_request request;
        request.queue = group.queue;
        request.key = group.team;
        request.request_id = prefix + "-" + std::to_string(i);
        request.payload = request.request_id;
        request.deadline_ms = "1000";
        request.timeout = milliseconds(1'500);
        fleet.post(request, data_centre * entries_per_data_centre +
                                i % entries_per_data_centre);
        next = std::max(next + request_interval + milliseconds(jitter(random)),
            std::chrono::steady_clock::now());
        std::this_thread::sleep_until(next);
    }
}

bool is_of(const recorded_start& it, work_kind kind)
{
    if (kind == work_kind::slow)
        return it.kind == "slow";
    return it.request_id.starts_with(
        groups[static_cast<std::size_t>(kind)].prefix);
}

/// Ends of one kind of work in one data centre, in Unix milliseconds.
class end_times
{
public:
    end_times(const std::vector<recorded_start>& starts, work_kind kind,
        const std::string& data_centre)
    {
        for (const auto& it : starts)
            if (it.data_centre == data_centre && is_of(it, kind))
                times_.push_back(it.ended_ms);
    }

    double get_rate(std::int64_t from, std::int64_t to) const
    {
        auto n = std::ranges::count_if(
            times_, [&](std::int64_t at) { return at >= from && at < to; });
        return double(n) * 1'000 / double(to - from);
    }

    double find_back_after(
        std::int64_t healed, std::int64_t end, double before) const
    {
        for (auto at = healed; at + back_window.count() <= end;
             at += back_step.count())
            if (get_rate(at, at + back_window.count()) >= back_part * before)
                return double(at - healed) / 1'000;
        return -1;
    }

private:
    std::vector<std::int64_t> times_;
};

struct timeline
{
    std::int64_t began = 0;
    std::int64_t cut = 0;
    std::int64_t withdrawn = 0;
    std::int64_t healed = 0;
    std::int64_t ended = 0;
};

timeline run_timeline(test_fleet& fleet, const cut_kind& cut)
{
    auto sleep = [](milliseconds time) { std::this_thread::sleep_for(time); };
    cluster& all = fleet.get_cluster();
    timeline out;
    sleep(settling_time);
    out.began = get_unix_ms();
    sleep(before_time);
    out.cut = get_unix_ms();
    if (cut.is_cut_from_platform)
        all.block_platform_of(cut_data_centre, cut.direction);
    if (cut.is_cut_from_peers)
        all.block_peers_of(cut_data_centre, cut.direction);
    sleep(withdrawal_delay);
    fleet.run("withdraw key blue-key", 0);
    out.withdrawn = get_unix_ms();
    sleep(cut_time - milliseconds(get_unix_ms() - out.cut));
    all.heal();
    out.healed = get_unix_ms();
    sleep(after_time);
    out.ended = get_unix_ms();
    return out;
}

partition_result count_work(
    const std::vector<recorded_start>& starts, const timeline& at)
{
    partition_result out;
    for (std::size_t i = 0; i < work_kinds; ++i)
    {
        work_rates& it = out.work[i];
        end_times here(starts, work_kind(i), "dc-2");
        end_times elsewhere(starts, work_kind(i), "dc-1");
        std::int64_t settled = at.cut + bound.count();
        it.before = here.get_rate(at.began, at.cut);
        it.during = here.get_rate(settled, at.healed);
        it.after = here.get_rate(at.ended - after_window.count(), at.ended);
        it.elsewhere = elsewhere.get_rate(settled, at.healed);
        it.back_after = here.find_back_after(at.healed, at.ended, it.before);
    }
    std::int64_t last = at.withdrawn + bound.count();
    for (const auto& it : starts)
    {
        if (!it.request_id.starts_with(groups.back().prefix) ||
            it.started_ms <= last)
            continue;
        ++out.late_starts;
        out.latest_start = double(it.started_ms - last) / 1'000;
    }
    return out;
}

} // namespace

std::string get_name(work_kind kind)
{
    static constexpr std::array<const char*, work_kinds> names{
        "urgent idempotent", "urgent non-idempotent", "slow"};
    return names.at(static_cast<std::size_t>(kind));
}

partition_result run_partition(
    const cut_kind& cut, const policy_kind& policy, unsigned seed)
{
    cluster_options options;
    options.data_centres = 2;
    options.entries_per_data_centre = entries_per_data_centre;
    options.targets_per_pool = 2;
    options.has_platform_proxies = true;
    options.has_peer_proxies = true;
    options.daemon = policy.daemon;
    options.daemon_flags = policy.flags;
    test_fleet fleet(options);
    std::atomic<bool> is_stopped = false;
    std::vector<std::jthread> callers;
    for (const auto& group : groups)
        for (std::size_t dc = 0; dc < options.data_centres; ++dc)
            for (std::size_t i = 0; i < group.callers; ++i)
                callers.emplace_back(
                    [&fleet, &is_stopped, group, dc, id = seed++]
                    { run_caller(fleet, group, dc, id, is_stopped); });
    timeline at = run_timeline(fleet, cut);
    is_stopped = true;
    callers.clear();
    return count_work(list_starts(fleet), at);
}

} // namespace cowslippass
