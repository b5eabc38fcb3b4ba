#pragma once

#include "core/core.hpp"
#include "systems/claim_row.hpp"
#include "systems/timing.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslippass
{

/// Where and until when a request may start.
struct claim_start
{
    instance_id target;
    task_id task; ///< Used for one attempt only.
    target_time start_before;
};

/// Whether the caller may have sent the same request before.
enum class request_attempt
{
    first,
    /// An earlier attempt may have run, so that without a look at the table
    /// nothing is known.
    maybe_repeated
};

enum class claim_answer
{
    done,
    not_run,      ///< True of the request id, whatever comes late.
    unknown,      ///< Not decided, or not decided yet.
    other_payload ///< The id was used with another payload.
};

// Actions that the caller of a claim machine carries out. Each transaction
// and each start is sent at most once for each action.

struct write_claim
{
    transaction request;
};

/// The answer goes to `on_row` or `on_read_failed`.
struct read_claim
{
};

struct send_start
{
    claim_start start;
};

/// Asks for the state of a task. After an answer the caller waits for the end
/// of the task or a pause of its choice.
struct ask_target
{
    instance_id target;
    task_id task;
};

/// Copies the result of the task to an object.
struct fetch_result
{
    instance_id target;
    task_id task;
};

struct answer_caller
{
    claim_answer answer;
    std::string result;  ///< Object name, for `done`.
    std::string failure; ///< Final task state, for `done` without a result.
};

using claim_action = std::variant<write_claim, read_claim, send_start,
    ask_target, fetch_result, answer_caller>;
using claim_actions = std::vector<claim_action>;

enum class start_answer
{
    started,
    known,   ///< The target already has the task.
    refused, ///< Not started, and this start never will be.
    none     ///< No answer: the start may have happened or may come late.
};

enum class task_state
{
    running,
    done,
    failed,
    stopped,
    lapsed,
    unknown ///< The target does not have the task.
};

/// One claim of a non-idempotent request: it runs at most once (I8), and "not
/// run" is said only when it is proved (I7).
///
/// A target that restarts with a new clock and without its tasks is seen only
/// while its clock is below that of the claim; the target protocol would need
/// a boot id to tell always.
class claim_machine
{
public:
    claim_machine(team_id team, request_id request, std::string digest,
        session_id own, request_attempt attempt);

    /// Claims the request for a start on a target.
    /// @param start its deadline was computed from an answer of the target,
    ///   at most `start_deadline` ahead, after a check of freshness.
    claim_actions begin(const claim_start& start);

    /// Takes over the claim of a session that ended, without a caller.
    /// @param row as read, in state `claimed`.
    claim_actions resolve(const row& row);

    /// @param version row version, when committed.
    claim_actions on_written(
        transaction_outcome outcome, std::optional<row_version> version);

    /// @param is_live whether a session is live in the fleet state.
    claim_actions on_row(
        const row& row, const std::function<bool(session_id)>& is_live);
    claim_actions on_read_failed();
    claim_actions on_start_answer(start_answer answer);

    /// @param clock the target's clock in the same answer.
    claim_actions on_task_state(task_state state, target_time clock);
    claim_actions on_target_silent();

    /// @param object name of the stored result.
    claim_actions on_result(const std::string& object);
    /// The target no longer has the result.
    claim_actions on_result_lost();

    /// The caller's time is up, or the caller left. The claim goes on.
    claim_actions on_patience_end();

    /// @return whether nothing is left to do.
    bool is_finished() const { return phase_ == phase::finished; }

private:
    enum class phase
    {
        idle,
        claiming,  ///< No start was sent.
        starting,  ///< The start was sent.
        watching,  ///< The target is asked.
        fetching,  ///< The result is copied.
        recording, ///< The outcome is known and being written.
        finished
    };

    transaction make_write(const claim_row& value) const;
    claim_actions on_claim_written(
        transaction_outcome outcome, std::optional<row_version> version);
    claim_actions on_record_written(transaction_outcome outcome);
    claim_actions on_claim_row(
        const row& row, const std::function<bool(session_id)>& is_live);
    claim_actions on_record_row(const row& row);
    claim_actions start();
    claim_actions watch();
    claim_actions judge_unknown_task(target_time clock);
    claim_actions record(const claim_row& outcome);
    claim_actions finish_as(const claim_row& outcome);
    claim_actions give_up();
    claim_answer get_answer_without_claim() const;
    void reply(claim_actions& actions, claim_answer answer,
        const claim_row& outcome = {});

    team_id team_;
    request_id request_;
    session_id own_;
    request_attempt attempt_;
    phase phase_ = phase::idle;
    claim_row claim_;
    row_version version_;
    bool has_run_ = false;     ///< The target has had the task.
    bool is_row_seen_ = false; ///< Another claim may be in the row.
    bool is_answered_ = false;
};

} // namespace cowslippass
