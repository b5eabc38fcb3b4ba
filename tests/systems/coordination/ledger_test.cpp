#include "systems/coordination/ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace cowslippass
{

namespace
{

/// Model of one part (partition) of the users' store. It applies a batch if the
/// head row has the expected version.
struct store_model
{
    std::uint64_t version = 1;
    std::optional<ledger_head> head;
    row_version head_version;
    std::map<std::string, std::string> rows;

    batch_result apply(const ledger_batch& batch)
    {
        batch_result out;
        if (batch.expected != head_version)
        {
            out.outcome = batch_result::kind::conflict;
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
        out.outcome = batch_result::kind::committed;
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
    batch_result answer = store.apply({store.head_version, head, {}});
    return ledger(head, answer.version);
}

batch_result make_unknown_result()
{
    return {};
}

} // namespace

// Guards against callbacks that run before their rows are durable, against rows
// that revert to an older value when a delayed copy of a batch applies, and
// against a ledger that counts as lost although nobody took it over. Replies
// are lost and copies of batches are delayed at random.
RC_GTEST_PROP(ledger, runs_callbacks_only_once_changes_are_durable, ())
{
    auto choices =
        *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 10'000));
    store_model store;
    ledger it = start_term(store, 1, "a");
    std::map<std::string, std::string> expected_rows;
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
            expected_rows[key] = value;
            it.when_durable([&store, key, n]
                { RC_ASSERT(std::stoi(store.rows[key]) >= n); });
            break;
        }
        case 3:
        case 4:
            it.handle_result(store.apply(it.make_batch()));
            break;
        case 5:
            // The batch applies, but the reply is lost.
            store.apply(it.make_batch());
            it.handle_result(make_unknown_result());
            break;
        case 6:
            // The batch gets no reply and does not apply yet; it may apply
            // later.
            delayed.push_back(it.make_batch());
            it.handle_result(make_unknown_result());
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
        it.handle_result(store.apply(it.make_batch()));
    for (const ledger_batch& batch : delayed)
        store.apply(batch);
    RC_ASSERT(store.rows == expected_rows);
}

// Guards against an answer on the strength of a transaction that the store may
// have applied before the call arrived, or of none at all.
TEST(ledger, confirms_the_term_only_with_a_later_batch)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    int confirmed = 0;
    // The store applies this batch, and the reply is lost.
    store.apply(it.make_batch());
    it.handle_result(make_unknown_result());
    it.when_confirmed([&] { ++confirmed; });
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_FALSE(it.is_in_flight());
    EXPECT_EQ(confirmed, 0);
    it.when_confirmed([&] { ++confirmed; });
    EXPECT_FALSE(it.has_changes());
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_EQ(confirmed, 2);
    it.when_confirmed([&] { ++confirmed; });
    start_term(store, 2, "b");
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_TRUE(it.is_lost());
    EXPECT_EQ(confirmed, 2);
}

// Guards against rows that are never written because the store rejects another
// row of their batch, and against a row that is set aside although the store
// would have accepted it.
RC_GTEST_PROP(ledger, writes_all_rows_but_those_that_the_store_rejects, ())
{
    auto keys =
        *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 200));
    auto poison =
        *rc::gen::container<std::set<int>>(3, rc::gen::inRange(0, 200));
    int outage = *rc::gen::inRange(0, 40);
    store_model store;
    ledger it = start_term(store, 1, "a");
    std::map<std::string, std::string> expected_rows;
    std::set<std::string> rejected;
    int callbacks = 0;
    int n = 0;
    auto send = [&]
    {
        const ledger_batch& batch = it.make_batch();
        // During the outage, the store rejects every batch.
        bool is_rejected =
            (--outage < 0 && outage > -20) ||
            std::ranges::any_of(batch.changes, [&](const ledger_change& change)
                { return poison.contains(std::stoi(change.key)); });
        if (is_rejected)
        {
            batch_result out;
            out.outcome = batch_result::kind::rejected;
            it.handle_result(out);
        }
        else
            it.handle_result(store.apply(batch));
        for (const ledger_change& change : it.take_rejected_changes())
        {
            RC_ASSERT(poison.contains(std::stoi(change.key)));
            rejected.insert(change.key);
        }
    };
    for (int key : keys)
    {
        std::string value = std::to_string(++n);
        it.put(ledger_table::progress, std::to_string(key), value);
        if (!poison.contains(key))
            expected_rows[std::to_string(key)] = value;
        it.when_durable([&] { ++callbacks; });
        if (key % 4 == 0)
            send();
    }
    for (int i = 0; i < 2'000 && (it.has_changes() || callbacks < n); ++i)
        send();
    RC_ASSERT(callbacks == n);
    RC_ASSERT(!it.is_lost());
    RC_ASSERT(store.rows == expected_rows);
    for (int key : poison)
        RC_ASSERT(rejected.contains(std::to_string(key)) ==
                  (std::ranges::find(keys, key) != keys.end()));
}

// Guards against a write by a former coordinator after another one has taken
// the ledger over.
TEST(ledger, is_lost_after_a_takeover_by_another_holder)
{
    store_model store;
    ledger first = start_term(store, 1, "a");
    ledger second = start_term(store, 2, "b");
    first.put(ledger_table::jobs, "j", "v");
    bool is_durable = false;
    first.when_durable([&] { is_durable = true; });
    first.handle_result(store.apply(first.make_batch()));
    EXPECT_TRUE(first.is_lost());
    EXPECT_FALSE(is_durable);
    EXPECT_TRUE(store.rows.empty());
    second.put(ledger_table::jobs, "j", "w");
    second.handle_result(store.apply(second.make_batch()));
    EXPECT_EQ(store.rows["j"], "w");
}

