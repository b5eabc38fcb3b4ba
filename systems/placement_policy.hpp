#pragma once

#include "core/core.hpp"

#include <cstdint>

namespace cowslippass
{

/// Order in which waiting work gets free slots.
enum class queue_order
{
    urgent_then_fair_share,
    first_come ///< Baseline: by arrival, without kinds and shares.
};

enum class target_choice
{
    spread, ///< Racks with least urgent work, then targets with least load.
    random  ///< Baseline.
};

/// Strategy and limits of a `placement_system`.
struct placement_policy
{
    queue_order order = queue_order::urgent_then_fair_share;
    target_choice choice = target_choice::spread;
    /// Largest part of the slots that slow work leaves free for urgent work.
    /// One eighth is one slot of each target.
    double headroom = 0.125;
    /// The headroom follows the urgent work that runs, up to `headroom`.
    bool is_headroom_adaptive = true;
    bool is_preemptive = true;
    /// Part of the slots that slow work which cannot be stopped may hold while
    /// other slow work waits and no team is owed. It outlives preemptions and
    /// would otherwise pile up and leave less for bursts of urgent work. At
    /// least one slot is theirs.
    double max_non_preemptible_fraction = 0.0625;
    /// Such work starts beyond `max_non_preemptible_fraction` when its team is
    /// behind its share by so long; a team that has no other work would wait
    /// without bound.
    milliseconds non_preemptible_lag_limit{20'000};
    /// Tasks of a team that may wait in this pool, for each of the three
    /// lanes. The memory of all waiting work is bounded by `waiting_budget`:
    /// 72 teams at this bound would hold 216,000 tasks of about 300 bytes.
    std::uint32_t max_waiting_per_class = 1'000;
    /// A victim stays throttled for so long before its checkpoint begins. A
    /// throttled task makes no progress in its slot, so a longer time costs
    /// more work than the resumed victims save.
    milliseconds checkpoint_delay{0};
    /// A victim is stopped without a checkpoint after so long; together with
    /// `checkpoint_delay` and a start this stays below the bound of 2.2 s.
    milliseconds checkpoint_timeout{1000};
    /// Slow work may be held back by urgent work for so long at the expense
    /// of its team's share. Bursts last some seconds and fit into it.
    milliseconds share_lag_limit{10'000};
    /// Urgent work that waited for so long goes first whatever its team's
    /// share, so that a burst of a large team stays within the start bound of
    /// 2.2 s while the others can bear it.
    milliseconds urgent_wait_limit{500};
    /// A slow task that is too large for the room on every target gets a
    /// target reserved after so long, as smaller tasks would keep it out for
    /// ever. One target of a pool is reserved at a time. Urgent tasks get no
    /// reservation: the slots that it idles in a burst make more of them late
    /// than it helps.
    milliseconds reservation_delay{20'000};
    bool is_reservation_enabled = true;
    /// Urgent tasks may use a reserved target for so long, which is a few
    /// bursts and the pauses between them. Without an end, a steady urgent
    /// load could keep a large task out for ever.
    milliseconds reservation_sharing_time{30'000};
    /// No task is placed on a target for so long after it refused a start,
    /// unless it reports in the meantime.
    milliseconds refusal_backoff{500};
    /// Tasks of a queue that are tried when the first does not fit, so that
    /// one large task does not hold up the small ones behind it.
    int lookahead_tasks = 8;
    /// Work that fits no target is refused at once. Without it, such work
    /// waits for ever (baseline).
    bool refuses_oversized_tasks = true;
    /// Seed of the random target choice.
    std::uint64_t seed = 1;
};

} // namespace cowslippass
