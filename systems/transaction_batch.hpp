#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// Transactions of several claims or jobs that share one request to the
/// platform. They must not touch the same rows; one that does goes into the
/// next batch.
class transaction_batch
{
public:
    struct member_outcome
    {
        std::uint64_t id;
        transaction_outcome outcome;
    };

    struct result
    {
        std::vector<member_outcome> known;
        /// Failed only because another member did; to be sent again.
        std::vector<std::uint64_t> retry;
    };

    /// @param most_writes row writes in one batch.
    explicit transaction_batch(std::size_t most_writes)
        : most_writes_(most_writes)
    {
    }

    /// @param id names the member in `split`.
    /// @return false when the batch is full or shares a row with the member.
    bool try_add(std::uint64_t id, const transaction& member);

    bool is_empty() const { return members_.empty(); }
    const transaction& get_merged() const { return merged_; }

    /// Divides the outcome of the merged transaction among the members.
    /// @param failed_keys of a conflict; when empty, every member conflicts.
    result split(transaction_outcome outcome,
        const std::vector<std::string>& failed_keys) const;

private:
    struct member
    {
        std::uint64_t id;
        std::set<std::string> keys;
    };

    std::size_t most_writes_;
    transaction merged_;
    std::set<std::string> keys_;
    std::vector<member> members_;
};

} // namespace cowslippass
