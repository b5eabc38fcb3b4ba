#pragma once

#include "main/node_context.hpp"
#include "main/peer_network.hpp"
#include "main/work_item.hpp"

#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace cowslippass
{

/// Takes an admitted request to the owner of its pool, in this data centre or
/// in another one, and tries again where that is safe.
class request_router
{
public:
    /// Runs a request on this entry, which owns the pool.
    using local_handler =
        std::function<asio::awaitable<work_result>(peer_forward)>;

    /// @return the counts of a pool in this entry's data centre.
    using local_summary =
        std::function<std::optional<pool_summary>(const pool_id&)>;

    request_router(node_context& node, peer_network& peers,
        local_handler run_local, local_summary summarize);

    /// @return the answer; a lost reply of a non-idempotent request is
    ///   answered as unknown and never sent again.
    asio::awaitable<work_result> route_request(peer_forward request);

    /// @return the pools of this data centre as known here, for summaries.
    std::vector<pool_summary> summarize_pools() const;

private:
    struct attempt
    {
        work_result result;
        bool may_try_again = false;
    };

    /// What the log tells of one request. The caller's wait decides how often
    /// it is tried, so that a line for each attempt would let it fill the log.
    struct request_trace
    {
        using decision = std::tuple<std::string, std::optional<session_id>,
            std::optional<data_centre_id>, std::string>;

        std::set<decision> logged;
        std::string reason; ///< Why the attempt before did not end it.
        std::size_t attempts = 0;
    };

    asio::awaitable<attempt> try_once(const peer_forward& request,
        const queue_record& queue, request_trace& trace);
    void log_decision(const peer_forward& request, const queue_record& queue,
        const route& chosen, std::optional<session_id> owner,
        request_trace& trace) const;
    void log_end(const peer_forward& request, const work_result& result,
        const request_trace& trace) const;
    asio::awaitable<attempt> forward(const peer_forward& request,
        const queue_record& queue, session_id owner);
    std::vector<route_candidate> list_candidates(const pool_id& pool) const;
    void fill_counts(const pool_id& pool, route_candidate& candidate) const;

    node_context& node_;
    peer_network& peers_;
    local_handler run_local_;
    local_summary summarize_;
    decision_log log_{"routing"};
};

} // namespace cowslippass
