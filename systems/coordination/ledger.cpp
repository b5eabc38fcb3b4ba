#include "systems/coordination/ledger.hpp"

#include <algorithm>

namespace cowslippass
{

ledger::ledger(ledger_head head, row_version version)
    : head_(std::move(head)), version_(version)
{
}

void ledger::put(const char* table, std::string key, std::string value)
{
    add(table, std::move(key), std::move(value));
}

void ledger::erase(const char* table, std::string key)
{
    add(table, std::move(key), std::nullopt);
}

void ledger::add(
    const char* table, std::string key, std::optional<std::string> value)
{
    // A row with a pending change keeps that change's number. Batches take the
    // changes by number, so all changes up to a number become durable in turn.
    row_key id{table, key};
    if (auto it = pending_numbers_.find(id); it != pending_numbers_.end())
    {
        pending_changes_[it->second].value = std::move(value);
        return;
    }
    pending_numbers_[id] = ++last_change_number_;
    pending_changes_[last_change_number_] = {
        table, std::move(key), std::move(value)};
}

bool ledger::recall_batch()
{
    if (in_flight_ && !may_have_applied_)
        return_batch();
    return !in_flight_;
}

bool ledger::withdraw(const char* table, const std::string& key)
{
    auto it = pending_numbers_.find({table, key});
    bool is_in_flight =
        in_flight_ && std::ranges::any_of(in_flight_->changes,
                          [&](const ledger_change& change) {
                              return change.table == table && change.key == key;
                          });
    if (it == pending_numbers_.end() || is_in_flight ||
        !pending_changes_.at(it->second).value)
        return false;
    pending_changes_.erase(it->second);
    pending_numbers_.erase(it);
    return true;
}

void ledger::when_durable(std::function<void()> done)
{
    if (last_durable_number_ >= last_change_number_ && !in_flight_)
    {
        done();
        return;
    }
    durability_callbacks_.push_back({last_change_number_, std::move(done)});
}

void ledger::when_confirmed(std::function<void()> done)
{
    // A copy of the batch in flight may have been applied before this call.
    std::uint64_t last = in_flight_ ? in_flight_->head.batch : head_.batch;
    confirmation_callbacks_.push_back({last + 1, std::move(done)});
}

void ledger::release()
{
    is_release_requested_ = true;
}

bool ledger::has_changes() const
{
    return !pending_changes_.empty() ||
           (is_release_requested_ && !is_released_);
}

const ledger_batch& ledger::make_batch()
{
    if (!in_flight_)
        take_pending_changes();
    may_be_released_ = may_be_released_ || in_flight_->head.is_released;
    return *in_flight_;
}

void ledger::take_pending_changes()
{
    ledger_batch batch{version_, head_, {}};
    ++batch.head.batch;
    std::size_t bytes = 0;
    last_in_flight_number_ = last_durable_number_;
    in_flight_numbers_.clear();
    while (!pending_changes_.empty() && batch.changes.size() < batch_limit_)
    {
        auto it = pending_changes_.begin();
        std::size_t size = it->second.value ? it->second.value->size() : 0;
        if (!batch.changes.empty() && bytes + size > max_batch_bytes)
            break;
        bytes += size;
        last_in_flight_number_ = it->first;
        in_flight_numbers_.push_back(it->first);
        pending_numbers_.erase({it->second.table, it->second.key});
        batch.changes.push_back(std::move(it->second));
        pending_changes_.erase(it);
    }
    if (pending_changes_.empty())
    {
        last_in_flight_number_ = last_change_number_;
        batch.head.is_released = is_release_requested_;
    }
    in_flight_ = std::move(batch);
    may_have_applied_ = false;
}

void ledger::commit(row_version version)
{
    version_ = version;
    head_ = in_flight_->head;
    is_released_ = head_.is_released;
    // An earlier release that has not applied expects an older version.
    may_be_released_ = is_released_;
    has_unanswered_release_ = false;
    last_durable_number_ = last_in_flight_number_;
    is_store_accepting_ = batch_limit_ == 0;
    batch_limit_ = std::clamp<std::size_t>(batch_limit_ * 2, 1, max_batch_rows);
    in_flight_.reset();
    while (!durability_callbacks_.empty() &&
           durability_callbacks_.front().required_change_number <=
               last_durable_number_)
    {
        auto done = std::move(durability_callbacks_.front().done);
        durability_callbacks_.pop_front();
        done();
    }
    while (!confirmation_callbacks_.empty() &&
           confirmation_callbacks_.front().required_batch <= head_.batch)
    {
        auto done = std::move(confirmation_callbacks_.front().done);
        confirmation_callbacks_.pop_front();
        done();
    }
}

void ledger::return_change(std::uint64_t number, ledger_change change)
{
    row_key id{change.table, change.key};
    if (auto newer = pending_numbers_.find(id); newer != pending_numbers_.end())
    {
        // The newer value of the row takes the earlier place, on which
        // callbacks wait.
        auto it = pending_changes_.find(newer->second);
        change = std::move(it->second);
        pending_changes_.erase(it);
    }
    pending_numbers_[id] = number;
    pending_changes_[number] = std::move(change);
}

void ledger::handle_rejection()
{
    // The store rejects every batch, so that no change is to blame.
    std::size_t n = in_flight_->changes.size();
    if (n == 0)
        return;
    if (n == 1 && is_store_accepting_)
    {
        rejected_changes_.push_back(std::move(in_flight_->changes.front()));
        in_flight_->changes.clear();
        batch_limit_ = max_batch_rows;
    }
    else
        batch_limit_ = n / 2;
    return_batch();
    is_store_accepting_ = false;
}

void ledger::return_batch()
{
    ledger_batch batch = std::move(*in_flight_);
    in_flight_.reset();
    // If a copy of this batch applies after all, the head row shows it.
    head_.batch = batch.head.batch;
    for (std::size_t i = 0; i < batch.changes.size(); ++i)
        return_change(in_flight_numbers_[i], std::move(batch.changes[i]));
}

void ledger::handle_result(const batch_result& result)
{
    using kind = batch_result::kind;
    if (!in_flight_ || is_lost_)
        return;
    switch (result.outcome)
    {
    case kind::committed:
        commit(result.version);
        return;
    case kind::refused:
        may_be_released_ = has_unanswered_release_;
        return;
    case kind::unknown:
        may_have_applied_ = true;
        has_unanswered_release_ =
            has_unanswered_release_ || in_flight_->head.is_released;
        return;
    case kind::rejected:
        may_be_released_ = has_unanswered_release_;
        handle_rejection();
        return;
    case kind::conflict:
        break;
    }
    // If the head row is the one of this batch, an earlier copy of the batch
    // has applied: no other process writes this holder's boot id.
    if (result.head && *result.head == in_flight_->head)
        commit(result.version);
    else
        is_lost_ = true;
}

} // namespace cowslippass
