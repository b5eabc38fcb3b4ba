#pragma once

#include "main/grant_keeper.hpp"
#include "main/janitor.hpp"
#include "main/node_context.hpp"
#include "main/peer_network.hpp"
#include "main/pool_runner.hpp"
#include "systems/command.hpp"
#include "systems/job_machine.hpp"
#include "systems/query_table.hpp"

#include <map>
#include <set>

namespace cowslippass
{

/// Accepts slow jobs, runs those of the pools that this entry owns, and takes
/// over those of sessions that have ended.
class job_keeper
{
public:
    using runner_finder =
        std::function<std::shared_ptr<pool_runner>(const pool_id&)>;

    job_keeper(node_context& node, grant_keeper& grants, peer_network& peers,
        janitor& observer, runner_finder find_runner);

    /// Needs the session.
    void start();

    /// Launches nothing more; for a planned stop.
    void stop() { is_stopping_ = true; }

    /// Makes a job durable before it is accepted.
    asio::awaitable<work_result> accept(
        peer_forward request, queue_record queue);

    asio::awaitable<work_result> find(team_id team, job_id id);
    asio::awaitable<work_result> fetch_result(team_id team, job_id id);
    asio::awaitable<work_result> cancel(team_id team, job_id id);

    /// @return how many jobs were cancelled; nothing when the platform did
    ///   not answer.
    asio::awaitable<std::optional<std::size_t>> cancel_by_operator(
        cancel_command cancel);

    /// @return live and recently ended jobs, for queries.
    asio::awaitable<std::optional<query_table>> list_jobs();

private:
    static constexpr std::size_t rows_per_scan = 500;
    static constexpr milliseconds commit_retry_interval{500};
    /// Code of a refusal that no later try can change.
    static constexpr const char* oversized_code = "fits_no_target";

    struct found_job
    {
        live_job job;
        bool is_live = false;
    };
    using held_job = std::shared_ptr<live_job>;
    enum class lookup
    {
        found,
        absent,
        unavailable
    };

    asio::awaitable<void> scan_loop();
    asio::awaitable<void> scan_pool(std::shared_ptr<pool_runner> runner);
    void consider(
        const std::shared_ptr<pool_runner>& runner, const live_job& job);
    bool is_held_back(const live_job& job);
    bool is_mine_to_move(const job_row& job) const;
    std::vector<data_centre_id> list_places(const pool_id& pool) const;
    std::optional<data_centre_id> choose_place(
        const pool_id& pool, const job_id& job) const;
    bool can_ever_fit(const pool_id& pool, byte_count memory) const;

    asio::awaitable<void> launch(
        std::shared_ptr<pool_runner> runner, live_job job);
    asio::awaitable<void> move_here(live_job job);
    asio::awaitable<void> take_over(
        std::shared_ptr<pool_runner> runner, live_job job);
    asio::awaitable<bool> adopt(
        std::shared_ptr<pool_runner> runner, held_job held);
    asio::awaitable<void> settle(held_job held, work_result result);
    asio::awaitable<void> record_result(held_job held, std::string bytes);
    std::optional<job_change> choose_end(
        const live_job& job, const work_result& result) const;
    work_item make_item(const job_row& job, std::string payload) const;
    std::function<asio::awaitable<std::optional<work_result>>(start_place)>
    make_prepare(held_job held);

    /// Commits a change; asks again while the outcome is unknown.
    /// @return whether it is committed; `held` then has the new row.
    asio::awaitable<bool> commit(
        held_job held, std::optional<job_change> change);
    asio::awaitable<lookup> read_job(job_id id, found_job& out);
    asio::awaitable<lookup> read_for_team(
        const team_id& team, const job_id& id, found_job& out);
    void tell_owners(const job_id& job);

    node_context& node_;
    grant_keeper& grants_;
    peer_network& peers_;
    janitor& observer_;
    runner_finder find_runner_;
    decision_log log_{"jobs"};
    std::set<job_id> active_;
    /// When a queued row was first seen in its present version; its delay
    /// counts from then.
    std::map<job_id, std::pair<row_version, monotonic_time>> first_seen_;
    bool is_stopping_ = false;
};

} // namespace cowslippass
