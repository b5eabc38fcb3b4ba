#pragma once

#include "main/node_context.hpp"
#include "main/peer_network.hpp"
#include "systems/query_table.hpp"

#include <map>

namespace cowslippass
{

/// Collects tables of running state from all entries for queries.
class table_collector
{
public:
    using local_source = std::function<query_table()>;
    using platform_source =
        std::function<asio::awaitable<std::optional<query_table>>()>;

    using absent_row = std::function<query_row(session_id)>;

    table_collector(node_context& node, peer_network& peers);

    /// Adds a table of which each entry has a part.
    void add_source(const std::string& name, local_source source);

    /// Adds a table that any entry can read whole from the platform.
    void add_platform_source(const std::string& name, platform_source source);

    /// Adds a row to a table for each entry that does not answer.
    void add_absent_row(const std::string& name, absent_row make_row);

    /// Adds a table that is made of another one, which is collected for it.
    void add_derived(const std::string& name, const std::string& from,
        std::function<query_table(const query_table&)> derive);

    /// @return the names of all tables that can be collected.
    std::set<std::string> get_names() const;

    /// @return the rows of all entries; the data centres of entries that did
    ///   not answer are listed as missing.
    asio::awaitable<query_answer> collect(std::string name);

    /// @param text `table <name>`, from a peer.
    /// @return this entry's part, encoded; empty for other texts.
    std::string answer_peer(const std::string& text) const;

private:
    struct collection
    {
        query_answer answer;
        std::size_t open = 0;
        std::set<data_centre_id> missing;
        std::vector<session_id> absent;
    };

    struct derived
    {
        std::string from;
        std::function<query_table(const query_table&)> derive;
    };

    asio::awaitable<void> ask(
        session_id session, std::string name, std::shared_ptr<collection> into);

    node_context& node_;
    peer_network& peers_;
    std::map<std::string, local_source> local_;
    std::map<std::string, platform_source> platform_;
    std::map<std::string, absent_row> absent_rows_;
    std::map<std::string, derived> derived_;
};

} // namespace cowslippass
