#pragma once

#include "systems/coordination/ledger_head.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cowslippass
{

/// Tables of the ledger. All rows are in one part (partition) of the store, so
/// that a transaction can write any of them.
namespace ledger_table
{
inline constexpr const char* control = "control";
inline constexpr const char* jobs = "jobs";
inline constexpr const char* progress = "progress";
inline constexpr const char* waves = "waves";
inline constexpr const char* queues = "queues";
inline constexpr const char* run_times = "run_times";
inline constexpr const char* part = "ledger";
inline constexpr const char* head_key = "head";
} // namespace ledger_table

/// A row to write, or to delete if it has no value.
struct ledger_change
{
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// A transaction. It applies only if the head row still has the version
/// `expected`, and rewrites that row.
struct ledger_batch
{
    row_version expected;
    ledger_head head;
    std::vector<ledger_change> changes;
};

/// Result of a batch, as the store reported it.
struct batch_result
{
    enum class kind
    {
        committed,
        conflict, ///< The head row has another version.
        refused,  ///< The batch had no effect; it may be sent again.
        rejected, ///< The batch had no effect, and never will have.
        unknown   ///< No reply; the batch may have applied, or may do so later.
    };
    kind outcome = kind::unknown;
    row_version version; ///< Of the head row; not set for `unknown`.
    std::optional<ledger_head> head; ///< Current head row, after a conflict.
    std::string message;             ///< Describes a failure, for logs.
};

/// Collects the coordinator's changes and writes them in batches, with one
/// transaction in flight at a time. A batch without a reply is sent again
/// unchanged: the expected version lets at most one of the copies apply. A
/// batch that the store rejects is sent again in smaller parts, until the
/// change that it does not accept is found and set aside; all others are
/// written.
class ledger
{
public:
    /// Limits of the store's transactions, with room for the head row.
    static constexpr std::size_t max_batch_rows = 90;
    static constexpr std::size_t max_batch_bytes = 600'000;

    /// @param head the head row that the takeover wrote.
    /// @param version the version that the row got.
    ledger(ledger_head head, row_version version);

    /// Writes a row with one of the next batches. A later value of the same row
    /// replaces one that has not been sent yet.
    void put(const char* table, std::string key, std::string value);
    /// Deletes a row with one of the next batches.
    void erase(const char* table, std::string key);

    /// Makes the changes of the batch in flight pending again, if the store has
    /// refused every copy of it, so that none can apply later. The caller has
    /// no request with the batch under way.
    /// @return whether no batch is in flight.
    bool recall_batch();

    /// Takes a pending value of a row back, so that it is never written. A
    /// pending deletion stays: the row has been written before.
    /// @return whether it was pending and no batch in flight contains the row.
    bool withdraw(const char* table, const std::string& key);

    /// Calls `done` once all changes so far are durable. It is never called if
    /// the ledger is lost.
    void when_durable(std::function<void()> done);

    /// Calls `done` once the store has applied a batch that is made after this
    /// call, and so has confirmed the term after it. Requests no batch: the
    /// next one confirms all calls that wait. Never calls it if the ledger is
    /// lost.
    void when_confirmed(std::function<void()> done);

    /// Ends the coordinator's term with the batch that writes the last pending
    /// change.
    void release();

    /// @return whether a change or a release has not been written yet.
    bool has_changes() const;

    /// @return whether the pending changes fill a batch.
    bool has_full_batch() const
    {
        return pending_changes_.size() >= max_batch_rows;
    }
    bool is_in_flight() const { return in_flight_.has_value(); }
    /// @return whether another coordinator has taken the ledger over.
    bool is_lost() const { return is_lost_; }
    bool is_released() const { return is_released_; }

    /// @return whether another coordinator may already have read the release:
    ///   a batch with it was made, and neither the store has refused it nor a
    ///   later batch has shown that it did not apply.
    bool may_be_released() const { return may_be_released_; }
    std::size_t count_pending_changes() const
    {
        return pending_changes_.size();
    }

    /// @return the changes that were set aside since the last call, because the
    ///   store rejects them and accepts batches without them. Callbacks that
    ///   waited for them run nevertheless; the caller has to take the changes
    ///   after each rejected batch, before it sends the next one.
    std::vector<ledger_change> take_rejected_changes()
    {
        return std::exchange(rejected_changes_, {});
    }

    /// @return the batch to send: the one that is in flight, or a new one with
    ///   the pending changes, even if there are none.
    const ledger_batch& make_batch();

    /// Handles the result of the batch in flight: calls the callbacks of the
    /// changes that became durable. The ledger is lost after a conflict with
    /// another holder.
    void handle_result(const batch_result& result);

private:
    using row_key = std::pair<std::string, std::string>;
    struct durability_callback
    {
        std::uint64_t required_change_number; ///< Last change to await.
        std::function<void()> done;
    };

    struct confirmation_callback
    {
        std::uint64_t
            required_batch; ///< Number of the first batch that counts.
        std::function<void()> done;
    };

    void add(
        const char* table, std::string key, std::optional<std::string> value);
    /// Makes a batch of pending changes the one in flight.
    void take_pending_changes();
    void commit(row_version version);
    /// Makes the changes of the rejected batch pending again, except for one
    /// that is rejected alone.
    void handle_rejection();
    /// Makes the changes of the batch in flight pending again.
    void return_batch();
    /// Makes a change of the batch in flight pending again, under its number.
    void return_change(std::uint64_t number, ledger_change change);

    ledger_head head_;
    row_version version_;
    /// Changes that are in no batch yet, by their number, in the order in which
    /// their rows were first put.
    std::map<std::uint64_t, ledger_change> pending_changes_;
    /// Number of the pending change of each row.
    std::map<row_key, std::uint64_t> pending_numbers_;
    std::uint64_t last_change_number_ = 0;
    /// All changes up to this number are durable once the batch in flight is.
    std::uint64_t last_in_flight_number_ = 0;
    std::uint64_t last_durable_number_ = 0;
    std::optional<ledger_batch> in_flight_;
    /// A copy of the batch in flight got no reply.
    bool may_have_applied_ = false;
    /// Numbers of the changes of the batch in flight.
    std::vector<std::uint64_t> in_flight_numbers_;
    /// Maximum number of changes in the next batch. After a rejected batch it
    /// is smaller; after one with a single change, the next batch has none and
    /// shows whether the store accepts any.
    std::size_t batch_limit_ = max_batch_rows;
    /// The last batch was one without changes, and the store accepted it.
    bool is_store_accepting_ = false;
    std::vector<ledger_change> rejected_changes_;
    std::deque<durability_callback> durability_callbacks_;
    std::deque<confirmation_callback> confirmation_callbacks_;
    bool is_lost_ = false;
    bool is_release_requested_ = false;
    bool is_released_ = false;
    bool may_be_released_ = false;
    /// A copy of a batch with the release got no reply.
    bool has_unanswered_release_ = false;
};

} // namespace cowslippass
