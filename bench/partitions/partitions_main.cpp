#include "bench/partitions/partition_run.hpp"

#include <cstdio>
#include <future>
#include <iostream>

namespace cowslippass
{

namespace
{

constexpr cut_direction both_ways{};
constexpr cut_direction outbound{true, false};
constexpr cut_direction inbound{false, true};

constexpr std::array<cut_kind, 5> cuts{{
    {"from the platform", true, false, both_ways},
    {"from the other data centre", false, true, both_ways},
    {"from both", true, true, both_ways},
    {"from both, what it sends", true, true, outbound},
    {"from both, what it is sent", true, true, inbound},
}};

void print_run(
    const cut_kind& cut, const policy_kind& policy, const partition_result& it)
{
    for (std::size_t i = 0; i < work_kinds; ++i)
    {
        const work_rates& work = it.work[i];
        std::printf("| %s | %s | %s | %.1f | %.1f | %.1f | ", cut.name,
            policy.name, get_name(work_kind(i)).c_str(), work.before,
            work.during, work.after);
        if (work.back_after < 0)
            std::printf("not");
        else
            std::printf("%.2f", work.back_after);
        std::printf(" | %.1f |", work.elsewhere);
        if (i > 0)
            std::printf(" |\n");
        else if (it.late_starts == 0)
            std::printf(" none |\n");
        else
            std::printf(" %zu, the last %.1f s late |\n", it.late_starts,
                it.latest_start);
    }
}

/// @return whether the daemon kept the bound on late starts.
bool run_all(unsigned seed)
{
    const std::vector<policy_kind> policies{
        {"cowslippass", "cowslippassd", {}},
        {"stop everything", "bench/partitions/baseline_daemon",
            {"--policy=stop_everything"}},
        {"serve stale", "bench/partitions/baseline_daemon",
            {"--policy=serve_stale"}},
    };
    std::printf("| cut | policy | work | ended/s before | during | after | "
                "back after s | elsewhere/s during | starts with a withdrawn "
                "key after 6 s |\n"
                "|---|---|---|---|---|---|---|---|---|\n");
    bool is_kept = true;
    for (const auto& cut : cuts)
    {
        std::cerr << cut.name << '\n';
        // The policies run side by side, on clusters of their own.
        std::vector<std::future<partition_result>> runs;
        runs.reserve(policies.size());
        for (const auto& policy : policies)
            runs.push_back(std::async(std::launch::async, [&cut, &policy, seed]
                { return run_partition(cut, policy, seed); }));
        for (std::size_t i = 0; i < policies.size(); ++i)
        {
            partition_result result = runs[i].get();
            print_run(cut, policies[i], result);
            if (i == 0 && result.late_starts > 0)
                is_kept = false;
        }
        std::fflush(stdout);
    }
    return is_kept;
}

} // namespace

} // namespace cowslippass

int main()
{
    try
    {
        if (cowslippass::run_all(42))
            return 0;
        std::cerr << "partitions: cowslippass started work with a withdrawn "
                     "key after the bound\n";
    }
    catch (const std::exception& e)
    {
        std::cerr << "partitions: " << e.what() << '\n';
    }
    return 1;
}
