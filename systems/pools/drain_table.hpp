#pragma once

#include "systems/scheduling/coordinator.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslippass
{

/// What happened to the drain of an instance.
enum class drain_event
{
    begun,
    finished,      ///< Its maintenance is ordered.
    postponed,     ///< It cannot be emptied now, and was not begun.
    given_up,      ///< Its tasks cannot be interrupted any more.
    no_longer_due, ///< The wave, its instance or its target has changed.
};

/// @return the name in logs.
const char* to_string(drain_event event);

/// An instance that gets no new work, so that it can be maintained once its
/// runs have ended.
struct instance_drain
{
    target_id target;
    std::uint64_t wave = 0; ///< For which it is drained.
    boot_time begun_at{};
    /// When it was last seen that some of its runs will end.
    boot_time advanced_at{};
};

/// A drain that began or ended.
struct drain_change
{
    instance_id instance;
    instance_drain drain;
    drain_event event{};
    std::size_t run_count = 0; ///< Runs at its target.
};

/// The instances that are drained for maintenance. A drain lasts until its
/// maintenance is ordered, until it is no longer due, or until it is given up.
class drain_table
{
public:
    using table = std::map<instance_id, instance_drain>;

    const table& get_drains() const { return drains_; }
    bool contains(const instance_id& id) const { return drains_.contains(id); }

    /// @return whether a drain of the instance was given up or postponed.
    bool was_put_off(const instance_id& id) const
    {
        return retry_at_.contains(id);
    }
    /// @return whether a drain may begin, or may be considered again.
    bool may_retry(const instance_id& id, boot_time now) const;
    /// Considers the instance again after a short time, as it has runs that
    /// cannot be made to end now.
    void postpone(const instance_id& id, const instance_drain& drain,
        const coordinator& decisions);

    void begin(const instance_id& id, const instance_drain& drain,
        const coordinator& decisions);
    /// Records whether some runs of the instance are about to end.
    void update_progress(
        const instance_id& id, const coordinator& decisions, boot_time now);
    /// @return whether none of its runs has been about to end for some time.
    bool is_blocked(const instance_id& id, boot_time now) const;
    /// Opens the instance, which is not drained again for some time.
    void give_up(
        const instance_id& id, const coordinator& decisions, boot_time now);
    /// Ends the drain of the instance, if there is one.
    void end(
        const instance_id& id, drain_event event, const coordinator& decisions);
    /// Ends the drains of which `is_due` returns false.
    template <class Predicate>
    void end_unless(Predicate is_due, const coordinator& decisions)
    {
        std::vector<instance_id> ended;
        for (const auto& [id, it] : drains_)
            if (!is_due(id, it))
                ended.push_back(id);
        for (const instance_id& id : ended)
            end(id, drain_event::no_longer_due, decisions);
    }

    /// @return the changes since the last call.
    std::vector<drain_change> take_changes();

private:
    void record_change(const instance_id& id, const instance_drain& drain,
        drain_event event, const coordinator& decisions);

    table drains_;
    /// When an instance may be drained whose drain was put off.
    std::map<instance_id, boot_time> retry_at_;
    std::vector<drain_change> changes_;
};

} // namespace cowslippass
