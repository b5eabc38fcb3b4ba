#include "bench/capacity/report.hpp"

#include <atomic>
#include <chrono>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace cowslippass
{

namespace
{

constexpr milliseconds window_length{8'000};
/// Time for the connections and leases of a new cluster to settle.
constexpr milliseconds settling_time{5'000};
/// Before the first window the grants of the requests that the cluster was
/// set up with are returned, which takes about 10 s and changes summaries.
constexpr milliseconds return_time{10'000};
constexpr std::size_t design_teams = 72;
constexpr std::size_t design_pools = 36;
constexpr std::size_t loaded_entries = 2;
/// Enough that none waits for another at 120 requests of about 60 ms.
constexpr std::size_t callers = 24;
/// Entries of a data centre that see the platform's list change.
constexpr std::size_t list_entries = 4;
constexpr std::size_t list_changes = 2;
constexpr std::size_t changes_per_window = 16;
constexpr milliseconds change_interval{500};

cluster_options make_options(std::size_t entries, std::size_t targets)
{
    cluster_options out;
    out.entries_per_data_centre = entries;
    out.targets_per_pool = targets;
    out.has_platform_proxies = true;
    out.has_peer_proxies = true;
    out.has_target_proxies = true;
    return out;
}

measured_window measure(
    test_fleet& fleet, std::string name, double count,
    const std::function<std::size_t()>& load = [] { return 0; })
{
    std::cerr << name << "\n";
    std::this_thread::sleep_for(settling_time);
    measured_window out;
    out.name = std::move(name);
    out.count = count;
    std::size_t events = 0;
    out.rates = measure_window(fleet, window_length, [&] { events = load(); });
    out.events = double(events);
    return out;
}

/// Teams and pools up to the design size, as each summary lists them.
void add_teams_and_pools(test_fleet& fleet)
{
    for (std::size_t i = 2; i < design_teams; ++i)
        fleet.run("create team team-" + std::to_string(i) + " limit 10");
    for (std::size_t i = 1; i < design_pools; ++i)
        fleet.run("create pool pool-" + std::to_string(i + 1));
}

void measure_entries(findings& all)
{
    for (std::size_t n : {2, 4, 8})
    {
        test_fleet fleet(make_options(n, 4));
        add_teams_and_pools(fleet);
        std::this_thread::sleep_for(return_time);
        all.entries.push_back(
            measure(fleet, "(a) " + std::to_string(n) + " entries", double(n)));
    }
    cluster_options options = make_options(2, 1);
    options.data_centres = 4;
    test_fleet fleet(options);
    add_teams_and_pools(fleet);
    std::this_thread::sleep_for(return_time);
    all.data_centres =
        measure(fleet, "(a) 4 data centres of 2 entries and 1 target", 8);
}

void measure_targets(findings& all)
{
    for (std::size_t n : {4, 16, 48})
    {
        test_fleet fleet(make_options(1, n));
        all.targets.push_back(
            measure(fleet, "(b) " + std::to_string(n) + " targets", double(n)));
    }
}

std::size_t run_changes(test_fleet& fleet)
{
    auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < changes_per_window; ++i)
    {
        std::this_thread::sleep_until(start + i * change_interval);
        fleet.run("set team red share " + std::to_string(1 + i % 2));
    }
    return changes_per_window;
}

std::string get_far_address(std::size_t i)
{
    return "127.2." + std::to_string(i / 250) + "." +
           std::to_string(1 + i % 250) + ":9000";
}

/// Puts the far instances on the platform's list, which the entries poll.
/// @param leaving those that it names as leaving.
void publish_far(test_fleet& fleet, std::size_t n, std::size_t leaving = 0)
{
    nlohmann::json instances = nlohmann::json::array();
    for (std::size_t i = 0; i < n; ++i)
        instances.push_back({{"id", "far-" + std::to_string(i)},
            {"kind", "target"}, {"data_centre", "dc-far"},
            {"rack", "rack-far-" + std::to_string(i / 4)},
            {"address", get_far_address(i)},
            {"state", i < leaving ? "leaving" : "live"}});
    set_control(fleet.get_cluster().get_platform_endpoint(),
        {{"instances", instances}});
}

void measure_instances(findings& all)
{
    test_fleet fleet(make_options(1, 1));
    fleet.run("create data-centre dc-far");
    std::size_t added = 0;
    for (std::size_t n : {400, 1'600, 4'300})
    {
        for (; added < n; ++added)
            fleet.run("add instance far-" + std::to_string(added) +
                      " data-centre dc-far rack rack-far-" +
                      std::to_string(added / 4) + " address " +
                      get_far_address(added) + " pool pool-1");
        all.instances.push_back(measure(
            fleet, "(c) " + std::to_string(n) + " instances", double(n)));
    }
    std::string size = std::to_string(added) + " instances";
    // Before the list is long: a window may hold one poll more or less.
    all.large_changes = measure(fleet, "(e) changes, " + size, double(added),
        [&] { return run_changes(fleet); });
    publish_far(fleet, added);
    all.listed = measure(fleet, "(c) " + size + ", listed", double(added));
}

void measure_list_changes(findings& all)
{
    constexpr std::size_t n = 4'300;
    test_fleet fleet(make_options(list_entries, 1));
    publish_far(fleet, n);
    std::string size =
        std::to_string(list_entries) + " entries, list of " + std::to_string(n);
    all.still_list = measure(fleet, "(f) " + size, double(n));
    auto change = [&]
    {
        for (std::size_t i = 0; i < list_changes; ++i)
        {
            publish_far(fleet, n, i + 1);
            std::this_thread::sleep_for(window_length / (list_changes + 1));
        }
        return list_changes;
    };
    all.changing_list =
        measure(fleet, "(f) " + size + ", changing", double(n), change);
}

/// Sends a fixed number of requests at a rate, spread over the entries.
/// @return those that were answered with a result.
std::size_t run_requests(
    test_fleet& fleet, std::size_t rate, const std::string& queue)
{
    std::size_t total = rate * std::size_t(window_length.count()) / 1'000;
    auto start = std::chrono::steady_clock::now();
    std::atomic<std::size_t> answered = 0;
    auto call = [&](std::size_t first)
    {
        for (std::size_t i = first; i < total; i += callers)
        {
            std::this_thread::sleep_until(
                start + std::chrono::microseconds(i * 1'000'000 / rate));
            caller_request request;
            request.queue = queue;
            request.request_id = make_random_hex(8);
            request.key = i % 3 == 0 ? "blue" : "red";
            answered += fleet.post(request, i / 3 % loaded_entries).is_ok();
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < callers; ++i)
        threads.emplace_back(call, i);
    threads.clear();
    return answered;
}

std::size_t find_owner(test_fleet& fleet)
{
    std::string targets = fleet.run("show targets").dump();
    return targets.find("entry-1-2") != std::string::npos ? 1 : 0;
}

void measure_events(findings& all)
{
    test_fleet fleet(make_options(loaded_entries, 8));
    all.owner = find_owner(fleet);
    all.requests.push_back(measure(fleet, "(d) no requests", 0));
    for (std::size_t rate : {20, 60, 120})
        all.requests.push_back(measure(fleet,
            "(d) " + std::to_string(rate) + " requests/s", double(rate),
            [&] { return run_requests(fleet, rate, "urgent"); }));
    all.requests.push_back(measure(fleet, "(d) 20 non-idempotent requests/s",
        20, [&] { return run_requests(fleet, 20, "once"); }));
    all.small_changes = measure(
        fleet, "(e) changes, 8 targets", 8, [&] { return run_changes(fleet); });
}

} // namespace

} // namespace cowslippass

int main()
{
    try
    {
        cowslippass::findings all;
        cowslippass::measure_entries(all);
        cowslippass::measure_targets(all);
        cowslippass::measure_instances(all);
        cowslippass::measure_list_changes(all);
        cowslippass::measure_events(all);
        cowslippass::print_report(std::cout, all);
    }
    catch (const std::exception& e)
    {
        std::cerr << "capacity: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
