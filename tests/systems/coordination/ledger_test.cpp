#include "systems/coordination/ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace cowslippass
{

namespace
{

/// One part of the users' store: applies a batch if its condition holds.
struct store_model
{
    std::uint64_t version = 1;
    std::optional<ledger_head> head;
    row_version head_version;
    std::map<std::string, std::string> rows;

    batch_answer apply(const ledger_batch& batch)
    {
        batch_answer out;
        if (batch.expected != head_version)
        {
            out.outcome = batch_answer::kind::conflict;
            out.version = head_version;
            out.head = head;
            return out;
        }
        head_version = row_version(++version);
        head = batch.head;
        for (const ledger_change& it : batch.changes)
            if (it.value)
                rows[it.key] = *it.value;
            else
                rows.erase(it.key);
        out.outcome = batch_answer::kind::committed;
        out.version = head_version;
        return out;
    }
};

ledger_head make_head(std::uint64_t term, const std::string& holder)
{
    ledger_head out;
    out.term = fencing_token(term);
    out.holder = holder;
    return out;
}

ledger start_term(
    store_model& store, std::uint64_t term, const std::string& holder)
{
    ledger_head head = make_head(term, holder);
    batch_answer answer = store.apply({store.head_version, head, {}});
    return ledger(head, answer.version);
}

batch_answer lost()
{
    return {};
}

} // namespace

// Guards against rows that are told to be durable and are not, rows that go
// back to an older value when a delayed copy applies, and a coordinator that
// goes on after another took the ledger: answers are lost, copies are delayed.
RC_GTEST_PROP(ledger, is_durable_when_it_says_so, ())
{
    auto choices =
        *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 10'000));
    store_model store;
    ledger it = start_term(store, 1, "a");
    std::map<std::string, std::string> wanted;
    std::deque<ledger_batch> delayed;
    int n = 0;
    for (int choice : choices)
    {
        ++n;
        switch (choice % 8)
        {
        case 0:
        case 1:
        case 2:
        {
            std::string key = "k" + std::to_string(choice / 8 % 5);
            std::string value = std::to_string(n);
            it.put(ledger_table::progress, key, value);
            wanted[key] = value;
            it.when_durable([&store, key, n]
                { RC_ASSERT(std::stoi(store.rows[key]) >= n); });
            break;
        }
        case 3:
        case 4:
            it.note_answer(store.apply(it.make_batch()));
            break;
        case 5:
            // Applied, but the answer is lost.
            store.apply(it.make_batch());
            it.note_answer(lost());
            break;
        case 6:
            // Neither applied nor answered; it may apply later.
            delayed.push_back(it.make_batch());
            it.note_answer(lost());
            break;
        default:
            if (!delayed.empty())
            {
                store.apply(delayed.front());
                delayed.pop_front();
            }
            break;
        }
        RC_ASSERT(!it.is_lost());
    }
    while (it.has_changes() || it.is_in_flight())
        it.note_answer(store.apply(it.make_batch()));
    for (const ledger_batch& batch : delayed)
        store.apply(batch);
    RC_ASSERT(store.rows == wanted);
}

// Guards against a replaced coordinator that still writes.
TEST(ledger, is_lost_when_another_holder_took_it)
{
    store_model store;
    ledger first = start_term(store, 1, "a");
    ledger second = start_term(store, 2, "b");
    first.put(ledger_table::jobs, "j", "v");
    bool is_durable = false;
    first.when_durable([&] { is_durable = true; });
    first.note_answer(store.apply(first.make_batch()));
    EXPECT_TRUE(first.is_lost());
    EXPECT_FALSE(is_durable);
    EXPECT_TRUE(store.rows.empty());
    second.put(ledger_table::jobs, "j", "w");
    second.note_answer(store.apply(second.make_batch()));
    EXPECT_EQ(store.rows["j"], "w");
}

// Guards against a successor that waits although the coordinator has left, and
// against a release that overtakes changes.
TEST(ledger, releases_after_all_changes)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    for (std::size_t i = 0; i < ledger::max_batch_rows + 5; ++i)
        it.put(ledger_table::jobs, std::to_string(i), "v");
    it.release();
    it.note_answer(store.apply(it.make_batch()));
    EXPECT_FALSE(store.head->is_released);
    it.note_answer(store.apply(it.make_batch()));
    EXPECT_TRUE(store.head->is_released);
    EXPECT_TRUE(it.is_released());
    EXPECT_EQ(store.rows.size(), ledger::max_batch_rows + 5);
}

// Guards against a transaction beyond the store's limits.
TEST(ledger, splits_large_batches)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    for (int i = 0; i < 3; ++i)
        it.put(ledger_table::jobs, std::to_string(i),
            std::string(ledger::max_batch_bytes / 2 + 1, 'x'));
    EXPECT_EQ(it.make_batch().changes.size(), 1U);
}

TEST(ledger_head, keeps_its_fields_and_refuses_other_rows)
{
    ledger_head it = make_head(7, "boot");
    it.entry = "e";
    it.address = "10.0.0.1:7000";
    it.batch = 9;
    it.is_released = true;
    EXPECT_EQ(decode_ledger_head(encode_ledger_head(it)), it);
    EXPECT_THROW(decode_ledger_head("{}"), systems_error);
    EXPECT_THROW(decode_ledger_head("x"), systems_error);
}

} // namespace cowslippass
