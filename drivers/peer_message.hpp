#pragma once

#include "core/core.hpp"
#include "systems/scheduling/target_protocol.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslippass
{

/// State of one pool at the entry that owns it.
struct pool_summary
{
    pool_id pool;
    std::uint32_t free_slots = 0;
    std::uint32_t waiting = 0; ///< Urgent tasks that wait for a slot.
    std::uint32_t targets = 0; ///< In service in the sender's data centre.

    bool operator==(const pool_summary&) const = default;
};

/// Task counts of one team at the sender: running there, granted to its
/// session, and waiting there.
struct team_summary
{
    team_id team;
    std::uint32_t running = 0;
    std::uint32_t granted = 0;
    std::uint32_t waiting = 0;

    bool operator==(const team_summary&) const = default;
};

/// First request on a connection, and the liveness check later.
struct peer_hello
{
    session_id session;
};

/// Status report of an entry to its peers; both the request and the reply.
struct peer_summary
{
    session_id session;
    config_version version;
    /// Time since the sender last knew that its version was the newest one;
    /// nothing when it has never known.
    std::optional<milliseconds> freshness_age;
    bool is_platform_reachable = false;
    /// The outcome of a change that the sender tried to commit is unknown.
    bool has_unresolved_change = false;
    bool is_leaving = false;  ///< A planned shutdown has begun.
    bool is_admitted = false; ///< The sender may append to the fleet log.
    /// Age of `instance_list_etag` and `leaving`; nothing when the sender has
    /// no instance list.
    std::optional<milliseconds> instance_list_age;
    /// Revision of the lists below; 0 for none.
    std::uint32_t revision = 0;
    /// Revision of the receiver's lists that the sender holds; 0 for none.
    std::uint32_t known_revision = 0;
    /// False when the lists are left out because the receiver already holds
    /// this revision.
    bool has_lists = true;

    std::vector<pool_summary> pools;
    std::vector<team_summary> teams;
    std::string instance_list_etag;   ///< ETag of the platform's instance list.
    std::vector<instance_id> leaving; ///< Instances listed there as leaving.
};

/// A caller's admitted request, forwarded to the owner of its pool.
struct peer_forward
{
    request_id request;
    team_id team;
    queue_id queue;
    std::string payload;
    milliseconds deadline{0}; ///< Time left until the response is due.
    byte_count declared_memory;
    std::string run_ms;     ///< Run time hint for the target; may be empty.
    config_version version; ///< Newest one that the sender knows.
    /// The caller states that it has not sent this request before.
    bool is_first_attempt = false;
};

/// The response to a caller's request; HTTP callers get the same members.
struct peer_forward_reply
{
    unsigned status = 500; ///< HTTP status.
    std::string code;
    std::string message;
    std::string run; ///< Whether the task ran: `no`, `yes` or `unknown`.
    std::string payload;
};

/// Asks the receiver to cancel the tasks of a job that it holds.
struct peer_cancel
{
    job_id job;
};

/// Asks for data that the receiver holds, such as the entries of the fleet log
/// since a version.
struct peer_query
{
    std::string text;
};

struct peer_query_reply
{
    std::string json; ///< Empty when the receiver has no such data.
};

enum class coordinator_operation
{
    probe, ///< Asks whether the receiver is the coordinator.
    submit,
    status,
    cancel,
    count ///< Counts the jobs of a queue of which no task has started.
};

/// A caller's operation, forwarded to the coordinator.
struct peer_coordinator_call
{
    coordinator_operation operation = coordinator_operation::probe;
    job_id job;
    queue_id queue;
    team_id team;
    std::string spec; ///< Encoded job specification, for `submit`.
    /// Processor share of the sender's instance, in thousandths of a core.
    std::uint32_t processor_share = 0;
    /// For `probe`: identity of the sender, which the coordinator may use as a
    /// relay. Empty if it takes no relayed requests.
    entry_id entry;
    std::string address; ///< IP:port at which peers reach the sender.
    data_centre_id data_centre;
    /// The sender is about to stop and takes no further relayed requests.
    bool is_leaving = false;
    /// How long the caller still waits for the reply; 0 if it is not known.
    milliseconds wait{0};
};

enum class coordinator_result
{
    done,
    unknown_job,
    refused, ///< Not accepted; this call will have no effect later either.
    not_coordinator,
    invalid,
    cancelled ///< Not accepted: its caller has cancelled it before it arrived.
};

struct peer_coordinator_reply
{
    coordinator_result result = coordinator_result::not_coordinator;
    std::uint8_t phase = 0;      ///< `job_phase` of the job.
    std::uint64_t count = 0;     ///< For `count`.
    milliseconds retry_after{0}; ///< Delay before the caller tries again.
    /// Age of the coordinator's last committed transaction, which renewed its
    /// term.
    milliseconds renewal_age{0};
    std::string boot; ///< Boot id of the process that replies.
    /// Largest processor share among the entries that called, in thousandths of
    /// a core.
    std::uint32_t top_processor_share = 0;
    /// With `not_coordinator`: the call had no effect in the replying process
    /// and will have none later.
    bool was_not_executed = false;
};

enum class target_operation
{
    probe, ///< Asks only for the receiver's clock and boot id.
    poll,
    start,
    stop
};

/// @return the operation's name in metrics.
const char* to_string(target_operation operation);

/// A request to a target, which the receiver sends for the coordinator. The
/// receiver is a relay: it decides nothing and keeps nothing.
struct peer_target_call
{
    target_operation operation = target_operation::probe;
    /// Boot id of the receiver that the sender expects; another process at the
    /// same address rejects the call. Empty in a probe.
    std::string relay_boot;
    target_id target;
    std::string address;
    fencing_token fence; ///< Of the coordinator's term.
    /// On the receiver's clock: from then on the request must not be sent.
    relay_time valid_until;
    milliseconds timeout{0}; ///< Of the request to the target.
    run_start_request start; ///< For `start`; of a `stop`, its task and run.
    poll_request poll;       ///< For `poll`.
};

/// The answer to a relayed request.
struct peer_target_reply
{
    request_outcome outcome = request_outcome::not_sent;
    std::string message; ///< Describes a failure, for logs.
    std::optional<target_time> clock;
    std::optional<target_status> status; ///< For `poll`.
    relay_time relay_clock;              ///< Read before the reply was sent.
    std::string relay_boot;
    bool is_leaving = false; ///< The sender takes no further calls.
    /// The sender did not handle the call, and sent nothing to the target.
    bool is_rejected = false;
};

using peer_body =
    std::variant<peer_hello, peer_summary, peer_forward, peer_forward_reply,
        peer_cancel, peer_query, peer_query_reply, peer_coordinator_call,
        peer_coordinator_reply, peer_target_call, peer_target_reply>;

/// A request or a reply.
struct peer_message
{
    std::uint64_t correlation = 0; ///< Id of the request.
    bool is_reply = false;
    peer_body body;
};

/// @return the message as a FlatBuffer, without the length of the frame.
std::string encode_peer_message(const peer_message& message);

/// @param buf a frame without its length.
/// @throws platform_error (`malformed_frame`) when the buffer fails
///   verification or its message is of an unknown type.
peer_message decode_peer_message(const std::string& buf);

} // namespace cowslippass
