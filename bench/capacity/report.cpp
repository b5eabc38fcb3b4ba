#include "bench/capacity/report.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <ostream>

namespace cowslippass
{

namespace
{

/// Design size, docs/design.md 1.6.
constexpr double design_entries = 63;
constexpr double design_data_centres = 7;
constexpr double design_entries_per_data_centre = 9;
constexpr double design_targets = 4'300;
constexpr double design_instances = design_targets + design_entries;
/// In the own data centre.
constexpr double design_peers = 8;
/// Two in each of six other data centres.
constexpr double design_partners = 12;
/// Two in each of three other data centres.
constexpr double measured_partners = 6;
/// Each failure or restart changes the platform's list when the instance goes
/// and when it comes back.
constexpr double design_list_changes = 2 * (1'100 + 26) / 86'400.0;
/// Configuration, restarts, failures and four steps for each maintenance.
constexpr double design_changes = (20'000 + 1'100 + 26 + 77 * 4) / 86'400.0;
/// Head, log entry and command row.
constexpr double writes_per_change = 3;

__attribute__((format(printf, 1, 2))) std::string print(const char* format, ...)
{
    char buf[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buf, sizeof(buf), format, arguments);
    va_end(arguments);
    return buf;
}

void print_window(std::ostream& out, const measured_window& it)
{
    const window_rates& r = it.rates;
    auto [least, most] = std::minmax_element(
        r.entry_cpu_percents.begin(), r.entry_cpu_percents.end());
    out << print("| %s | %.1f | %.0f | %.2f | %.3f | %.2f-%.2f | %.1f | %.1f | "
                 "%.0f | %.0f | %.0f | %.1f | %.1f | %.2f |\n",
        it.name.c_str(), r.seconds, it.events, r.cpu_percent,
        r.fine_cpu_percent, *least, *most, r.rss_mb, r.largest_rss_mb,
        r.peer_bytes, r.platform_bytes, r.target_bytes, r.row_reads, r.scans,
        r.row_writes);
}

void print_windows(std::ostream& out, const findings& all)
{
    out << "### Windows\n\n| window | s | events | core % (stat) | core % "
           "(schedstat) | least-most | RSS MB | largest MB | peer B/s | "
           "platform B/s | target B/s | row reads/s | scans/s | row writes/s "
           "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& it : all.entries)
        print_window(out, it);
    print_window(out, all.data_centres);
    for (const auto& it : all.targets)
        print_window(out, it);
    for (const auto& it : all.instances)
        print_window(out, it);
    print_window(out, all.large_changes);
    print_window(out, all.listed);
    print_window(out, all.still_list);
    print_window(out, all.changing_list);
    for (const auto& it : all.requests)
        print_window(out, it);
    print_window(out, all.small_changes);
}

/// Fits a figure over what the series varies, less `offset`.
template <class Get>
line fit(const std::vector<measured_window>& series, Get get, double offset = 0)
{
    std::vector<std::pair<double, double>> points;
    points.reserve(series.size());
    for (const auto& it : series)
        points.emplace_back(it.count - offset, get(it.rates));
    return fit_line(points);
}

double get_cpu(const window_rates& it)
{
    return it.fine_cpu_percent;
}

double get_rss(const window_rates& it)
{
    return it.rss_mb;
}

struct slopes
{
    line cpu, rss, peer, platform, target, reads, writes;
};

slopes fit_all(const std::vector<measured_window>& series, double offset)
{
    using rates = window_rates;
    slopes out;
    out.cpu = fit(series, get_cpu, offset);
    out.rss = fit(series, get_rss, offset);
    out.peer = fit(
        series, [](const rates& it) { return it.peer_bytes; }, offset);
    out.platform = fit(
        series, [](const rates& it) { return it.platform_bytes; }, offset);
    out.target = fit(
        series, [](const rates& it) { return it.target_bytes; }, offset);
    out.reads = fit(
        series, [](const rates& it) { return it.row_reads + it.scans; },
        offset);
    out.writes = fit(
        series, [](const rates& it) { return it.row_writes; }, offset);
    return out;
}

void print_slope(std::ostream& out, const char* name, const slopes& it)
{
    out << print("| %s | %.4f | %.2f | %.1f | %.1f | %.1f | %.2f | %.2f |\n",
        name, it.cpu.slope, it.rss.slope * 1'000, it.peer.slope,
        it.platform.slope, it.target.slope, it.reads.slope, it.writes.slope);
}

/// Cost of one event over a window without events.
void print_event(std::ostream& out, const char* name, const measured_window& it,
    const window_rates& idle, std::size_t entry)
{
    double rate = it.events / it.rates.seconds;
    const window_rates& r = it.rates;
    double all_ms =
        (r.fine_cpu_percent - idle.fine_cpu_percent) * double(r.entries);
    double one_ms =
        r.entry_cpu_percents[entry] - idle.entry_cpu_percents[entry];
    // One percent of a core is 10 ms a second.
    out << print("| %s | %.2f | %.3f | %.3f | %.0f | %.0f | %.0f | %.2f | "
                 "%.2f |\n",
        name, rate, one_ms * 10 / rate, all_ms * 10 / rate,
        (r.peer_bytes - idle.peer_bytes) * double(r.entries) / rate,
        (r.platform_bytes - idle.platform_bytes) * double(r.entries) / rate,
        (r.target_bytes - idle.target_bytes) * double(r.entries) / rate,
        (r.row_reads + r.scans - idle.row_reads - idle.scans) / rate,
        (r.row_writes - idle.row_writes) / rate);
}

void print_events(std::ostream& out, const findings& all)
{
    out << "\n### Cost of one event\n\nMore than the same cluster without "
           "events; bytes are summed over the entries, and a byte of a peer "
           "link counts twice.\n\n| event | a second | ms of the owner or "
           "writer | ms of all entries | peer B | platform B | target B | "
           "reads | row writes |\n|---|---|---|---|---|---|---|---|---|\n";
    const window_rates& idle = all.requests.front().rates;
    for (std::size_t i = 1; i < all.requests.size(); ++i)
        print_event(out, all.requests[i].name.c_str(), all.requests[i], idle,
            all.owner);
    print_event(
        out, all.small_changes.name.c_str(), all.small_changes, idle, 0);
    print_event(out, all.large_changes.name.c_str(), all.large_changes,
        all.instances.back().rates, 0);
}

/// A figure of one entry among n of a data centre: `base` +
/// (n - 1) x `peer` + `pools` / n, as the pools are spread over the entries.
struct entry_cost
{
    double base = 0;
    double peer = 0;
    double pools = 0;

    double get(double peers, double entries) const
    {
        return base + peers * peer + pools / entries;
    }
};

/// Solves the three unknowns from the windows of 2, 4 and 8 entries.
template <class Get>
entry_cost solve(const std::vector<measured_window>& series, Get get)
{
    double two = get(series.at(0).rates);
    double four = get(series.at(1).rates);
    double eight = get(series.at(2).rates);
    entry_cost out;
    out.peer = (2 * (eight - four) - (four - two)) / 6;
    out.pools = (2 * out.peer - (four - two)) * 4;
    out.base = two - out.peer - out.pools / 2;
    return out;
}

/// @return what one partner in another data centre costs.
template <class Get>
double solve_partner(const findings& all, Get get)
{
    return (get(all.data_centres.rates) - solve(all.entries, get).get(1, 2)) /
           measured_partners;
}

double get_peer_bytes(const window_rates& it)
{
    return it.peer_bytes;
}

double get_platform_bytes(const window_rates& it)
{
    return it.platform_bytes;
}

void print_entry_costs(std::ostream& out, const findings& all)
{
    out << "\n### Cost of an entry among n of a data centre\n\nbase + (n - 1) "
           "x peer + pools / n, solved from the windows of 2, 4 and 8 "
           "entries. A partner in another data centre costs (window of 4 data "
           "centres - formula for n = 2) / 6.\n\n| figure | base | peer | 36 "
           "pools and 4 targets | formula for n = 2 | 4 data centres | remote "
           "partner |\n|---|---|---|---|---|---|---|\n";
    auto row = [&](const char* name, double (*get)(const window_rates&))
    {
        entry_cost it = solve(all.entries, get);
        out << print("| %s | %.4g | %.4g | %.4g | %.4g | %.4g | %.4g |\n", name,
            it.base, it.peer, it.pools, it.get(1, 2),
            get(all.data_centres.rates), solve_partner(all, get));
    };
    row("core %", get_cpu);
    row("RSS MB", get_rss);
    row("peer B/s", get_peer_bytes);
    row("platform B/s", get_platform_bytes);
}

/// One figure of an entry at the design size, by what causes it.
struct design_figure
{
    const char* name;
    const char* unit;
    double bound;
    /// Base, local peers, remote partners, pools, owned targets, fleet state,
    /// list, changes.
    double parts[8];
};

constexpr std::size_t list_part = 6;

void print_figure(std::ostream& out, const design_figure& it)
{
    double sum = 0;
    for (double part : it.parts)
        sum += part;
    out << print("| %s, %s |", it.name, it.unit);
    for (double part : it.parts)
        out << print(" %.3f |", part);
    double list = it.parts[list_part];
    out << print(" **%.2f** | %.2f | %g | %s |\n", sum, sum - list, it.bound,
        sum <= it.bound          ? "yes"
        : sum - list <= it.bound ? "without the list"
                                 : "**no**");
}

void print_design(std::ostream& out, const findings& all, const slopes& target)
{
    const window_rates& unlisted = all.instances.back().rates;
    const window_rates& listed = all.listed.rates;
    const window_rates& changed = all.large_changes.rates;
    double targets = design_targets / design_entries;
    // The windows of (a) hold four targets in each data centre.
    double more_targets = targets - 4 / design_entries_per_data_centre;
    double listed_factor = design_instances / all.listed.count;
    double changes = all.large_changes.events / changed.seconds;
    double n = design_entries_per_data_centre;
    double list_changes =
        all.changing_list.events / all.changing_list.rates.seconds;
    auto make = [&](const char* name, const char* unit, double bound,
                    double scale, double (*get)(const window_rates&),
                    const line& owned, bool counts_changes)
    {
        entry_cost entry = solve(all.entries, get);
        double state = fit(all.instances, get).slope * design_instances;
        double list = (get(listed) - get(unlisted)) * listed_factor;
        // Of the whole data centre for each change, spread over its entries.
        double read =
            (get(all.changing_list.rates) - get(all.still_list.rates)) *
            double(all.still_list.rates.entries) / list_changes;
        if (counts_changes)
            list += read * design_list_changes / n;
        double change = (get(changed) - get(unlisted)) / changes;
        design_figure it{name, unit, bound,
            {entry.base, entry.peer * design_peers,
                solve_partner(all, get) * design_partners, entry.pools / n,
                owned.slope * more_targets, state, list,
                counts_changes ? change * design_changes : 0}};
        for (double& part : it.parts)
            part *= scale;
        return it;
    };
    out << print("\n### One entry at the design size (extrapolated)\n\n%.0f "
                 "entries, %.0f targets, %.2f owned targets, %.0f local peers "
                 "and %.0f remote partners for each entry, %.3f changes of the "
                 "fleet and %.4f changes of the instance list a second, "
                 "without requests. Formula: base + 8 x peer + 12 x remote "
                 "partner + pools / 9 + (4,300 / 63 - 4 / 9) x slope of (b) + "
                 "4,363 x slope of (c) + list + %.3f x change of the large "
                 "state. The list is (listed - unlisted) x 4,363 / 4,300 + "
                 "%.4f x (changing - still list of (f)) of all entries for "
                 "each change / 9.\n\n",
        design_entries, design_targets, targets, design_peers, design_partners,
        design_changes, design_list_changes, design_changes,
        design_list_changes);
    out << "| figure | base | local peers | remote partners | pools | owned "
           "targets | fleet state | instance list | changes | sum | without "
           "the list | bound | met "
           "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    print_figure(out,
        make("processor", "% of a core", 1.4, 1, get_cpu, target.cpu, true));
    print_figure(
        out, make("memory", "MB RSS", 32, 1, get_rss, target.rss, false));
    design_figure platform = make("platform", "KB/s", 15, 0.001,
        get_platform_bytes, target.platform, true);
    design_figure peers =
        make("peers", "KB/s", 15, 0.001, get_peer_bytes, target.peer, true);
    // The fleet's own targets are in (b) only; state and list have none.
    design_figure owned{"targets", "KB/s", 15, {}};
    owned.parts[4] = target.target.slope * targets * 0.001;
    design_figure bytes{"all bytes", "KB/s", 15, {}};
    for (std::size_t i = 0; i < std::size(bytes.parts); ++i)
        bytes.parts[i] = platform.parts[i] + peers.parts[i] + owned.parts[i];
    for (const auto& it : {platform, peers, owned, bytes})
        print_figure(out, it);
}

void print_platform(std::ostream& out, const slopes& entry)
{
    // Pools are scanned once in each data centre, whatever its entries.
    double pools = entry.reads.base - entry.reads.slope;
    double reads =
        design_entries * entry.reads.slope + design_data_centres * pools;
    double writes = design_entries * entry.writes.slope + entry.writes.base -
                    entry.writes.slope + design_changes * writes_per_change;
    out << print("\n### Platform at the design size (extrapolated)\n\n| "
                 "figure | value | bound | formula |\n|---|---|---|---|\n"
                 "| row reads and scans/s | %.0f | 2,000 | 63 x %.2f of an "
                 "entry + 7 x %.2f of the pools of a data centre |\n"
                 "| row writes/s | %.1f | several hundred | 63 x %.2f of an "
                 "entry + %.2f of the leases + 0.248 x 3 rows of a change "
                 "|\n",
        reads, entry.reads.slope, pools, writes, entry.writes.slope,
        entry.writes.base - entry.writes.slope);
}

} // namespace

void print_report(std::ostream& out, const findings& all)
{
    slopes peer = fit_all(all.entries, 1);
    slopes target = fit_all(all.targets, 0);
    slopes instance = fit_all(all.instances, 0);
    print_windows(out, all);
    out << "\n### Slopes\n\nLeast squares; reads and writes are those of the "
           "whole cluster.\n\n| for each | core % | RSS KB | peer B/s | "
           "platform B/s | target B/s | reads and scans/s | row writes/s "
           "|\n|---|---|---|---|---|---|---|---|\n";
    print_slope(out, "(a) peer", peer);
    print_slope(out, "(b) owned target", target);
    print_slope(out, "(c) instance in the state", instance);
    print_events(out, all);
    print_entry_costs(out, all);
    print_design(out, all, target);
    print_platform(out, peer);
}

} // namespace cowslippass
