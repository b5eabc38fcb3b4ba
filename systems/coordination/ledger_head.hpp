#pragma once

#include "core/core.hpp"

#include <string>

namespace cowslippass
{

/// The row that every transaction of the coordinator rewrites.
struct ledger_head
{
    fencing_token term;  ///< Rises with every coordinator.
    std::string holder;  ///< Boot id of the coordinator's process.
    std::string entry;   ///< Name of its instance, for people.
    std::string address; ///< IP:port for its peers.
    /// Highest share of a processor that an entry had, in thousandths.
    std::uint32_t top_share = 0;
    std::uint64_t batch = 0; ///< Number of the term's last transaction.
    /// The coordinator has stopped as planned and gives no more orders.
    bool is_released = false;

    bool operator==(const ledger_head&) const = default;
};

std::string encode_ledger_head(const ledger_head& head);

/// @throws systems_error (`bad_head`).
ledger_head decode_ledger_head(const std::string& text);

} // namespace cowslippass
