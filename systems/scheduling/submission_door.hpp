#pragma once

#include "systems/scheduling/room_forecast.hpp"

#include <optional>

namespace cowslippass
{

/// What is known of a submission and of the work ahead of it.
struct submission_prospect
{
    double core_ms_ahead = 0; ///< Waiting work that goes first.
    double core_ms = 0;       ///< Work of the submission.
    /// How long after its submission the job counts as in time.
    milliseconds time_allowed{0};
    /// Spreads the callers that are refused together; the same for repeated
    /// submissions of a job.
    std::uint64_t lot = 0;
};

/// Decides whether a submission is refused because it would end so late that
/// its caller has no use for it any more.
/// @param room since when and how much capacity its pool has.
/// @return nothing if it is accepted, else the time after which a submission
///   can be in time, as far as that is known now.
std::optional<milliseconds> decide_refusal(
    const room_forecast& room, const submission_prospect& prospect);

} // namespace cowslippass
