#pragma once

#include "main/node_context.hpp"
#include "systems/lease_keeper.hpp"

#include <optional>
#include <string>

namespace cowslippass
{

/// Tries to hold one lease row `leases/<name>` while this entry runs.
class lease_holder
{
public:
    lease_holder(node_context& node, std::string name);

    /// Needs the session.
    void start();

    /// @return whether the lease is held now, by the local clock.
    bool is_held() const;

    /// @return a condition for every write made under the lease.
    /// @throws systems_error (`lease_not_held`).
    row_condition get_condition() const;

    asio::awaitable<void> release();

private:
    asio::awaitable<void> run_loop();
    asio::awaitable<void> step();

    node_context& node_;
    std::string name_;
    std::optional<lease_keeper> keeper_;
    bool is_released_ = false;
};

} // namespace cowslippass
