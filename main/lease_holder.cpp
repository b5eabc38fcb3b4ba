#include "main/lease_holder.hpp"

namespace cowslippass
{

namespace
{

/// A lease whose row has not changed for this long may be taken over.
constexpr milliseconds lease_time{10'000};
constexpr milliseconds step_interval{2'500};

} // namespace

lease_holder::lease_holder(node_context& node, std::string name)
    : node_(node), name_(std::move(name))
{
}

void lease_holder::start()
{
    keeper_.emplace(name_, node_.session, lease_time);
    node_.spawn("lease_holder", [this] { return run_loop(); });
}

bool lease_holder::is_held() const
{
    return keeper_ && keeper_->is_held(get_now());
}

row_condition lease_holder::get_condition() const
{
    transaction tx;
    keeper_->add_condition(tx);
    return tx.conditions.front();
}

asio::awaitable<void> lease_holder::run_loop()
{
    while (!is_released_)
    {
        try
        {
            co_await step();
        }
        catch (const error& e)
        {
            write_log(log_level::error, "lease_holder",
                "a lease row could not be used",
                {{"lease", name_}, {"reason", std::string(e.what())}});
        }
        co_await node_.sleep(step_interval);
    }
}

asio::awaitable<void> lease_holder::step()
{
    auto sent = get_now();
    auto found = co_await node_.table.read(keeper_->get_key());
    if (!found)
    {
        keeper_->on_read_failed();
        co_return;
    }
    keeper_->on_read(*found, sent, get_now());
    auto tx = keeper_->plan(get_now());
    if (!tx || is_released_)
        co_return;
    bool was_held = is_held();
    auto result = co_await node_.table.commit(std::move(*tx));
    keeper_->on_result(result.outcome, result.versions[keeper_->get_key()]);
    if (is_held() && !was_held)
        write_log(log_level::info, "lease_holder", "took the lease",
            {{"lease", name_}, {"fencing", keeper_->get_fencing()}});
}

asio::awaitable<void> lease_holder::release()
{
    is_released_ = true;
    auto tx = keeper_->plan_release();
    if (tx)
        co_await node_.table.commit(std::move(*tx));
}

} // namespace cowslippass
