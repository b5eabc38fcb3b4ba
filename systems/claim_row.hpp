#pragma once

#include "core/core.hpp"

#include <string>

namespace cowslippass
{

enum class claim_state
{
    /// A start may be sent, was sent, is running, or ended with a result that
    /// is in the object `get_result_name()`.
    claimed,
    done,   ///< The request ran; its result or its failure is known.
    not_run ///< Proved: the request never ran and never will.
};

/// Value of a row `claims/<team>/<request id>`.
struct claim_row
{
    claim_state state = claim_state::claimed;
    std::string digest; ///< SHA-256 of the payload.
    session_id session;
    instance_id target;
    task_id task;
    /// Deadline of the start on the target's clock. It is part of the row, so
    /// that another entry can prove that the start comes too late.
    target_time start_before;
    /// Boot id of the target that the deadline belongs to. After a restart of
    /// the target its answers prove nothing about this start.
    std::string boot;
    platform_time claimed_at;
    std::string result;  ///< Object name, for `done`.
    std::string failure; ///< Final task state, for `done` without a result.

    /// @return the object that holds the result of the claimed task. A task is
    ///   used for one attempt only, so that the object proves that it ran, and
    ///   the row need not be written again after a success.
    std::string get_result_name() const;

    std::string encode() const;
    /// @throws systems_error (`bad_claim_row`).
    static claim_row decode(const std::string& text);
    static std::string get_key(const team_id& team, const request_id& request);
};

} // namespace cowslippass
