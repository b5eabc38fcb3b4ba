#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cowslippass
{

enum class job_state
{
    queued,
    running,
    done,
    parked, ///< Will not be tried again; the reason is in the row.
    cancelled
};

/// @return the state's name in rows and answers.
std::string get_name(job_state state);

/// @return an id from which the pool can be told.
job_id make_job_id(const pool_id& pool, const std::string& suffix);

/// @return the pool of a job id, or nothing when it is malformed.
std::optional<pool_id> find_pool_of_job(const job_id& job);

/// What the caller asked for; never changes.
struct job_order
{
    job_id id;
    pool_id pool;
    queue_id queue;
    team_id team;
    std::string payload; ///< Object name.
    std::string digest;  ///< SHA-256 of the payload.
    byte_count memory{0};
    milliseconds run_time{0}; ///< As declared; 0 when not declared.
};

/// Value of a row `jobs/<pool>/<job id>`, or `ended/<pool>/<job id>` once the
/// state is final.
struct job_row
{
    job_order order;
    job_state state = job_state::queued;
    /// That runs it or is to run it.
    data_centre_id data_centre;
    std::uint32_t attempts = 0; ///< Starts that may have run.
    /// Least wait before the next start, from when an entry first saw the
    /// row in this state; entries share no clock.
    milliseconds delay{0};
    // Of the newest attempt.
    session_id session;
    instance_id target;
    task_id task;
    target_time start_before; ///< On the target's clock.
    std::string result;       ///< Object name, when done.
    std::string reason;       ///< Of the newest failure, or of parking.
    platform_time ended_at;   ///< Of a final state.

    bool is_final() const;

    /// @return the name of the object for the result of the newest attempt;
    ///   never used by another attempt or job.
    std::string get_result_name() const;

    std::string encode() const;
    /// @throws systems_error (`bad_job_row`).
    static job_row decode(const std::string& text);

    std::string get_live_key() const;
    std::string get_ended_key() const;
};

} // namespace cowslippass
