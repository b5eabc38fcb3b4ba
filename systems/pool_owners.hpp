#pragma once

#include "core/core.hpp"

#include <optional>
#include <vector>

namespace cowslippass
{

/// Chooses the entry that queues and places the work of a pool in one data
/// centre. Rendezvous hashing keeps every pool where it is when an entry joins
/// or leaves, except for the pools of that entry.
/// @param sessions live sessions of the entries in the data centre, in any
///   order.
/// @return the owner's session; nothing when `sessions` is empty.
std::optional<session_id> choose_pool_owner(
    const pool_id& pool, const std::vector<session_id>& sessions);

} // namespace cowslippass