// Guards against a release that is never written, so that the successor waits
// in vain, and against one that is written before the last pending change.
TEST(ledger, releases_after_all_changes)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    for (std::size_t i = 0; i < ledger::max_batch_rows + 5; ++i)
        it.put(ledger_table::jobs, std::to_string(i), "v");
    it.release();
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_FALSE(store.head->is_released);
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_TRUE(store.head->is_released);
    EXPECT_TRUE(it.is_released());
    EXPECT_EQ(store.rows.size(), ledger::max_batch_rows + 5);
}

// Guards against a coordinator that acts under a term whose release its
// successor has read already. Replies are lost, copies of batches are delayed,
// refused and rejected at random.
RC_GTEST_PROP(ledger, knows_when_a_successor_can_have_read_the_release, ())
{
    auto choices =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1'000));
    store_model store;
    ledger it = start_term(store, 1, "a");
    std::deque<ledger_batch> delayed;
    bool is_requested = false;
    int n = 0;
    auto answer = [&](batch_result::kind outcome)
    {
        batch_result out;
        out.outcome = outcome;
        it.handle_result(out);
    };
    for (int choice : choices)
    {
        switch (choice % 9)
        {
        case 0:
            it.put(ledger_table::progress, "k", std::to_string(++n));
            break;
        case 1:
            it.release();
            is_requested = true;
            break;
        case 2:
            it.handle_result(store.apply(it.make_batch()));
            break;
        case 3:
            store.apply(it.make_batch());
            it.handle_result(make_unknown_result());
            break;
        case 4:
            delayed.push_back(it.make_batch());
            it.handle_result(make_unknown_result());
            break;
        case 5:
            it.make_batch();
            answer(batch_result::kind::refused);
            break;
        case 6:
            it.make_batch();
            answer(batch_result::kind::rejected);
            break;
        default:
            if (!delayed.empty())
            {
                store.apply(delayed.front());
                delayed.pop_front();
            }
            break;
        }
        // A successor that reads the head row now trusts the release.
        if (store.head->is_released)
            RC_ASSERT(it.may_be_released());
        if (!is_requested)
            RC_ASSERT(!it.may_be_released());
        if (it.is_released() || it.is_lost())
            break;
    }
}

// Guards against a term that stays without effect after the store has refused
// its release: the leases of all tasks would expire in an outage.
TEST(ledger, keeps_the_term_when_the_release_is_refused)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    it.release();
    EXPECT_FALSE(it.may_be_released());
    it.make_batch();
    EXPECT_TRUE(it.may_be_released());
    batch_result refusal;
    refusal.outcome = batch_result::kind::refused;
    it.handle_result(refusal);
    EXPECT_FALSE(it.may_be_released());
    it.make_batch();
    it.handle_result(make_unknown_result());
    it.make_batch();
    // The copy without a reply may still apply.
    it.handle_result(refusal);
    EXPECT_TRUE(it.may_be_released());
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_TRUE(it.is_released());
}

// Failure: an outage of the store. A submission that waits for it is taken
// back, so that its refusal is true.
TEST(ledger, never_writes_a_withdrawn_change)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    it.put("jobs", "first", "1");
    it.make_batch();
    it.put("jobs", "second", "2");
    it.put("jobs", "third", "3");
    bool is_durable = false;
    it.when_durable([&] { is_durable = true; });
    EXPECT_FALSE(it.withdraw("jobs", "first"));
    EXPECT_TRUE(it.withdraw("jobs", "third"));
    EXPECT_FALSE(it.withdraw("jobs", "third"));
    it.erase("jobs", "fourth");
    EXPECT_FALSE(it.withdraw("jobs", "fourth"));
    while (it.has_changes() || it.is_in_flight())
        it.handle_result(store.apply(it.make_batch()));
    EXPECT_TRUE(is_durable);
    EXPECT_EQ(store.rows.size(), 2U);
    EXPECT_FALSE(store.rows.contains("third"));
}

// Failure: a store that refuses every transaction. What it has certainly not
// applied can be taken back; what may have been applied cannot.
TEST(ledger, recalls_only_a_batch_that_cannot_apply)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    it.put("jobs", "first", "1");
    it.make_batch();
    batch_result refused;
    refused.outcome = batch_result::kind::refused;
    it.handle_result(refused);
    EXPECT_TRUE(it.recall_batch());
    EXPECT_TRUE(it.withdraw("jobs", "first"));
    it.put("jobs", "second", "2");
    ledger_batch late = it.make_batch();
    it.handle_result(make_unknown_result());
    EXPECT_FALSE(it.recall_batch());
    EXPECT_FALSE(it.withdraw("jobs", "second"));
    store.apply(late);
    it.handle_result(store.apply(it.make_batch()));
    EXPECT_FALSE(it.is_lost());
    EXPECT_FALSE(store.rows.contains("first"));
    EXPECT_TRUE(store.rows.contains("second"));
}

// Guards against a transaction that the store refuses because its rows exceed
// the limit in bytes.
TEST(ledger, splits_large_batches)
{
    store_model store;
    ledger it = start_term(store, 1, "a");
    for (int i = 0; i < 3; ++i)
        it.put(ledger_table::jobs, std::to_string(i),
            std::string(ledger::max_batch_bytes / 2 + 1, 'x'));
    EXPECT_EQ(it.make_batch().changes.size(), 1U);
}

// Guards against fields that are lost between two coordinators, and against a
// malformed head row that is read as a valid one.
TEST(ledger_head, round_trips_fields_and_rejects_malformed_rows)
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
