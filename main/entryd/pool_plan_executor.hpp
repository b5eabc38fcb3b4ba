#pragma once

#include "main/entryd/entry_settings.hpp"
#include "platform/machine_client.hpp"
#include "platform/publication.hpp"
#include "systems/coordination/ledger.hpp"
#include "systems/pools/pool_planner.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace cowslippass
{

class metrics_registry;

/// Carries out the pool planner's decisions for one term of the coordinator.
class pool_plan_executor
    : public std::enable_shared_from_this<pool_plan_executor>
{
public:
    /// What the keeper needs of the coordinator that it works for.
    struct term
    {
        fencing_number number;
        coordinator& term_coordinator;
        ledger& term_ledger;
        /// Whether orders to instances may be given now.
        std::function<bool()> may_send_orders;
        std::function<bool()> is_over;
        /// New decisions are to be looked at.
        std::function<void()> wake;
    };

    pool_plan_executor(asio::io_context& io, const entry_settings& settings,
        store_client& store, metrics_registry& metrics, term owner);

    /// @param rows of the ledger's waves.
    void load(const std::vector<stored_row>& rows);

    asio::awaitable<void> run();

    /// @return whether an order may still reach the platform.
    bool has_orders_in_flight() const { return orders_in_flight_ > 0; }

private:
    asio::awaitable<void> list_instances();
    asio::awaitable<void> send(instance_order order);
    /// Sends waiting orders, so many at once as there are connections: an
    /// order that waits for one would leave long after it was decided.
    void send_waiting_orders();
    asio::awaitable<void> write_wave_status(
        std::uint64_t wave, bool is_completed);
    void decide();
    void update_waves();
    void log_pool_sizings();

    asio::io_context& io_;
    store_client& store_;
    metrics_registry& metrics_;
    term term_;
    machine_client client_;
    pool_planner planner_;
    std::map<std::uint64_t, std::size_t>
        saved_begun_counts_; ///< Begun, as in the ledger.
    /// What operators were told, or are being told.
    std::map<std::uint64_t, bool> written_statuses_;
    boot_time next_list_at_{};
    boot_time next_report_at_{};
    bool is_listing_ = false;
    std::deque<instance_order> waiting_orders_;
    std::set<instance_id> pending_instances_; ///< With a waiting or sent order.
    std::size_t orders_in_flight_ = 0;
};

} // namespace cowslippass
