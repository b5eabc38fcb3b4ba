#pragma once

#include "systems/command.hpp"
#include "systems/fleet_state.hpp"
#include "systems/query_table.hpp"

#include <map>
#include <set>

namespace cowslippass
{

/// The query names a table or field that does not exist (`unknown_table`,
/// `unknown_field`); the message lists those that do.
class query_error : public systems_error
{
public:
    using systems_error::systems_error;
};

/// Runs one query over the tables of the fleet state and over tables that the
/// daemon collected: tasks, targets, jobs, grants, limits, entries and
/// maintenance.
class query_engine
{
public:
    /// @param state must outlive the engine.
    explicit query_engine(const fleet_state& state) : state_(&state) {}

    /// Adds a table. Rows of a table with a known name are added to it, so
    /// that the parts of several entries become one table; columns are matched
    /// by name, and cells of columns that a part lacks are nothing.
    void add_table(query_table table);

    /// @return whether the fleet state itself answers queries over the table,
    ///   so that no other entry has to be asked.
    static bool is_fleet_table(const std::string& name);

    /// Refuses a table that neither the fleet state nor the daemon has, before
    /// anything is collected for it.
    /// @param column of the name in the statement, from 1.
    /// @param collected names of the tables that the daemon collects.
    /// @throws query_error (`unknown_table`)
    static void require_table(const std::string& name, std::size_t column,
        std::set<std::string> collected);

    /// Applies the filters, then groups or orders, then the limit.
    /// @throws query_error
    query_table run(const query_command& query) const;

private:
    query_table get_table(const std::string& name) const;

    const fleet_state* state_;
    std::map<std::string, query_table> tables_;
};

} // namespace cowslippass
