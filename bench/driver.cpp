#include "bench/driver.hpp"

#include <algorithm>

namespace cowslippass::bench
{

namespace
{

constexpr double sample_s = 0.1;
constexpr double tick_s = 0.02; ///< While work waits.
constexpr double report_s = 0.1;
/// A caller's patience; beyond the bound of 2.2 s, so that late starts show.
constexpr milliseconds urgent_deadline{5000};
constexpr std::uint64_t gibibyte = 1ULL << 30;
constexpr std::uint64_t target_memory = 32 * gibibyte;
constexpr double true_memory = 1.5 * gibibyte;

} // namespace

driver::driver(const scenario& plan)
    : plan_(plan), random_(plan_.load, plan_.seed),
      is_out_(plan_.data_centres, false)
{
    std::size_t count = plan_.load.team_demands.size();
    for (std::size_t i = 0; i < count; ++i)
        teams_.emplace_back("team" + std::to_string(i));
    owners_of_.resize(plan_.pool_sizes.size() * plan_.data_centres);
    targets_of_.resize(owners_of_.size());
    meters_.assign(owners_of_.size(), share_meter(count));
    add_targets();
    add_owners();
    add_sources();
    for (std::size_t i = 0; i < plan_.faults.size(); ++i)
    {
        schedule(plan_.faults[i].from_s, event_kind::fault_begins, i);
        schedule(plan_.faults[i].until_s, event_kind::fault_ends, i);
    }
    schedule(sample_s, event_kind::sample, 0);
    schedule(report_s, event_kind::report, 0);
}

figures driver::run()
{
    using handler = void (driver::*)(std::size_t);
    static constexpr handler handlers[] = {&driver::on_arrival,
        &driver::on_tick, &driver::on_start_arrives,
        &driver::on_start_confirmed, &driver::on_start_refused,
        &driver::on_finish, &driver::on_end_known, &driver::on_checkpointed,
        &driver::on_report, &driver::on_sample, &driver::on_fault_begins,
        &driver::on_fault_ends, &driver::on_add_again};
    while (!events_.empty() && events_.top().time_s <= plan_.duration_s)
    {
        event next = events_.top();
        events_.pop();
        now_s_ = next.time_s;
        bool is_of_task = next.generation != 0;
        if (is_of_task && tasks_[next.index].generation != next.generation)
            continue;
        (this->*handlers[static_cast<std::size_t>(next.kind)])(next.index);
    }
    finish_figures();
    return std::move(out_);
}

void driver::add_targets()
{
    int pools = static_cast<int>(plan_.pool_sizes.size());
    std::vector<int> placed(plan_.data_centres, 0);
    for (int pool = 0; pool < pools; ++pool)
        for (int i = 0; i < plan_.pool_sizes[pool]; ++i)
        {
            int centre = (i + pool) % plan_.data_centres;
            target_row row;
            row.pool = pool;
            row.data_centre = centre;
            row.rack = placed[centre]++ / plan_.rack_size;
            placement_target& target = row.description;
            target.id = instance_id("target" + std::to_string(targets_.size()));
            target.data_centre = data_centre_id("dc" + std::to_string(centre));
            target.rack = rack_id(
                target.data_centre.get() + "-r" + std::to_string(row.rack));
            target.memory = byte_count(target_memory);
            targets_of_[pool * plan_.data_centres + centre].push_back(
                targets_.size());
            targets_.push_back(std::move(row));
        }
}

void driver::add_owners()
{
    int pools = static_cast<int>(plan_.pool_sizes.size());
    for (int pool = 0; pool < pools; ++pool)
        for (int centre = 0; centre < plan_.data_centres; ++centre)
        {
            const auto& own = targets_of_[pool * plan_.data_centres + centre];
            if (plan_.divided == division::one_owner)
            {
                add_owner(pool, centre, own);
                continue;
            }
            std::vector<std::vector<std::size_t>> parts(plan_.entries);
            for (std::size_t i = 0; i < own.size(); ++i)
                parts[i % parts.size()].push_back(own[i]);
            bool is_all = plan_.divided == division::all_on_all;
            for (const auto& part : parts)
                if (is_all || !part.empty())
                    add_owner(pool, centre, is_all ? own : part);
        }
}

void driver::add_owner(
    int pool, int data_centre, std::vector<std::size_t> targets)
{
    std::size_t number = owners_.size();
    owners_of_[pool * plan_.data_centres + data_centre].push_back(number);
    owner_row owner;
    owner.pool = pool;
    owner.data_centre = data_centre;
    owner.targets = std::move(targets);
    for (std::size_t i : owner.targets)
    {
        targets_[i].owners.push_back(number);
        owner.numbers[targets_[i].description.id] = i;
    }
    reset_owner(owner);
    owners_.push_back(std::move(owner));
}

void driver::reset_owner(owner_row& owner)
{
    placement_policy policy = plan_.policy;
    policy.seed = plan_.seed + owners_.size();
    owner.placement = std::make_unique<placement_system>(policy);
    owner.health = std::make_unique<target_health>();
    owner.live.clear();
    owner.aside = 0;
    owner.next_tick_s = 1e18;
    for (std::size_t i : owner.targets)
    {
        targets_[i].description.health = target_health_state::healthy;
        owner.placement->set_target(targets_[i].description);
        owner.health->set_target(targets_[i].description.id);
    }
    for (const team_id& team : teams_)
        owner.placement->set_team(team, 1);
}

void driver::add_sources()
{
    for (std::size_t i = 0; i < owners_of_.size(); ++i)
    {
        int pool = static_cast<int>(i) / plan_.data_centres;
        int centre = static_cast<int>(i) % plan_.data_centres;
        double slots = 0.0;
        for (std::size_t target : targets_of_[i])
            slots += targets_[target].description.slots.get();
        for (queue_kind kind : {queue_kind::urgent, queue_kind::slow})
        {
            std::uint64_t seed = plan_.seed * 100'000 + sources_.size();
            sources_.push_back(
                {pool, centre, kind, slots, workload_source(plan_.load, seed)});
            schedule(sources_.back().random.draw_gap(kind, slots),
                event_kind::arrival, sources_.size() - 1);
        }
    }
}

void driver::schedule(double after_s, event_kind kind, std::size_t index,
    std::uint64_t generation)
{
    events_.push({now_s_ + after_s, ++sequence_, kind, index, generation});
}

void driver::schedule_tick(std::size_t owner, double after_s)
{
    double due_s = now_s_ + after_s;
    if (owners_[owner].next_tick_s <= due_s)
        return;
    owners_[owner].next_tick_s = due_s;
    schedule(after_s, event_kind::tick, owner);
}

monotonic_time driver::get_now() const
{
    auto time = std::chrono::duration<double>(now_s_ + 1.0);
    return monotonic_time(
        std::chrono::duration_cast<monotonic_time::duration>(time));
}

void driver::on_arrival(std::size_t index)
{
    source_row& source = sources_[index];
    schedule(source.random.draw_gap(source.kind, source.slots),
        event_kind::arrival, index);
    // A large fleet has the same part of its queues in a burst.
    constexpr int turns = 5;
    int turn = (plan_.first_pool + source.pool) % turns;
    if (!source.random.is_kept(source.kind, now_s_, turn, turns))
        return;
    ++out_.arrived;
    std::size_t task = make_task(source);
    auto owner = choose_owner(source.pool, source.data_centre);
    if (owner)
        add_to_owner(task, *owner);
    else
        give_up(tasks_[task]);
}

std::size_t driver::make_task(source_row& source)
{
    std::size_t index = tasks_.size();
    task_row& row = tasks_.emplace_back();
    row.generation = 1;
    row.team = source.random.draw_team();
    row.run_s = source.random.draw_run_s(source.kind);
    row.is_bad = source.random.draw_chance(plan_.load.bad_fraction);
    placement_task& task = row.task;
    task.id = task_id("t" + std::to_string(index));
    task.team = teams_[row.team];
    task.kind = source.kind;
    task.is_idempotent =
        !source.random.draw_chance(plan_.load.non_idempotent_fraction);
    task.arrival = get_now();
    if (source.kind == queue_kind::urgent)
        task.deadline = task.arrival + urgent_deadline;
    double memory = std::min(source.random.draw_declared(true_memory),
        static_cast<double>(target_memory));
    task.memory = byte_count(static_cast<std::uint64_t>(memory));
    if (source.random.draw_chance(plan_.load.misfit_fraction))
        task.memory = byte_count(2 * target_memory);
    task.run_time = milliseconds(
        static_cast<long>(source.random.draw_declared(row.run_s) * 1000));
    return index;
}

std::optional<std::size_t> driver::choose_owner(int pool, int data_centre)
{
    std::vector<std::size_t> live;
    auto collect = [&](int centre)
    {
        for (std::size_t i : owners_of_[pool * plan_.data_centres + centre])
            if (!owners_[i].is_dead && !owners_[i].targets.empty())
                live.push_back(i);
    };
    collect(data_centre);
    if (live.empty() && plan_.has.reroutes)
        for (int centre = 0; centre < plan_.data_centres; ++centre)
            collect(centre);
    if (live.empty())
        return std::nullopt;
    return live[random_.draw_index(live.size())];
}

void driver::add_to_owner(std::size_t index, std::size_t owner)
{
    task_row& row = tasks_[index];
    row.owner = owner;
    if (auto refusal = owners_[owner].placement->add_task(row.task))
    {
        apply(owners_[owner], *refusal);
        return;
    }
    owners_[owner].live.push_back(index);
    schedule_tick(owner, coalesce_s);
}

void driver::on_tick(std::size_t index)
{
    owner_row& owner = owners_[index];
    if (owner.is_dead || owner.next_tick_s != now_s_)
        return;
    owner.next_tick_s = 1e18;
    if (plan_.has.has_health)
        judge_health(owner);
    auto out =
        owner.placement->tick(get_now(), [](const team_id&) { return true; });
    for (const placement_decision& item : out.items)
        apply(owner, item);
    bool is_waiting = owner.placement->count_waiting(queue_kind::urgent) +
                          owner.placement->count_waiting(queue_kind::slow) >
                      0;
    if (is_waiting)
        schedule_tick(index, tick_s);
}

void driver::on_report(std::size_t)
{
    schedule(report_s, event_kind::report, 0);
    if (plan_.divided != division::all_on_all)
        return;
    for (const target_row& target : targets_)
    {
        placement_target report = target.description;
        std::uint32_t slots = report.slots.get();
        report.free_slots = slot_count(slots - std::min(slots, target.busy));
        for (std::size_t owner : target.owners)
        {
            owners_[owner].placement->set_target(report);
            schedule_tick(owner, coalesce_s);
        }
    }
}

void driver::on_sample(std::size_t)
{
    schedule(sample_s, event_kind::sample, 0);
    for (std::size_t i = 0; i < owners_of_.size(); ++i)
    {
        measure_owner(i, sample_s);
        measure_racks(i);
    }
}

void driver::measure_racks(std::size_t index)
{
    std::map<int, std::uint32_t> racks;
    std::uint32_t all = 0;
    std::uint32_t most = 0;
    for (std::size_t i : targets_of_[index])
    {
        std::uint32_t& rack = racks[targets_[i].rack];
        rack += targets_[i].urgent;
        all += targets_[i].urgent;
        most = std::max(most, rack);
    }
    if (all < 4)
        return;
    double part = static_cast<double>(most) / all;
    out_.rack_part_sum += part;
    out_.rack_part_samples += 1.0;
    out_.rack_part_worst = std::max(out_.rack_part_worst, part);
}

void driver::measure_owner(std::size_t index, double seconds)
{
    std::vector<double> demands(teams_.size());
    std::vector<double> used(teams_.size());
    std::uint32_t waiting[2] = {0, 0};
    double slots = 0.0;
    double busy = 0.0;
    for (std::size_t i : owners_of_[index])
    {
        const owner_row& owner = owners_[i];
        if (owner.is_dead)
            continue;
        waiting[0] += owner.placement->count_waiting(queue_kind::urgent);
        waiting[1] += owner.placement->count_waiting(queue_kind::slow);
        for (std::size_t team = 0; team < teams_.size(); ++team)
        {
            double running = owner.placement->count_running(teams_[team]);
            used[team] += running;
            demands[team] +=
                running + owner.placement->count_waiting(teams_[team]);
            busy += running;
        }
    }
    for (std::size_t i : targets_of_[index])
        if (!targets_[i].is_dead)
            slots += targets_[i].description.slots.get();
    meters_[index].add_sample(demands, used, slots, seconds);
    double idle = std::max(0.0, slots - busy) * seconds;
    out_.capacity += slots * seconds;
    if (waiting[0] > 0)
        out_.idle_urgent_waits += idle;
    else if (waiting[1] > 0)
        out_.idle_slow_waits += idle;
}

void driver::finish_figures()
{
    for (task_row& row : tasks_)
    {
        halt(row);
        if (row.task.kind == queue_kind::slow && !row.is_cancelled &&
            row.outcome == task_outcome::done)
            out_.slow_work += row.kept_s + row.progress_s;
    }
    for (const share_meter& meter : meters_)
    {
        out_.shortfall_s = std::max(out_.shortfall_s, meter.get_shortfall_s());
        out_.shortfall_length_s =
            std::max(out_.shortfall_length_s, meter.get_length_s());
    }
}

} // namespace cowslippass::bench
