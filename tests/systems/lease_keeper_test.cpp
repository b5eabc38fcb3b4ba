#include "systems/lease_keeper.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

using std::chrono::seconds;

constexpr milliseconds lease_time{10'000};
const std::string work_key = "work";

/// The platform's table; versions are never reused.
class table_model
{
public:
    row read(const std::string& key) const
    {
        auto it = rows_.find(key);
        return it == rows_.end() ? row{key, "", row_version(0)} : it->second;
    }

    /// @return the version of all written rows, or nothing on a conflict.
    std::optional<row_version> commit(const transaction& tx)
    {
        for (const row_condition& it : tx.conditions)
            if (read(it.key).version != it.version)
                return std::nullopt;
        row_version version(++last_version_);
        for (const row_write& it : tx.writes)
            rows_[it.key] = {it.key, it.value.value_or(""), version};
        return version;
    }

private:
    std::map<std::string, row> rows_;
    std::uint64_t last_version_ = 0;
};

/// One process that may hold the lease. It is paused whenever it is not
/// chosen to act.
struct process
{
    explicit process(std::uint64_t n)
        : session(n), keeper("maintenance", session, lease_time)
    {
    }

    session_id session;
    lease_keeper keeper;
    /// Number of the message with a transaction of `plan` whose reply is
    /// awaited. A reply after the time-out is dropped.
    std::optional<std::uint64_t> awaited;
    std::optional<row> read; ///< An answer that has not arrived.
    monotonic_time read_sent{};
};

enum class message_kind
{
    keep, ///< Takes or renews the lease.
    release,
    work ///< A write under the lease.
};

struct message
{
    std::size_t sender;
    transaction tx;
    message_kind kind;
    std::uint64_t number = 0;
};

/// Processes, the table, and transactions on their way, in any order.
class lease_model
{
public:
    explicit lease_model(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            processes.emplace_back(i + 1);
    }

    void send_read(std::size_t i)
    {
        process& it = processes[i];
        it.read = table.read(it.keeper.get_key());
        it.read_sent = now;
    }

    void receive_read(std::size_t i)
    {
        process& it = processes[i];
        if (it.read)
            it.keeper.on_read(*it.read, it.read_sent, now);
        it.read.reset();
    }

    void read(std::size_t i)
    {
        send_read(i);
        receive_read(i);
    }

    void plan(std::size_t i)
    {
        process& it = processes[i];
        if (it.awaited)
            return;
        if (auto tx = it.keeper.plan(now))
        {
            it.awaited = ++last_number_;
            messages.push_back({i, *tx, message_kind::keep, *it.awaited});
        }
    }

    void work(std::size_t i)
    {
        process& it = processes[i];
        if (!it.keeper.is_held(now))
            return;
        transaction tx{
            {}, {{work_key, std::to_string(it.keeper.get_fencing().get())}}};
        it.keeper.add_condition(tx);
        messages.push_back({i, tx, message_kind::work});
    }

    void release(std::size_t i)
    {
        if (auto tx = processes[i].keeper.plan_release())
            messages.push_back({i, *tx, message_kind::release});
    }

    /// @param is_reply_lost the sender learns nothing, and gives up waiting.
    void deliver(std::size_t n, bool is_reply_lost)
    {
        message it = messages[n];
        messages.erase(messages.begin() + static_cast<long>(n));
        auto version = table.commit(it.tx);
        if (it.kind == message_kind::work)
            note_work(it, version);
        if (processes[it.sender].awaited != it.number)
            return;
        auto outcome = version ? transaction_outcome::committed
                               : transaction_outcome::conflict;
        if (is_reply_lost)
            outcome = transaction_outcome::unknown;
        processes[it.sender].awaited.reset();
        processes[it.sender].keeper.on_result(
            outcome, version.value_or(row_version(0)));
    }

    /// The sender gives up on a transaction that may still arrive.
    void time_out(std::size_t i)
    {
        if (!processes[i].awaited)
            return;
        processes[i].awaited.reset();
        processes[i].keeper.on_result(
            transaction_outcome::unknown, row_version(0));
    }

    std::size_t count_holders() const
    {
        std::size_t n = 0;
        for (const process& it : processes)
            n += it.keeper.is_held(now) ? 1 : 0;
        return n;
    }

    std::vector<process> processes;
    std::vector<message> messages;
    table_model table;
    monotonic_time now{};

private:
    void note_work(const message& it, std::optional<row_version> version)
    {
        if (!version)
            return;
        auto fencing = std::stoull(*it.tx.writes[0].value);
        session_id session = processes[it.sender].session;
        RC_ASSERT(fencing >= last_fencing_);
        RC_ASSERT(
            holders_.try_emplace(fencing, session).first->second == session);
        last_fencing_ = fencing;
    }

    std::uint64_t last_number_ = 0;
    std::uint64_t last_fencing_ = 0;
    std::map<std::uint64_t, session_id> holders_;
};

/// `inRange` alone stays near its lower end in the first cases of a property.
std::size_t pick_below(std::size_t n)
{
    return *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(0, n));
}

