#pragma once

#include "core/core.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cowslippass
{

enum class retention_verdict
{
    keep,
    remove,
    /// The row may go if the object `proof` exists, as it ended then.
    remove_if_stored
};

struct retention_decision
{
    retention_verdict verdict = retention_verdict::keep;
    std::vector<std::string> objects; ///< To be deleted before the row.
    std::string proof;
};

/// A row that was found absent may since have been written, have ended and
/// have been removed. That takes a lifetime; half of it leaves more time than
/// the deadline of a start that is computed before the question is asked.
/// @return whether the row has not been written and removed since.
bool is_absence_valid(
    monotonic_time looked_at, monotonic_time now, milliseconds lifetime);

/// Decides which rows have outlived their use. A row goes only when it has
/// ended and its time, written by the platform's clock, is longer ago than its
/// lifetime; a row without a time stays.
class retention_rule
{
public:
    using session_check = std::function<bool(session_id)>;

    /// @param now by the platform's clock; 0 keeps everything.
    /// @param is_gone whether a session has ended so long ago that the leases
    ///   of its tasks have lapsed.
    retention_rule(
        milliseconds lifetime, platform_time now, session_check is_gone);

    // Each takes a row as read.
    // @throws systems_error when the row is malformed.

    retention_decision judge_claim(const row& it) const;
    retention_decision judge_ended_job(const row& it) const;
    retention_decision judge_command(const row& it) const;

private:
    bool is_old(platform_time time) const;

    milliseconds lifetime_;
    platform_time now_;
    session_check is_gone_;
};

} // namespace cowslippass
