#include "systems/coordination/ledger.hpp"

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
    // A row that still waits keeps its place, so that all that was put before
    // an order is durable once that order is.
    row_key id{table, key};
    if (auto it = order_.find(id); it != order_.end())
    {
        waiting_[it->second].value = std::move(value);
        return;
    }
    order_[id] = ++last_order_;
    waiting_[last_order_] = {table, std::move(key), std::move(value)};
}

void ledger::when_durable(std::function<void()> done)
{
    if (durable_order_ >= last_order_ && !in_flight_)
    {
        done();
        return;
    }
    waiters_.push_back({last_order_, std::move(done)});
}

void ledger::release()
{
    releases_ = true;
}

bool ledger::has_changes() const
{
    return !waiting_.empty() || (releases_ && !is_released_);
}

const ledger_batch& ledger::make_batch()
{
    if (in_flight_)
        return *in_flight_;
    ledger_batch batch{version_, head_, {}};
    ++batch.head.batch;
    std::size_t bytes = 0;
    in_flight_order_ = durable_order_;
    while (!waiting_.empty() && batch.changes.size() < max_batch_rows)
    {
        auto it = waiting_.begin();
        std::size_t size = it->second.value ? it->second.value->size() : 0;
        if (!batch.changes.empty() && bytes + size > max_batch_bytes)
            break;
        bytes += size;
        in_flight_order_ = it->first;
        order_.erase({it->second.table, it->second.key});
        batch.changes.push_back(std::move(it->second));
        waiting_.erase(it);
    }
    if (waiting_.empty())
    {
        in_flight_order_ = last_order_;
        batch.head.is_released = releases_;
    }
    in_flight_ = std::move(batch);
    return *in_flight_;
}

void ledger::commit(row_version version)
{
    version_ = version;
    head_ = in_flight_->head;
    is_released_ = head_.is_released;
    durable_order_ = in_flight_order_;
    in_flight_.reset();
    while (!waiters_.empty() && waiters_.front().change_count <= durable_order_)
    {
        auto done = std::move(waiters_.front().done);
        waiters_.pop_front();
        done();
    }
}

void ledger::note_answer(const batch_answer& answer)
{
    using kind = batch_answer::kind;
    if (!in_flight_ || is_lost_)
        return;
    switch (answer.outcome)
    {
    case kind::committed:
        commit(answer.version);
        return;
    case kind::refused:
    case kind::unknown:
        return;
    case kind::conflict:
        break;
    }
    // An earlier copy of this batch has applied when the row is as the batch
    // wrote it; nobody else writes this holder's name.
    if (answer.head && *answer.head == in_flight_->head)
        commit(answer.version);
    else
        is_lost_ = true;
}

} // namespace cowslippass