/// One round without faults.
void run_round(lease_model& model, std::size_t i)
{
    model.read(i);
    model.plan(i);
    if (!model.messages.empty() && model.processes[i].awaited)
        model.deliver(model.messages.size() - 1, false);
}

void act(lease_model& model)
{
    auto i = pick_below(model.processes.size());
    switch (pick_below(12))
    {
    case 0:
        model.now += milliseconds(1 + pick_below(12'000));
        break;
    case 1:
        model.release(i);
        break;
    case 2:
        model.time_out(i);
        break;
    case 3:
        model.processes[i].keeper.on_read_failed();
        break;
    case 4:
    case 5:
        model.work(i);
        break;
    case 6:
    case 7:
        run_round(model, i);
        break;
    case 8:
        model.send_read(i);
        break;
    case 9:
        model.receive_read(i);
        model.plan(i);
        break;
    default:
        if (!model.messages.empty())
            model.deliver(
                pick_below(model.messages.size()), pick_below(2) == 0);
    }
}

} // namespace

// Guards against a paused holder, or a transaction that arrives late, that
// changes something after another took the lease.
RC_GTEST_PROP(lease_keeper, writes_take_effect_in_the_order_of_fencing, ())
{
    lease_model model(2 + pick_below(3));
    auto steps = pick_below(300);
    for (std::size_t i = 0; i < steps; ++i)
    {
        act(model);
        RC_ASSERT(model.count_holders() <= 1u);
    }
    while (!model.messages.empty())
        model.deliver(0, true);
    // One process that runs without faults gets the lease in the end.
    model.time_out(0);
    run_round(model, 0);
    model.now += lease_time;
    run_round(model, 0);
    RC_ASSERT(model.processes[0].keeper.is_held(model.now));
}

// Guards against taking a lease from a holder that is alive but was not
// watched while the platform did not answer.
TEST(lease_keeper, silence_counts_only_while_reads_work)
{
    lease_model model(2);
    run_round(model, 0);
    ASSERT_TRUE(model.processes[0].keeper.is_held(model.now));
    model.read(1);
    model.now += seconds(6);
    model.processes[1].keeper.on_read_failed();
    model.now += seconds(6);
    model.read(1);
    EXPECT_FALSE(model.processes[1].keeper.plan(model.now));
    model.now += lease_time;
    model.read(1);
    EXPECT_TRUE(model.processes[1].keeper.plan(model.now));
}

TEST(lease_keeper, a_holder_that_renews_keeps_the_lease)
{
    lease_model model(2);
    for (int i = 0; i < 10; ++i)
    {
        run_round(model, 0);
        run_round(model, 1);
        model.now += seconds(4);
    }
    EXPECT_TRUE(model.processes[0].keeper.is_held(model.now));
    EXPECT_FALSE(model.processes[1].keeper.is_held(model.now));
    EXPECT_EQ(model.processes[0].keeper.get_fencing(), fencing_token(1));
}

TEST(lease_keeper, a_released_lease_is_free_at_once_and_fencing_rises)
{
    lease_model model(2);
    run_round(model, 0);
    model.release(0);
    model.deliver(0, false);
    run_round(model, 1);
    EXPECT_TRUE(model.processes[1].keeper.is_held(model.now));
    EXPECT_EQ(model.processes[1].keeper.get_fencing(), fencing_token(2));
    transaction tx;
    EXPECT_THROW(model.processes[0].keeper.add_condition(tx), systems_error);
}

// Guards against a holder that works on a lease that it took long ago in a
// transaction whose reply was lost.
TEST(lease_keeper, the_lease_time_starts_when_the_transaction_was_sent)
{
    lease_model model(1);
    model.read(0);
    model.plan(0);
    model.deliver(0, true);
    EXPECT_FALSE(model.processes[0].keeper.is_held(model.now));
    model.now += seconds(5);
    model.read(0);
    EXPECT_TRUE(model.processes[0].keeper.is_held(model.now));
    model.now += seconds(4);
    EXPECT_FALSE(model.processes[0].keeper.is_held(model.now));
}

TEST(lease_keeper, a_row_of_another_form_is_refused)
{
    lease_keeper keeper("maintenance", session_id(1), lease_time);
    row it{"leases/maintenance", "{}", row_version(3)};
    EXPECT_THROW(keeper.on_read(it, {}, {}), systems_error);
}

} // namespace cowslippass
