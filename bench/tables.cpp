#include "bench/tables.hpp"

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace cowslippass::bench
{

namespace
{

constexpr int seeds = 5;

std::string fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string percent(double part, double whole)
{
    return whole == 0.0 ? "-" : fixed(100.0 * part / whole, 1);
}

void write_row(std::ostream& out, const std::vector<std::string>& cells)
{
    out << '|';
    for (const std::string& cell : cells)
        out << ' ' << cell << " |";
    out << std::endl;
}

void write_head(std::ostream& out, const std::vector<std::string>& cells)
{
    write_row(out, cells);
    write_row(out, std::vector<std::string>(cells.size(), "---"));
}

struct variant
{
    std::string name;
    std::function<void(scenario&)> change;
};

std::vector<variant> get_strategies()
{
    return {{"chosen", [](scenario&) {}},
        {"chosen, no slow work at all",
            [](scenario& plan) { plan.load.slow_load = 0.0; }},
        {"first come first served",
            [](scenario& plan)
            {
                plan.policy.order = queue_order::first_come;
                plan.policy.headroom = 0.0;
                plan.policy.is_preemptive = false;
            }},
        {"random target",
            [](scenario& plan) { plan.policy.choice = target_choice::random; }},
        {"fixed headroom of 1/8",
            [](scenario& plan) { plan.policy.is_headroom_adaptive = false; }},
        {"no headroom", [](scenario& plan) { plan.policy.headroom = 0.0; }},
        {"no reservation",
            [](scenario& plan) { plan.policy.is_reservation_enabled = false; }},
        {"no patience", [](scenario& plan)
            { plan.policy.urgent_wait_limit = std::chrono::hours(1); }},
        {"no preemption",
            [](scenario& plan) { plan.policy.is_preemptive = false; }}};
}

std::vector<std::string> get_strategy_cells(
    const std::string& name, const figures& it)
{
    double wanted =
        static_cast<double>(it.urgent_waits_ms.size() + it.urgent_refused);
    return {name, fixed(it.get_wait(0.5), 0), fixed(it.get_wait(0.99), 0),
        fixed(it.get_wait(1.0), 0), fixed(100.0 * it.get_late_part(), 2),
        percent(static_cast<double>(it.urgent_refused), wanted),
        fixed(it.shortfall_s, 1), fixed(it.shortfall_length_s, 1),
        percent(it.idle_urgent_waits, it.capacity),
        percent(it.idle_slow_waits, it.capacity),
        percent(it.urgent_work, it.capacity),
        percent(it.slow_work, it.capacity),
        percent(it.preempted_work, it.capacity)};
}

/// One fault: the scenario, and how to take the mechanism away.
struct fault_case
{
    std::string name;
    std::string without;
    std::function<void(scenario&)> set_up;
    std::function<void(scenario&)> take_away;
};

fault make_fault(fault_kind kind, double from_s, double until_s)
{
    fault it;
    it.kind = kind;
    it.from_s = from_s;
    it.until_s = until_s;
    return it;
}

void add_cancellations(scenario& plan)
{
    for (double time_s : {20.0, 40.0, 60.0, 80.0})
        plan.faults.push_back(
            make_fault(fault_kind::cancellations, time_s, time_s));
}

void add_failing_targets(scenario& plan)
{
    fault it = make_fault(fault_kind::fails_all, 20.0, 120.0);
    // One target in each pool, and two in the first two.
    it.targets = {0, 1, 8, 9, 17, 27, 38};
    plan.faults.push_back(it);
}

std::vector<fault_case> get_fault_cases()
{
    auto no_health = [](scenario& plan) { plan.has.has_health = false; };
    return {{"a data centre is out from 30 s to 60 s", "no rerouting",
                [](scenario& plan) {
                    plan.faults.push_back(
                        make_fault(fault_kind::data_centre_out, 30.0, 60.0));
                },
                [](scenario& plan) { plan.has.reroutes = false; }},
        {"7 of 50 targets fail everything from 20 s on", "no target health",
            add_failing_targets, no_health},
        {"a rack is out from 30 s to 90 s", "no target health",
            [](scenario& plan) {
                plan.faults.push_back(
                    make_fault(fault_kind::rack_out, 30.0, 90.0));
            },
            no_health},
        {"5 % of the tasks fail wherever they run", "no report of bad tasks",
            [](scenario& plan) { plan.load.bad_fraction = 0.05; },
            [](scenario& plan) { plan.has.parks_bad_tasks = false; }},
        {"2 % of the tasks fit no target", "not refused, no look-ahead",
            [](scenario& plan) { plan.load.misfit_fraction = 0.02; },
            [](scenario& plan)
            {
                plan.policy.refuses_oversized_tasks = false;
                plan.policy.lookahead_tasks = 1;
            }},
        {"half of a large team's tasks are cancelled, 4 times",
            "cancelled tasks run on", add_cancellations,
            [](scenario& plan) { plan.has.stops_cancelled = false; }}};
}

std::vector<std::string> get_fault_cells(
    const std::string& name, const std::string& variant, const figures& it)
{
    return {name, variant, percent(it.urgent_work, it.capacity),
        percent(it.slow_work, it.capacity),
        percent(it.wasted_work, it.capacity), std::to_string(it.urgent_done),
        std::to_string(it.urgent_refused), std::to_string(it.urgent_lost),
        std::to_string(it.slow_done), std::to_string(it.slow_parked),
        std::to_string(it.urgent_hit), fixed(it.get_wait(0.99), 0)};
}

} // namespace

void write_introduction(std::ostream& out)
{
    out << "# Measurements\n\n"
           "`scripts/measure_placement.sh` rewrites this page from fixed "
           "seeds. "
           "Time is\nsimulated; no figure depends on the speed of the machine. "
           "Work and idle slots\nare in percent of the slot time of the "
           "targets that were up.\n\n"
           "Load of each (data centre, pool): urgent work fills 30 % of the "
           "slots on average\n(mean run 0.5 s), in bursts of 4 s at five "
           "times the mean, 150 % of the pool, one\nqueue after the other, "
           "and a twentieth between. Slow work (mean run 10 s) asks\nfor "
           "100 %. Run times are log-normal with sigma 1, as is the factor "
           "between\ndeclared and true sizes. Callers of urgent work wait at "
           "most 5 s; the stated\ntarget for starts is 2.2 s.\n";
}

void write_strategies(std::ostream& out, const scenario& plan, int count)
{
    std::size_t targets = 0;
    for (int size : plan.pool_sizes)
        targets += size;
    out << "\n## " << plan.name << "\n\n"
        << targets << " targets in " << plan.pool_sizes.size() << " pools and "
        << plan.data_centres << " data centres, "
        << plan.load.team_demands.size() << " teams, "
        << fixed(plan.duration_s, 0) << " s, " << count
        << (count == 1 ? " seed" : " seeds")
        << ". Waits are in\nms. The shortfall is the largest that any team "
           "had in any pool, in seconds of an\nequal share, and its length is "
           "the longest time that a team was behind by more\nthan 1 s of its "
           "share.\n\n";
    write_head(
        out, {"strategy", "wait p50", "p99", "worst", "later than 2.2 s %",
                 "urgent refused %", "shortfall s", "length s",
                 "idle, urgent waits %", "idle, slow waits %", "urgent work %",
                 "slow work %", "lost to preemption %"});
    for (const variant& it : get_strategies())
    {
        scenario changed = plan;
        it.change(changed);
        auto from = std::chrono::steady_clock::now();
        figures result =
            count > 1 ? run_seeds(changed, count) : run_pools(changed);
        write_row(out, get_strategy_cells(it.name, result));
        std::chrono::duration<double> took =
            std::chrono::steady_clock::now() - from;
        std::cerr << plan.name << ", " << it.name << ": " << result.arrived
                  << " arrivals, " << result.starts << " starts, "
                  << took.count() << " s\n";
    }
}

void write_faults(std::ostream& out)
{
    out << "\n## Faults\n\nSerrano, " << seeds
        << " seeds, with and without the mechanism against the fault. Waste "
           "is\nthe work of tasks that were lost, failed or were cancelled. "
           "Tasks hit are running\nurgent tasks lost with a target.\n\n";
    write_head(
        out, {"fault", "variant", "urgent work %", "slow work %", "wasted %",
                 "urgent done", "urgent refused", "urgent lost", "slow done",
                 "slow given up", "urgent hit", "wait p99"});
    write_row(out,
        get_fault_cells("none", "chosen", run_seeds(make_serrano(), seeds)));
    for (const fault_case& it : get_fault_cases())
    {
        scenario plan = make_serrano();
        it.set_up(plan);
        write_row(
            out, get_fault_cells(it.name, "chosen", run_seeds(plan, seeds)));
        it.take_away(plan);
        write_row(
            out, get_fault_cells(it.name, it.without, run_seeds(plan, seeds)));
    }
}

void write_racks(std::ostream& out)
{
    out << "\n## Spread over racks\n\nOne pool of 18 targets in racks of 4 "
           "in one data centre, no bursts, slow work asks\nfor 40 %, "
        << seeds
        << " seeds. Part of the running urgent tasks that the fullest rack "
           "holds, and\nwhich its failure would interrupt.\n\n";
    write_head(out, {"strategy", "mean %", "worst %", "urgent wait p99"});
    for (const variant& it : get_strategies())
    {
        if (it.name != "chosen" && it.name != "random target")
            continue;
        scenario plan = make_serrano();
        plan.data_centres = 1;
        plan.pool_sizes = {18};
        plan.load.slow_load = 0.4;
        plan.load.burst_factor = 1.0;
        plan.load.quiet_factor = 1.0;
        it.change(plan);
        figures result = run_seeds(plan, seeds);
        write_row(out,
            {it.name, percent(result.rack_part_sum, result.rack_part_samples),
                fixed(100 * result.rack_part_worst, 1),
                fixed(result.get_wait(0.99), 0)});
    }
}

void write_divisions(std::ostream& out)
{
    out << "\n## Division of placement inside a data centre\n\nOne data "
           "centre with 9 entries, a pool of 18 targets,\n"
        << seeds << " seeds.\n\n";
    write_head(out,
        {"division", "starts", "refused starts %", "wait p50", "p99", "worst",
            "later than 2.2 s %", "urgent refused %", "shortfall s", "length s",
            "idle, urgent waits %", "urgent work %", "slow work %"});
    const std::pair<division, std::string> divisions[] = {
        {division::one_owner, "one owner for each pool (chosen)"},
        {division::split_targets, "targets split among the entries"},
        {division::all_on_all, "every entry on every target"}};
    for (const auto& [divided, name] : divisions)
    {
        scenario plan = make_serrano();
        plan.data_centres = 1;
        plan.pool_sizes = {18};
        plan.divided = divided;
        figures it = run_seeds(plan, seeds);
        double wanted =
            static_cast<double>(it.urgent_waits_ms.size() + it.urgent_refused);
        write_row(out,
            {name, std::to_string(it.starts),
                percent(static_cast<double>(it.refused_starts),
                    static_cast<double>(it.starts)),
                fixed(it.get_wait(0.5), 0), fixed(it.get_wait(0.99), 0),
                fixed(it.get_wait(1.0), 0), fixed(100 * it.get_late_part(), 2),
                percent(static_cast<double>(it.urgent_refused), wanted),
                fixed(it.shortfall_s, 1), fixed(it.shortfall_length_s, 1),
                percent(it.idle_urgent_waits, it.capacity),
                percent(it.urgent_work, it.capacity),
                percent(it.slow_work, it.capacity)});
    }
}

} // namespace cowslippass::bench
