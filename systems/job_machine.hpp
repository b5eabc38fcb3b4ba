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
    parked, ///< Given up, with a reason that operators see.
    cancelled
};

/// @return the state's name in rows and answers.
std::string get_name(job_state state);

/// The row of one slow job.
struct job_row
{
    job_id id;
    team_id team;
    queue_id queue;
    pool_id pool;
    request_id request;
    std::string payload_sha256; ///< Tells a repeat from another request.
    byte_count declared_memory;
    std::string run_ms; ///< Hint for the target; may be empty.
    job_state state = job_state::queued;
    /// The data centre that runs it, or is to run it.
    data_centre_id data_centre;
    session_id session; ///< That runs it; only while running.
    instance_id target; ///< Only while running.
    task_id task;       ///< Only while running.
    std::uint32_t attempts = 0;
    std::string reason; ///< Of the last failure, or for parking.
    std::int64_t accepted_unix_ms = 0; ///< For people and for the order.
};

/// Attempts after which a job that goes on failing is parked.
constexpr std::uint32_t max_job_attempts = 5;

/// @return an id from which the pool can be told.
job_id make_job_id(const pool_id& pool, const std::string& random);

/// @return the pool of a job id, or nothing when it is malformed.
std::optional<pool_id> find_pool_of_job(const job_id& job);

std::string get_job_key(const pool_id& pool, const job_id& job);
std::string get_ended_job_key(const pool_id& pool, const job_id& job);
/// @return the object's name; payloads that differ never share one.
std::string get_job_payload_name(const job_row& job);
std::string get_job_result_name(const job_id& job);

std::string encode_job(const job_row& job);

/// @throws systems_error (`bad_job_row`).
job_row decode_job(const std::string& text);

/// A change of one job: the row to write, and the transaction that writes it
/// only while the row is as it was read.
struct job_change
{
    job_row after;
    transaction request;
};

/// Accepts a job; its payload must have been stored before.
job_change accept_job(const job_row& job);

// Each of the following expects a live row as it was read, and throws
// systems_error (`wrong_job_state`) when the job's state does not allow the
// change, so that a job ends once and a recorded result is never replaced.

/// Starts an attempt on a target. Counts the attempt before it is sent.
job_change start_job(const job_row& job, row_version version,
    session_id session, const instance_id& target, const task_id& task);

/// The target proved that the attempt did not start: it does not count.
job_change unstart_job(const job_row& job, row_version version);

/// Another session goes on with a running task.
job_change adopt_job(
    const job_row& job, row_version version, session_id session);

/// The attempt ended without a result: queued again, or parked after
/// `max_job_attempts`.
/// @param counts_attempt false when the system itself stopped the attempt, as
///   for urgent work; such a job is never parked for it.
job_change fail_job(const job_row& job, row_version version,
    const std::string& reason, bool counts_attempt);

/// The result object has been stored.
job_change finish_job(const job_row& job, row_version version);

job_change park_job(
    const job_row& job, row_version version, const std::string& reason);

job_change cancel_job(const job_row& job, row_version version);

/// Hands a queued job to another data centre.
job_change move_job(const job_row& job, row_version version,
    const data_centre_id& data_centre);

} // namespace cowslippass
