#pragma once

#include "core/core.hpp"

#include <string>

namespace cowslippass
{

/// Head row of the ledger. Every transaction of the coordinator rewrites it on
/// condition of its version, so that only one coordinator can write.
struct ledger_head
{
    fencing_token term;  ///< Fencing token; each new coordinator raises it.
    std::string holder;  ///< Boot id of the coordinator's process.
    std::string entry;   ///< Name of the coordinator's entry, for operators.
    std::string address; ///< IP:port at which peers reach the coordinator.
    /// Largest processor share of any entry, in thousandths of a core.
    std::uint32_t top_processor_share = 0;
    std::uint64_t batch = 0; ///< Number of the last transaction in this term.
    /// The coordinator has shut down in an orderly way and sends no more
    /// orders.
    bool is_released = false;

    bool operator==(const ledger_head&) const = default;
};

/// @return the row's value as JSON.
std::string encode_ledger_head(const ledger_head& head);

/// @throws systems_error (`bad_head`) if the text is malformed.
ledger_head decode_ledger_head(const std::string& text);

} // namespace cowslippass
