#pragma once

#include "main/grant_keeper.hpp"
#include "main/pool_runner.hpp"
#include "systems/query_table.hpp"

#include <map>
#include <memory>

namespace cowslippass
{

using runner_map = std::map<pool_id, std::shared_ptr<pool_runner>>;

/// Tables of this entry's running state, for queries.
query_table list_tasks(const node_context& node, const runner_map& runners);
query_table list_targets(const node_context& node, const runner_map& runners);
query_table list_own_entry(const node_context& node, const runner_map& runners);
query_table list_grants(const node_context& node, const grant_keeper& grants);

/// @param session in the fleet state.
/// @param pools that the entry owns, separated by commas.
/// @return a row of the table `entries`.
query_row make_entry_row(const node_context& node, session_id session,
    const std::string& state, const std::string& pools);

} // namespace cowslippass
