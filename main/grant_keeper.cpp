#include "main/grant_keeper.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds plan_interval{50};
/// Without waiting work only limits and idle grants are to be looked after.
constexpr milliseconds idle_interval{250};
constexpr int max_outcome_polls = 100;

} // namespace

grant_keeper::grant_keeper(
    node_context& node, fleet_sync& sync, waiting_source count_waiting)
    : node_(node), sync_(sync), count_waiting_(std::move(count_waiting)),
      timer_(node.io)
{
}

void grant_keeper::start()
{
    ledger_.emplace(node_.session);
    node_.listeners.push_back([this] { take_over_limits(); });
    take_over_limits();
    node_.spawn("grant_keeper", [this] { return run_loop(); });
}

void grant_keeper::take_over_limits()
{
    config_version version = node_.state.get_version();
    for (const auto& [id, team] : node_.state.get_teams())
    {
        auto known = limits_.find(id);
        if (known != limits_.end() && known->second.first == team.limit)
            continue;
        limits_[id] = {team.limit, version};
        ledger_->on_limit(id, team.limit, version);
    }
}

bool grant_keeper::take(const team_id& team)
{
    return ledger_ && ledger_->try_acquire(team);
}

void grant_keeper::give_back(const team_id& team)
{
    ledger_->give_back(team);
}

void grant_keeper::note_peer_waiting(
    session_id peer, const team_id& team, std::uint32_t waiting)
{
    if (ledger_)
        ledger_->on_peer_waiting(peer, team, task_count(waiting), get_now());
}

asio::awaitable<void> grant_keeper::read_row(team_id team)
{
    config_version version = node_.state.get_version();
    auto found = co_await node_.table.read(grant_row::get_key(team));
    if (found)
        ledger_->on_row(team, *found, version);
    else
        ledger_->on_read_failed(team);
}

asio::awaitable<transaction_outcome> grant_keeper::send(grant_transfer transfer)
{
    std::string key = grant_row::get_key(transfer.team);
    auto result = co_await node_.table.commit(std::move(transfer.request));
    std::optional<row_version> written;
    auto it = result.versions.find(key);
    if (it != result.versions.end())
        written = it->second;
    ledger_->on_result(transfer.id, result.outcome, written);
    co_return result.outcome;
}

asio::awaitable<void> grant_keeper::run_loop()
{
    std::set<team_id> waiting_teams;
    while (true)
    {
        const fleet_head& head = sync_.get_head();
        bool is_new_head = head.head_row != noted_head_.head_row &&
                           head.version == node_.state.get_version();
        if (is_new_head)
        {
            noted_head_ = head;
            ledger_->on_config_head(head.version, head.head_row);
        }
        else if (ledger_->needs_config_head())
            co_await sync_.catch_up();
        auto waiting = count_waiting_();
        for (const auto& team : waiting_teams)
            if (!waiting.contains(team))
                ledger_->set_waiting(team, task_count(0));
        waiting_teams.clear();
        for (const auto& [team, n] : waiting)
        {
            waiting_teams.insert(team);
            ledger_->set_waiting(team, task_count(n));
        }
        for (const auto& team : ledger_->plan_reads(get_now()))
            node_.spawn(
                "grant_keeper", [this, team] { return read_row(team); });
        for (auto& transfer : ledger_->plan_transfers(get_now()))
            node_.spawn("grant_keeper",
                [this, transfer]() -> asio::awaitable<void>
                { co_await send(transfer); });
        timer_.expires_after(
            waiting_teams.empty() ? idle_interval : plan_interval);
        boost::system::error_code ec;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

void grant_keeper::kick()
{
    timer_.cancel();
}

asio::awaitable<bool> grant_keeper::adopt(
    session_id dead, team_id team, monotonic_time ended_observed)
{
    auto transfer = ledger_->plan_adoption(
        dead, team, task_count(1), ended_observed, get_now());
    if (!transfer)
        co_return false;
    std::uint64_t id = transfer->id;
    co_await send(std::move(*transfer));
    // An unknown outcome is settled by the next read of the row.
    for (int i = 0; i < max_outcome_polls; ++i)
    {
        for (const auto& it : ledger_->take_adoption_outcomes())
            adoptions_[it.id] = it.is_adopted;
        auto known = adoptions_.extract(id);
        if (known)
            co_return known.mapped();
        co_await node_.sleep(plan_interval);
    }
    co_return false;
}

asio::awaitable<bool> grant_keeper::release_dead(
    session_id dead, team_id team, monotonic_time ended_observed)
{
    auto found = co_await node_.table.read(grant_row::get_key(team));
    if (!found)
        co_return false;
    if (grant_row::decode(found->value).get(dead) == 0)
        co_return true;
    ledger_->on_row(team, *found, node_.state.get_version());
    auto transfer = ledger_->plan_ended_session_release(
        dead, team, ended_observed, get_now());
    if (!transfer)
        co_return false;
    auto outcome = co_await send(std::move(*transfer));
    co_return outcome == transaction_outcome::committed;
}

asio::awaitable<void> grant_keeper::return_all()
{
    for (const auto& [team, limit] : limits_)
    {
        auto found = co_await node_.table.read(grant_row::get_key(team));
        if (!found)
            continue;
        grant_row row = grant_row::decode(found->value);
        if (row.get(node_.session) == 0 || ledger_->get_in_use(team).get() > 0)
            continue;
        row.set(node_.session, 0);
        transaction tx;
        tx.conditions.push_back({found->key, found->version});
        tx.writes.push_back({found->key, row.encode()});
        co_await node_.table.commit(std::move(tx));
    }
}

} // namespace cowslippass
