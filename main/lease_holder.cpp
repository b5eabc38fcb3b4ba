#include "main/lease_holder.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// A lease whose row has not changed for this long may be taken over.
constexpr milliseconds lease_time{10'000};
constexpr milliseconds step_interval{2'500};

struct lease_row
{
    session_id holder; ///< 0 when the lease was given back.
    fencing_number fencing;
};

lease_row decode(const row& it)
{
    if (it.version.get() == 0)
        return {};
    json body = json::parse(it.value);
    return {session_id(body.at("session").get<std::uint64_t>()),
        fencing_number(body.at("fencing").get<std::uint64_t>())};
}

std::string encode(session_id holder, fencing_number fencing)
{
    return json{{"session", holder.get()}, {"fencing", fencing.get()}}.dump();
}

} // namespace

lease_holder::lease_holder(node_context& node, std::string name)
    : node_(node), name_("leases/" + std::move(name))
{
}

void lease_holder::start()
{
    node_.spawn("lease_holder", [this] { return run_loop(); });
}

bool lease_holder::is_held() const
{
    return held_.get() != 0 && get_now() < held_until_;
}

row_condition lease_holder::get_condition() const
{
    return {name_, held_};
}

asio::awaitable<void> lease_holder::run_loop()
{
    while (!is_released_)
    {
        co_await step();
        co_await node_.sleep(step_interval);
    }
}

asio::awaitable<void> lease_holder::step()
{
    auto sent = get_now();
    auto found = co_await node_.table.read(name_);
    if (!found)
    {
        // Only time in which the row could be watched counts as silence.
        seen_ = row_version(0);
        co_return;
    }
    lease_row lease = decode(*found);
    bool is_own = lease.holder == node_.session;
    bool is_free = lease.holder.get() == 0;
    if (found->version != seen_)
    {
        seen_ = found->version;
        seen_since_ = get_now();
    }
    bool is_expired = get_now() - seen_since_ >= lease_time;
    if (!is_own && !is_free && !is_expired)
    {
        held_ = row_version(0);
        co_return;
    }
    fencing_number next =
        is_own ? lease.fencing : fencing_number(lease.fencing.get() + 1);
    transaction tx;
    tx.conditions.push_back({name_, found->version});
    tx.writes.push_back({name_, encode(node_.session, next)});
    auto result = co_await node_.table.commit(std::move(tx));
    if (result.outcome != transaction_outcome::committed || is_released_)
        co_return;
    if (!is_own)
        write_log(log_level::info, "lease_holder", "took the lease",
            {{"lease", name_}, {"fencing", next}});
    held_ = result.versions[name_];
    held_until_ = sent + lease_time - step_interval;
}

asio::awaitable<void> lease_holder::release()
{
    is_released_ = true;
    if (!is_held())
        co_return;
    auto found = co_await node_.table.read(name_);
    if (!found || found->version != held_)
        co_return;
    transaction tx;
    tx.conditions.push_back({name_, held_});
    tx.writes.push_back({name_, encode(session_id(0), decode(*found).fencing)});
    held_ = row_version(0);
    co_await node_.table.commit(std::move(tx));
}

} // namespace cowslippass
