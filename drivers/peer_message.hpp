#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslippass
{

struct pool_summary
{
    pool_id pool;
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0;
    std::uint32_t targets = 0; ///< In service in the sender's data centre.

    bool operator==(const pool_summary&) const = default;
};

struct team_summary
{
    team_id team;
    std::uint32_t running = 0;
    std::uint32_t granted = 0;
    std::uint32_t waiting = 0;

    bool operator==(const team_summary&) const = default;
};

struct peer_hello
{
    session_id session;
};

/// What an entry tells its peers about itself, as request and as reply.
struct peer_summary
{
    session_id session;
    config_version version;
    /// Age of the sender's freshness when it sent this; nothing when it has
    /// never had any.
    std::optional<milliseconds> freshness_age;
    bool is_platform_reachable = false;
    bool has_unresolved_change = false;
    bool is_leaving = false;  ///< A planned stop has begun.
    bool is_admitted = false; ///< May append changes to the fleet log.
    /// Age of `list_tag` and `leaving`; nothing without an instance list.
    std::optional<milliseconds> list_age;
    /// Numbers the contents of the lists below; 0 for none.
    std::uint32_t revision = 0;
    /// Revision of the receiver's lists that the sender holds; 0 for none.
    std::uint32_t known_revision = 0;
    /// False when the receiver holds this revision of the lists.
    bool has_lists = true;

    std::vector<pool_summary> pools;
    std::vector<team_summary> teams;
    std::string list_tag;             ///< ETag of the platform's instance list.
    std::vector<instance_id> leaving; ///< As that list names them.
};

/// A caller's admitted request on its way to the owner of its pool.
struct peer_forward
{
    request_id request;
    team_id team;
    queue_id queue;
    std::string payload;
    milliseconds deadline{0}; ///< Time left for the answer.
    byte_count declared_memory;
    std::string run_ms; ///< Hint for the target; may be empty.
    config_version version;
    /// The caller says that it has not sent this request before.
    bool is_first_attempt = false;
};

/// The answer to a caller's request, also between entries.
struct peer_forward_reply
{
    unsigned status = 500;
    std::string code;
    std::string message;
    std::string run; ///< `no`, `yes` or `unknown`.
    std::string payload;
};

struct peer_cancel
{
    job_id job;
};

struct peer_query
{
    std::string text;
};

struct peer_query_reply
{
    std::string json;
};

enum class coordinator_operation
{
    probe, ///< Whether the receiver is the coordinator.
    submit,
    status,
    cancel,
    count ///< Jobs of a queue of which no task has started.
};

/// A caller's operation on its way to the coordinator.
struct peer_coordinator_call
{
    coordinator_operation operation = coordinator_operation::probe;
    job_id job;
    queue_id queue;
    team_id team;
    std::string spec; ///< Encoded job, of a submission.
    /// Of the sender's instance, in thousandths of a core.
    std::uint32_t processor_share = 0;
};

enum class coordinator_result
{
    done,
    unknown_job,
    refused, ///< Not accepted, and never will be by this call.
    not_coordinator,
    invalid
};

struct peer_coordinator_reply
{
    coordinator_result result = coordinator_result::not_coordinator;
    std::uint8_t phase = 0; ///< `job_phase` of the job.
    std::uint64_t count = 0;
    milliseconds retry_after{0};
    /// Age of the coordinator's last durable transaction.
    milliseconds renewed_age{0};
    std::string boot; ///< Boot id of the process that answers.
    /// The largest share of an entry that asked, in thousandths of a core.
    std::uint32_t top_processor_share = 0;
};

using peer_body = std::variant<peer_hello, peer_summary, peer_forward,
    peer_forward_reply, peer_cancel, peer_query, peer_query_reply,
    peer_coordinator_call, peer_coordinator_reply>;

struct peer_message
{
    std::uint64_t correlation = 0;
    bool is_reply = false;
    peer_body body;
};

/// @return the message as a FlatBuffer, without the frame's length.
std::string encode_peer_message(const peer_message& message);

/// @throws platform_error (`malformed_frame`) when the buffer does not verify
///   or lacks a field.
peer_message decode_peer_message(const std::string& buf);

} // namespace cowslippass
