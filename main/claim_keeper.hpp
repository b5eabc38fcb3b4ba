#pragma once

#include "main/node_context.hpp"
#include "main/pool_runner.hpp"
#include "systems/claim_machine.hpp"

#include <map>
#include <memory>
#include <set>

namespace cowslippass
{

/// Runs non-idempotent requests at most once: claims each in the platform's
/// table before its start, stores its result, records any other outcome in the
/// row, and finds out what became of claims whose session has ended.
class claim_keeper
{
public:
    explicit claim_keeper(node_context& node);

    /// Runs a request on a pool of this entry, or answers with the outcome of
    /// an earlier one with the same id.
    asio::awaitable<work_result> run(
        std::shared_ptr<pool_runner> runner, work_item item);

    asio::awaitable<work_result> find_outcome(
        team_id team, queue_id queue, request_id id);

private:
    /// One request that this entry has claimed or is about to claim.
    struct held_claim
    {
        std::string key;
        std::string digest;
        row_version version;     ///< Of the row as last read or written.
        monotonic_time read_at;  ///< Before `version` was asked for.
        claim_row row;           ///< As last written.
        bool is_written = false; ///< A write was sent and may be in effect.
        bool is_claimed = false; ///< The row was written by this attempt.
    };
    using held_ptr = std::shared_ptr<held_claim>;

    asio::awaitable<std::optional<work_result>> wait_for_turn(
        const work_item& item, held_ptr held);
    asio::awaitable<work_result> answer_done(claim_row row);
    /// @return the stored result, or nothing when there is none or it cannot
    ///   be read now.
    asio::awaitable<std::optional<work_result>> find_result(std::string object);
    asio::awaitable<std::optional<work_result>> write_claim_row(
        held_ptr held, start_place place);
    asio::awaitable<void> record(held_ptr held, work_result result);
    asio::awaitable<bool> try_record(held_ptr held, work_result result);
    enum class write_outcome
    {
        written,
        not_sent,
        lost ///< Somebody else's row is there, or none can be read.
    };
    asio::awaitable<write_outcome> replace_row(held_ptr held, claim_row after);

    /// Decides a claim that nobody follows, as far as its target tells.
    asio::awaitable<void> resolve(team_id team, request_id id, row found);
    asio::awaitable<claim_actions> carry_out(claim_machine& machine,
        claim_action action, const claim_row& claim, team_id team,
        request_id id);
    asio::awaitable<claim_actions> ask(claim_machine& machine,
        const ask_target& question, const claim_row& claim);
    asio::awaitable<claim_actions> copy_result(claim_machine& machine,
        const cowslippass::fetch_result& what, const claim_row& claim,
        request_id id);
    std::shared_ptr<target_client> get_client(const instance_id& target);
    bool is_followed(const std::string& key, const claim_row& row) const;

    node_context& node_;
    std::set<std::string> active_; ///< Keys that a task here follows.
    std::map<instance_id, std::shared_ptr<target_client>> clients_;
};

} // namespace cowslippass
