#pragma once

#include "systems/coordination/ledger_head.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// Tables of the ledger; all rows are in one part, so that a transaction can
/// touch any of them.
namespace ledger_table
{
inline constexpr const char* control = "control";
inline constexpr const char* jobs = "jobs";
inline constexpr const char* progress = "progress";
inline constexpr const char* waves = "waves";
inline constexpr const char* part = "ledger";
inline constexpr const char* head_key = "head";
} // namespace ledger_table

/// One row to write, or to delete.
struct ledger_change
{
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// One transaction: rewrites the head row if it still has `expected`.
struct ledger_batch
{
    row_version expected;
    ledger_head head;
    std::vector<ledger_change> changes;
};

/// What the store said of a batch.
struct batch_result
{
    enum class kind
    {
        committed,
        conflict, ///< The head row has another version.
        refused,  ///< Nothing was done.
        unknown   ///< No answer; it may have been done or be done later.
    };
    kind outcome = kind::unknown;
    row_version version;             ///< Of the head row, unless unknown.
    std::optional<ledger_head> head; ///< The current one, on conflict.
};

/// Collects the coordinator's changes, one transaction in flight at a time.
/// A batch without an answer is sent again as it was: the expected version
/// lets at most one of the copies apply.
class ledger
{
public:
    /// Limits of the store's transactions, with room for the head row.
    static constexpr std::size_t max_batch_rows = 90;
    static constexpr std::size_t max_batch_bytes = 600'000;

    /// @param head as the takeover wrote it, with the version it got.
    ledger(ledger_head head, row_version version);

    /// Writes a row with one of the next batches; a later value of the same
    /// row replaces a waiting one.
    void put(const char* table, std::string key, std::string value);
    void erase(const char* table, std::string key);

    /// Runs `done` once everything that was put so far is durable. It never
    /// runs when the ledger is lost.
    void when_durable(std::function<void()> done);

    /// Ends the coordinator's term with the next batch.
    void release();

    bool has_changes() const;

    /// @return whether the changes fill the next batch.
    bool has_full_batch() const
    {
        return pending_changes_.size() >= max_batch_rows;
    }
    bool is_in_flight() const { return in_flight_.has_value(); }
    bool is_lost() const { return is_lost_; }
    bool is_released() const { return is_released_; }
    std::size_t count_pending_changes() const
    {
        return pending_changes_.size();
    }

    /// @return the batch to send: the one without an answer, or a new one
    ///   with the waiting changes, also when there are none.
    const ledger_batch& make_batch();

    /// Runs the callbacks of what became durable. After a conflict with
    /// another holder the ledger is lost.
    void handle_result(const batch_result& answer);

private:
    using row_key = std::pair<std::string, std::string>;
    struct durability_callback
    {
        std::uint64_t required_change_number; ///< Changes that must be durable.
        std::function<void()> done;
    };

    void add(
        const char* table, std::string key, std::optional<std::string> value);
    void commit(row_version version);

    ledger_head head_;
    row_version version_;
    /// Rows in the order in which they were first put.
    std::map<std::uint64_t, ledger_change> pending_changes_;
    std::map<row_key, std::uint64_t> pending_numbers_;
    std::uint64_t last_change_number_ = 0;
    /// All changes up to this order are durable once the batch in flight is.
    std::uint64_t last_in_flight_number_ = 0;
    std::uint64_t last_durable_number_ = 0;
    std::optional<ledger_batch> in_flight_;
    std::deque<durability_callback> durability_callbacks_;
    bool is_lost_ = false;
    bool is_release_requested_ = false;
    bool is_released_ = false;
};

} // namespace cowslippass
