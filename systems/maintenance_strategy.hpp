#pragma once

#include "systems/fleet_state.hpp"

#include <chrono>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslippass
{

/// What the holder of the maintenance lease observed of an instance. It is
/// not kept between runs: a new holder observes again.
enum class instance_report
{
    unknown, ///< No recent answer.
    busy,    ///< Answers, and runs tasks.
    /// Runs no task, and none can start any more: asked later than the
    /// freshness limit and the start deadline after the holder saw the
    /// current state committed.
    idle,
    /// Of a rebooting instance: it rebooted since the state was committed. Of
    /// a failed one: it answers again. Accepts work in both cases.
    ready,
    /// Of a failed instance: it has not answered for longer than a restart and
    /// a task lease take, so that it runs nothing that anyone waits for.
    lost
};

/// An instance that is not listed is `unknown`.
using instance_reports = std::unordered_map<instance_id, instance_report>;

struct maintenance_input
{
    const fleet_state& state;
    const instance_reports& reports;
    /// Wall clock, as passes are counted over weeks and by several holders.
    /// Differences between clocks only shift the start of a pass.
    std::chrono::sys_seconds now;
    bool is_fresh = false; ///< `state` is known to be the newest.
};

enum class maintenance_step
{
    drain,
    reboot,
    restore, ///< Back in service, in the same pool.
    exchange ///< A drained spare instance takes the place of a lost one.
};

/// One step of one instance; an exchange also moves the lost one.
struct maintenance_decision
{
    instance_id instance;
    pool_id pool; ///< Before the step.
    maintenance_step step = maintenance_step::drain;
    std::string_view rule; ///< The rule that decided; static text.
    /// To be appended together, conditioned on the version that the decision
    /// was made for.
    std::vector<fleet_record> records;
};

/// Decides steps of maintenance. Has no memory: equal inputs give equal
/// decisions, so that any holder of the lease continues the work of another.
class maintenance_strategy
{
public:
    virtual ~maintenance_strategy() = default;

    /// @return steps that may all be appended as one version after the
    ///   version of `input.state`; empty when the state is not fresh.
    virtual std::vector<maintenance_decision> plan(
        const maintenance_input& input) const = 0;
};

/// Each instance is maintained once in this period.
constexpr std::chrono::weeks maintenance_period{8};

/// @return the number of the pass that `now` belongs to. An instance is due
///   while its `maintained_pass` is lower.
std::uint32_t get_maintenance_pass(std::chrono::sys_seconds now);

} // namespace cowslippass
