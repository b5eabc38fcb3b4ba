#include "systems/claim_machine.hpp"

#include <array>
#include <utility>

namespace cowslippass
{

namespace
{

std::string get_failure_name(task_state state)
{
    constexpr std::array names{
        "running", "done", "failed", "stopped", "lapsed", "unknown"};
    return names[static_cast<std::size_t>(state)];
}

target_time add(target_time time, milliseconds span)
{
    return target_time(time.get() + span.count());
}

} // namespace

claim_machine::claim_machine(team_id team, request_id request,
    std::string digest, session_id own, request_attempt attempt)
    : team_(std::move(team)), request_(std::move(request)), own_(own),
      attempt_(attempt)
{
    claim_.digest = std::move(digest);
    claim_.session = own;
}

claim_actions claim_machine::begin(const claim_start& start)
{
    claim_.target = start.target;
    claim_.task = start.task;
    claim_.start_before = start.start_before;
    phase_ = phase::claiming;
    return {write_claim{make_write(claim_)}};
}

claim_actions claim_machine::resolve(const row& row)
{
    claim_ = claim_row::decode(row.value);
    version_ = row.version;
    is_answered_ = true;
    if (claim_.state != claim_state::claimed)
        return finish_as(claim_);
    return watch();
}

claim_actions claim_machine::on_written(
    transaction_outcome outcome, std::optional<row_version> version)
{
    if (phase_ == phase::claiming)
        return on_claim_written(outcome, version);
    if (phase_ == phase::recording)
        return on_record_written(outcome);
    return {};
}

claim_actions claim_machine::on_claim_written(
    transaction_outcome outcome, std::optional<row_version> version)
{
    if (outcome == transaction_outcome::committed && version)
    {
        version_ = *version;
        return start();
    }
    if (outcome == transaction_outcome::unavailable)
        return give_up();
    is_row_seen_ |= outcome == transaction_outcome::conflict;
    return {read_claim{}};
}

claim_actions claim_machine::on_record_written(transaction_outcome outcome)
{
    if (outcome == transaction_outcome::committed)
        return finish_as(claim_);
    if (outcome != transaction_outcome::unavailable)
        return {read_claim{}};
    // The outcome is true without its record, which is tried again.
    claim_actions actions{write_claim{make_write(claim_)}};
    reply(actions,
        claim_.state == claim_state::done ? claim_answer::done
                                          : claim_answer::not_run,
        claim_);
    return actions;
}

claim_actions claim_machine::on_row(
    const row& row, const std::function<bool(session_id)>& is_live)
{
    if (phase_ == phase::claiming)
        return on_claim_row(row, is_live);
    if (phase_ == phase::recording)
        return on_record_row(row);
    return {};
}

claim_actions claim_machine::on_claim_row(
    const row& row, const std::function<bool(session_id)>& is_live)
{
    // The first write may still arrive; the same write again has the same
    // effect, and only one of them can commit.
    if (row.version == row_version(0))
        return {write_claim{make_write(claim_)}};
    is_row_seen_ = true;
    auto found = claim_row::decode(row.value);
    bool is_own = found.session == own_ && found.task == claim_.task;
    if (found.digest != claim_.digest)
    {
        claim_actions actions;
        reply(actions, claim_answer::other_payload);
        phase_ = phase::finished;
        return actions;
    }
    if (found.state != claim_state::claimed)
        return finish_as(found);
    version_ = row.version;
    if (is_own)
        return start();
    if (is_live(found.session))
        return give_up();
    claim_ = found;
    return watch();
}

claim_actions claim_machine::on_record_row(const row& row)
{
    if (row.version == version_)
        return {write_claim{make_write(claim_)}};
    // Another entry recorded the outcome, or the own record took effect.
    return finish_as(claim_);
}

claim_actions claim_machine::on_read_failed()
{
    if (phase_ == phase::claiming || phase_ == phase::recording)
        return {read_claim{}};
    return {};
}

claim_actions claim_machine::on_start_answer(start_answer answer)
{
    if (phase_ != phase::starting)
        return {};
    if (answer == start_answer::refused)
    {
        claim_.state = claim_state::not_run;
        return record(claim_);
    }
    has_run_ = answer != start_answer::none;
    return watch();
}

claim_actions claim_machine::on_task_state(task_state state, target_time clock)
{
    if (phase_ != phase::watching)
        return {};
    if (state == task_state::unknown)
        return judge_unknown_task(clock);
    has_run_ = true;
    if (state == task_state::running)
        return watch();
    if (state == task_state::done)
    {
        phase_ = phase::fetching;
        return {fetch_result{claim_.target, claim_.task}};
    }
    claim_.state = claim_state::done;
    claim_.failure = get_failure_name(state);
    return record(claim_);
}

claim_actions claim_machine::judge_unknown_task(target_time clock)
{
    auto earliest = add(claim_.start_before, -start_deadline);
    // A task that started just before its deadline may have ended at once;
    // after its retention the target has forgotten it.
    auto forgotten = add(earliest, ended_task_retention);
    bool is_restarted = clock < earliest;
    if (has_run_ || is_restarted || clock >= forgotten)
        return give_up();
    if (clock <= claim_.start_before)
        return watch();
    claim_.state = claim_state::not_run;
    return record(claim_);
}

claim_actions claim_machine::on_target_silent()
{
    if (phase_ == phase::watching)
        return watch();
    if (phase_ == phase::fetching)
        return {fetch_result{claim_.target, claim_.task}};
    return {};
}

claim_actions claim_machine::on_result(const std::string& object)
{
    if (phase_ != phase::fetching)
        return {};
    claim_.state = claim_state::done;
    claim_.result = object;
    return record(claim_);
}

claim_actions claim_machine::on_result_lost()
{
    if (phase_ != phase::fetching)
        return {};
    claim_.state = claim_state::done;
    claim_.failure = "result_lost";
    return record(claim_);
}

claim_actions claim_machine::on_patience_end()
{
    if (phase_ == phase::finished)
        return {};
    // Without a start sent, the claim is left and nothing is sent later.
    if (phase_ == phase::idle || phase_ == phase::claiming)
        return give_up();
    claim_actions actions;
    if (phase_ == phase::recording)
        reply(actions,
            claim_.state == claim_state::done ? claim_answer::done
                                              : claim_answer::not_run,
            claim_);
    else
        reply(actions, claim_answer::unknown);
    return actions;
}

transaction claim_machine::make_write(const claim_row& value) const
{
    auto key = claim_row::get_key(team_, request_);
    return {{{key, version_}}, {{key, value.encode()}}};
}

claim_actions claim_machine::start()
{
    phase_ = phase::starting;
    return {send_start{{claim_.target, claim_.task, claim_.start_before}}};
}

claim_actions claim_machine::watch()
{
    phase_ = phase::watching;
    return {ask_target{claim_.target, claim_.task}};
}

claim_actions claim_machine::record(const claim_row& outcome)
{
    phase_ = phase::recording;
    return {write_claim{make_write(outcome)}};
}

claim_actions claim_machine::finish_as(const claim_row& outcome)
{
    claim_actions actions;
    reply(actions,
        outcome.state == claim_state::done ? claim_answer::done
                                           : claim_answer::not_run,
        outcome);
    phase_ = phase::finished;
    return actions;
}

claim_actions claim_machine::give_up()
{
    claim_actions actions;
    reply(actions, get_answer_without_claim());
    phase_ = phase::finished;
    return actions;
}

// Before a start was sent, this attempt never runs; an earlier attempt may
// have, unless there was none.
claim_answer claim_machine::get_answer_without_claim() const
{
    bool is_unsent = phase_ == phase::idle || phase_ == phase::claiming;
    bool is_alone = attempt_ == request_attempt::first && !is_row_seen_;
    return is_unsent && is_alone ? claim_answer::not_run
                                 : claim_answer::unknown;
}

void claim_machine::reply(
    claim_actions& actions, claim_answer answer, const claim_row& outcome)
{
    if (std::exchange(is_answered_, true))
        return;
    actions.emplace_back(
        answer_caller{answer, outcome.result, outcome.failure});
}

} // namespace cowslippass
