#pragma once

#include "main/entryd/entry_settings.hpp"
#include "platform/instance_client.hpp"
#include "platform/published_rows.hpp"
#include "systems/coordination/ledger.hpp"
#include "systems/pools/wave_record.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace cowslippass
{

class metrics_registry;
class task_supervisor;

/// Carries out the decisions of the pool planner during one term of the
/// coordinator: sends orders to instances and writes the progress of
/// maintenance waves.
class pool_plan_executor
    : public std::enable_shared_from_this<pool_plan_executor>
{
public:
    /// Access to the term for which the orders are sent.
    struct term
    {
        fencing_token number; ///< Sent with each order as a fencing token.
        coordinator& term_coordinator;
        ledger& term_ledger;
        /// @return whether orders to instances may be sent now.
        std::function<bool()> may_send_orders;
        std::function<bool()> is_over; ///< @return whether the term has ended.
        /// Makes the coordinator run its next round of decisions at once.
        std::function<void()> wake;
    };

    pool_plan_executor(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics,
        const task_supervisor& tasks, term owner);

    /// Restores the progress of maintenance waves.
    /// @param rows rows of the ledger's table of waves.
    void load(const std::vector<stored_row>& rows);

    /// Plans and sends orders until the term ends.
    asio::awaitable<void> run();

    /// @return whether an order may still reach the platform.
    bool has_orders_in_flight() const { return orders_in_flight_ > 0; }

private:
    /// Reads the instance list, and passes the incarnations that have ended to
    /// the coordinator.
    asio::awaitable<void> list_instances();
    /// Sends one order and passes the platform's reply to the planner.
    asio::awaitable<void> send(instance_order order);
    /// Sends waiting orders, at most as many at once as there are connections:
    /// an order that waits for a connection would be sent long after it was
    /// decided.
    void send_waiting_orders();
    /// Publishes for operators whether a wave is completed.
    asio::awaitable<void> write_wave_status(
        std::uint64_t wave, bool is_completed);
    /// Runs one planning round.
    void decide();
    /// Sends an order as soon as a connection is free.
    void queue_order(const instance_order& order);
    /// Puts the changed rows of the wave into the ledger.
    void save_wave(const maintenance_wave& wave);
    /// Puts the progress of each wave that has advanced into the ledger, and
    /// publishes the changed statuses.
    void update_waves();
    /// Logs how many instances each pool has and needs.
    void log_pool_sizings();

    asio::io_context& io_;
    store_client& store_;
    metrics_registry& metrics_;
    const task_supervisor& tasks_;
    term term_;
    std::size_t store_row_bytes_;
    instance_client client_;
    pool_planner planner_;
    /// Progress of the waves by row, as it was put into the ledger last.
    std::map<wave_row_key, wave_progress> saved_waves_;
    /// Whether each wave is completed, as published for operators or as being
    /// written.
    std::map<std::uint64_t, bool> written_statuses_;
    boot_time next_list_at_{};
    boot_time next_report_at_{};
    bool is_listing_ = false;
    std::deque<instance_order> waiting_orders_;
    /// Instances with a waiting or in-flight order.
    std::set<instance_id> pending_instances_;
    std::size_t orders_in_flight_ = 0;
};

} // namespace cowslippass
