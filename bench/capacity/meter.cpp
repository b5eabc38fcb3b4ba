#include "bench/capacity/meter.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr double bytes_per_mb = 1'000'000;

struct process_sample
{
    double tick_seconds = 0;
    double fine_seconds = 0;
    double rss_mb = 0;
};

struct cluster_sample
{
    std::chrono::steady_clock::time_point taken;
    std::vector<process_sample> entries;
    double peer_bytes = 0;
    double platform_bytes = 0;
    double target_bytes = 0;
    json platform;
};

process_sample sample_process(pid_t pid)
{
    std::string folder = "/proc/" + std::to_string(pid) + "/";
    process_sample out;
    std::string text;
    std::getline(std::ifstream(folder + "stat"), text);
    // The program name in brackets may hold spaces; field 3 follows it.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    out.tick_seconds = (user + system) / double(sysconf(_SC_CLK_TCK));
    // One thread for each daemon, so the file of the process covers it.
    double nanoseconds = 0;
    std::ifstream(folder + "schedstat") >> nanoseconds;
    out.fine_seconds = nanoseconds / 1e9;
    std::ifstream status(folder + "status");
    while (std::getline(status, text))
        if (text.starts_with("VmRSS:"))
            out.rss_mb = std::stod(text.substr(6)) * 1024 / bytes_per_mb;
    return out;
}

double count_bytes(const cluster_proxy& proxy)
{
    json counters =
        fetch_json(proxy.control_endpoint, "GET", "/control/counters");
    return counters.at("bytes_to_server").get<double>() +
           counters.at("bytes_to_client").get<double>();
}

cluster_sample take_sample(test_fleet& fleet)
{
    cluster& it = fleet.get_cluster();
    cluster_sample out;
    for (const auto& entry : it.get_entries())
    {
        out.peer_bytes += count_bytes(*entry.peer_proxy);
        out.platform_bytes += count_bytes(*entry.platform_proxy);
    }
    for (const auto& target : it.get_targets())
        out.target_bytes += count_bytes(*target.proxy);
    out.platform = fleet.get_platform_counters();
    for (const auto& entry : it.get_entries())
        out.entries.push_back(sample_process(entry.process->get_pid()));
    out.taken = std::chrono::steady_clock::now();
    return out;
}

} // namespace

window_rates measure_window(
    test_fleet& fleet, milliseconds least, const std::function<void()>& load)
{
    cluster_sample before = take_sample(fleet);
    load();
    std::this_thread::sleep_until(before.taken + least);
    cluster_sample after = take_sample(fleet);

    window_rates out;
    out.seconds =
        std::chrono::duration<double>(after.taken - before.taken).count();
    out.entries = after.entries.size();
    auto n = double(out.entries);
    for (std::size_t i = 0; i < out.entries; ++i)
    {
        const auto& from = before.entries[i];
        const auto& to = after.entries[i];
        double fine = (to.fine_seconds - from.fine_seconds) / out.seconds * 100;
        out.entry_cpu_percents.push_back(fine);
        out.fine_cpu_percent += fine / n;
        out.cpu_percent +=
            (to.tick_seconds - from.tick_seconds) / out.seconds * 100 / n;
        out.rss_mb += to.rss_mb / n;
        out.largest_rss_mb = std::max(out.largest_rss_mb, to.rss_mb);
    }
    double share = out.seconds * n;
    out.peer_bytes = 2 * (after.peer_bytes - before.peer_bytes) / share;
    out.platform_bytes = (after.platform_bytes - before.platform_bytes) / share;
    out.target_bytes = (after.target_bytes - before.target_bytes) / share;
    auto get_rate = [&](const char* name)
    {
        return (after.platform.at(name).get<double>() -
                   before.platform.at(name).get<double>()) /
               out.seconds;
    };
    out.row_reads = get_rate("row_reads");
    out.scans = get_rate("scans");
    out.row_writes = get_rate("row_writes");
    out.transactions = get_rate("transactions");
    return out;
}

line fit_line(const std::vector<std::pair<double, double>>& points)
{
    double n = double(points.size());
    double x = 0;
    double y = 0;
    for (const auto& [px, py] : points)
    {
        x += px / n;
        y += py / n;
    }
    double above = 0;
    double below = 0;
    for (const auto& [px, py] : points)
    {
        above += (px - x) * (py - y);
        below += (px - x) * (px - x);
    }
    line out;
    out.slope = above / below;
    out.base = y - out.slope * x;
    return out;
}

} // namespace cowslippass
