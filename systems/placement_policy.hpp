#pragma once

#include "core/core.hpp"

#include <cstdint>

namespace cowslippass
{

/// Order in which waiting tasks get free slots.
enum class queue_order
{
    urgent_then_fair_share, ///< Urgent tasks first, then by fair shares.
    first_come ///< Baseline: by arrival, ignoring kinds and shares.
};

/// How a target is chosen for a task.
enum class target_choice
{
    spread, ///< Racks with least urgent work, then targets with least load.
    random  ///< Baseline: any target that can run the task.
};

/// Strategy and limits of a `placement_system`.
struct placement_policy
{
    queue_order order = queue_order::urgent_then_fair_share;
    target_choice choice = target_choice::spread;
    /// Largest fraction of the slots that slow tasks leave free for urgent
    /// tasks. With 8 slots per target, one eighth is one slot of each target.
    double headroom = 0.125;
    /// The headroom follows the number of running urgent tasks, up to
    /// `headroom`.
    bool is_headroom_adaptive = true;
    bool is_preemptive = true;
    /// Largest fraction of the slots for slow tasks that are not idempotent
    /// and therefore cannot be preempted, while preemptible slow tasks wait.
    /// Because preemption never removes them, they would otherwise accumulate
    /// and leave fewer slots for bursts of urgent tasks. They may always use
    /// at least one slot.
    double max_non_preemptible_fraction = 0.0625;
    /// Non-preemptible tasks exceed `max_non_preemptible_fraction` when their
    /// team is behind its share by more than this time. A team that has only
    /// such tasks could otherwise wait without bound.
    milliseconds non_preemptible_lag_limit{20'000};
    /// Maximum number of waiting tasks of a team in this pool, for each task
    /// class (urgent, slow, non-preemptible). `waiting_budget` limits the
    /// memory of all waiting tasks; without it, 72 teams at this limit would
    /// hold 216,000 tasks of about 300 bytes.
    std::uint32_t max_waiting_per_class = 1'000;
    /// Time from the throttling of a victim to the start of its checkpoint. A
    /// throttled task makes no progress in its slot; a longer delay costs more
    /// work than resumed victims save.
    milliseconds checkpoint_delay{0};
    /// A victim is stopped without a checkpoint after this time. Together with
    /// `checkpoint_delay` and the time of a start it must stay below the start
    /// bound of urgent tasks, 2.2 s.
    milliseconds checkpoint_timeout{1000};
    /// How far a team may fall behind its share because urgent tasks of other
    /// teams hold back its slow tasks. A burst lasts a few seconds, which is
    /// within this limit.
    milliseconds share_lag_limit{10'000};
    /// Urgent tasks that have waited for longer go first, whatever the share
    /// of their team, so that a burst of a large team stays within the start
    /// bound of 2.2 s unless another team is behind its share by more than
    /// `share_lag_limit`.
    milliseconds urgent_wait_limit{500};
    /// A slow task that does not fit into the free memory of any target gets a
    /// target reserved after this time, because smaller tasks could otherwise
    /// take the memory for ever. One target of a pool is reserved at a time.
    /// Urgent tasks get no reservation: the slots that it would leave idle
    /// in a burst delay more urgent tasks than it helps.
    milliseconds reservation_delay{20'000};
    bool is_reservation_enabled = true;
    /// Urgent tasks may use a reserved target for this long, which covers a
    /// few bursts and the pauses between them. Without this limit, a steady
    /// urgent load could delay the large task for ever.
    milliseconds reservation_sharing_time{30'000};
    /// A target that refused a start gets no task for this long, unless it
    /// sends a status report earlier.
    milliseconds refusal_backoff{500};
    /// How many tasks of a queue are tried when the first does not fit, so
    /// that a large task does not block the small ones behind it.
    int lookahead_tasks = 8;
    /// Refuse tasks that fit no target of the pool at once. If false
    /// (baseline), such tasks wait for ever.
    bool refuses_oversized_tasks = true;
    /// Seed of the random target choice.
    std::uint64_t seed = 1;
};

} // namespace cowslippass
