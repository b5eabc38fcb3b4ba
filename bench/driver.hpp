#pragma once

#include "bench/figures.hpp"
#include "bench/share_meter.hpp"
#include "bench/workload.hpp"
#include "systems/placement_system.hpp"
#include "systems/target_health.hpp"

#include <deque>
#include <memory>
#include <queue>

namespace cowslippass::bench
{

enum class fault_kind
{
    data_centre_out, ///< Targets and owners lose their tasks.
    rack_out,        ///< Targets are silent and lose their tasks.
    fails_all,       ///< Targets fail each task within 50 ms.
    cancellations    ///< Half of the tasks of the first team are cancelled.
};

struct fault
{
    fault_kind kind = fault_kind::rack_out;
    double from_s = 0.0;
    double until_s = 0.0;
    int data_centre = 0;
    int rack = 0;
    std::vector<std::size_t> targets; ///< For `fails_all`.
};

/// Mechanisms outside of placement that a run can do without.
struct mechanisms
{
    bool has_health = true;
    bool reroutes = true; ///< Arrivals avoid a data centre that is out.
    bool parks_bad_tasks = true;
    bool stops_cancelled = true;
};

/// How the placement inside a data centre is divided among its entries.
enum class division
{
    one_owner,     ///< One owner for each pool.
    split_targets, ///< Each entry owns a part of the targets.
    all_on_all     ///< Each entry places on every target.
};

struct scenario
{
    std::string name;
    int data_centres = 3;
    /// Targets of each pool, dealt to the data centres in turn.
    std::vector<int> pool_sizes{8, 9, 10, 11, 12};
    int first_pool = 0; ///< Number of the first pool, which sets its turn.
    int rack_size = 4;
    int entries = 9;
    double network_ms = 0.2; ///< One way, entry to target.
    double duration_s = 120.0;
    std::uint64_t seed = 1;
    division divided = division::one_owner;
    workload load;
    placement_policy policy;
    mechanisms has;
    std::vector<fault> faults;
};

/// Feeds arrivals, ends and failures to the placement systems of a fleet in
/// simulated time. Targets are slots with a clock; nothing else of a cluster
/// is modelled.
class driver
{
public:
    explicit driver(const scenario& plan);
    driver(const driver&) = delete;
    driver& operator=(const driver&) = delete;

    figures run();

private:
    enum class event_kind
    {
        arrival,
        tick,
        start_arrives,
        start_confirmed,
        start_refused,
        finish,
        end_known,
        checkpointed,
        report,
        sample,
        fault_begins,
        fault_ends,
        add_again
    };
    struct event
    {
        double time_s = 0.0;
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::arrival;
        std::size_t index = 0;
        std::uint64_t generation = 0; ///< Of a task; stale ones are dropped.

        bool operator>(const event& other) const
        {
            return std::tie(time_s, sequence) >
                   std::tie(other.time_s, other.sequence);
        }
    };
    struct target_row
    {
        placement_target description;
        int pool = 0;
        int data_centre = 0;
        int rack = 0;
        std::uint32_t busy = 0;
        std::uint32_t urgent = 0; ///< Of the busy slots.
        bool is_dead = false;
        bool fails_all = false;
        std::vector<std::size_t> owners;
    };
    struct owner_row
    {
        int pool = 0;
        int data_centre = 0;
        std::unique_ptr<placement_system> placement;
        std::unique_ptr<target_health> health;
        std::vector<std::size_t> targets;
        std::map<instance_id, std::size_t> numbers;
        std::vector<std::size_t> live; ///< All tasks it was ever given.
        double next_tick_s = 1e18;
        std::uint32_t aside = 0;
        bool is_dead = false;
    };
    struct source_row
    {
        int pool = 0;
        int data_centre = 0;
        queue_kind kind = queue_kind::urgent;
        double slots = 0.0;
        /// Of its own, so that every strategy gets the same arrivals.
        workload_source random;
    };
    struct task_row
    {
        placement_task task;
        std::size_t team = 0;
        std::size_t owner = 0;
        std::size_t target = 0;
        std::uint64_t generation = 0;
        double run_s = 0.0;
        double kept_s = 0.0;     ///< Progress that a stop does not lose.
        double progress_s = 0.0; ///< Beyond that, up to `since_s`.
        double since_s = 0.0;    ///< Start of the current stretch.
        double halted_s = 0.0;   ///< When it was throttled.
        int attempts = 0;
        bool is_bad = false;
        bool is_running = false; ///< Makes progress.
        bool has_slot = false;
        bool is_cancelled = false;
        bool is_over = false;
        task_outcome outcome = task_outcome::done;
    };

    /// Changes within this time share a tick.
    static constexpr double coalesce_s = 0.001;

    void add_targets();
    void add_owners();
    void add_owner(int pool, int data_centre, std::vector<std::size_t> targets);
    void reset_owner(owner_row& owner);
    void add_sources();
    void schedule(double after_s, event_kind kind, std::size_t index,
        std::uint64_t generation = 0);
    void schedule_tick(std::size_t owner, double after_s);
    monotonic_time get_now() const;

    void on_arrival(std::size_t index);
    void on_tick(std::size_t index);
    void on_start_arrives(std::size_t index);
    void on_start_confirmed(std::size_t index);
    void on_start_refused(std::size_t index);
    void on_finish(std::size_t index);
    void on_end_known(std::size_t index);
    void on_checkpointed(std::size_t index);
    void on_report(std::size_t index);
    void on_sample(std::size_t index);
    void on_fault_begins(std::size_t index);
    void on_fault_ends(std::size_t index);
    void on_add_again(std::size_t index);

    std::size_t make_task(source_row& source);
    std::optional<std::size_t> choose_owner(int pool, int data_centre);
    void add_to_owner(std::size_t index, std::size_t owner);
    void apply(owner_row& owner, const placement_decision& item);
    void judge_health(owner_row& owner);
    void retry_or_give_up(task_row& task, std::size_t index);
    void give_up(task_row& task);
    void add_again(std::size_t index, double after_s);
    void halt(task_row& task);
    void proceed(task_row& task, std::size_t index);
    void stop(task_row& task, std::size_t index);
    void lose_tasks_on(std::size_t target, double known_after_s);
    void lose_owner(owner_row& owner);
    void cancel_wave();
    void take_slot(task_row& task);
    void free_slot(task_row& task);
    void measure_racks(std::size_t index);
    void measure_owner(std::size_t index, double seconds);
    void finish_figures();

    const scenario plan_;
    workload_source random_;
    double now_s_ = 0.0;
    std::uint64_t sequence_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<target_row> targets_;
    std::vector<owner_row> owners_;
    std::vector<std::vector<std::size_t>> owners_of_;  ///< By pool and centre.
    std::vector<std::vector<std::size_t>> targets_of_; ///< Likewise.
    std::vector<source_row> sources_;
    std::vector<bool> is_out_; ///< By data centre.
    std::deque<task_row> tasks_;
    std::vector<share_meter> meters_; ///< By pool and centre.
    std::vector<team_id> teams_;
    figures out_;
};

} // namespace cowslippass::bench
