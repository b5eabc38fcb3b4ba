#include "main/janitor.hpp"

#include "systems/fleet_planner.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds janitor_interval{1'000};
constexpr std::size_t scan_limit = 500;
/// A snapshot at 20,000 changes a day is then written every 15 minutes.
constexpr std::uint64_t versions_per_snapshot = 200;
/// Entries that lag less than this still find the log entries.
constexpr std::uint64_t versions_kept = 1'000;
constexpr std::size_t trimmed_at_once = 100;

} // namespace

janitor::janitor(node_context& node, fleet_sync& sync, grant_keeper& grants)
    : node_(node), sync_(sync), grants_(grants), lease_(node, "janitor"),
      cleaner_(
          node.table,
          {node.config.request_lifetime, node.config.command_lifetime,
              node.config.clean_up_writes_per_second},
          [this] { return get_fence(); },
          [this](session_id session) { return is_gone(session); })
{
}

void janitor::start()
{
    node_.listeners.push_back([this] { note_ended_sessions(); });
    note_ended_sessions();
    lease_.start();
    node_.spawn("janitor", [this] { return run_loop(); });
    node_.spawn("janitor", [this] { return clean_loop(); });
}

asio::awaitable<void> janitor::stop()
{
    co_await lease_.release();
}

void janitor::note_ended_sessions()
{
    const auto& sessions = node_.state.get_sessions();
    for (session_id session : live_)
        if (!sessions.contains(session))
            ended_.emplace(session, get_now());
    live_.clear();
    for (const auto& [session, row] : sessions)
        live_.insert(session);
}

monotonic_time janitor::observe_ended(session_id session)
{
    // Sessions that ended before this entry started count from now.
    return ended_.emplace(session, get_now()).first->second;
}

asio::awaitable<void> janitor::run_loop()
{
    while (true)
    {
        co_await node_.sleep(janitor_interval);
        if (!is_on_duty())
        {
            // Silence counts only while this entry has watched throughout.
            heartbeats_.clear();
            continue;
        }
        try
        {
            co_await check_heartbeats();
            co_await release_grants();
            co_await write_snapshot();
        }
        catch (const error& e)
        {
            write_log(log_level::error, "janitor", "a round failed",
                {{"code", e.get_code()}, {"reason", std::string(e.what())}});
        }
    }
}

bool janitor::is_on_duty() const
{
    return lease_.is_held() && node_.is_admitted() && node_.may_start();
}

std::optional<row_condition> janitor::get_fence() const
{
    if (!is_on_duty())
        return std::nullopt;
    return lease_.get_condition();
}

bool janitor::is_gone(session_id session)
{
    return !live_.contains(session) &&
           get_now() > grant_ledger::get_ended_session_release_time(
                           observe_ended(session));
}

// Apart from the other loop, which a slow clean-up must not delay.
asio::awaitable<void> janitor::clean_loop()
{
    while (true)
    {
        co_await node_.sleep(janitor_interval);
        if (!is_on_duty())
            continue;
        try
        {
            co_await cleaner_.step();
        }
        catch (const error& e)
        {
            write_log(log_level::error, "janitor", "a clean-up failed",
                {{"code", e.get_code()}, {"reason", std::string(e.what())}});
        }
    }
}

asio::awaitable<void> janitor::check_heartbeats()
{
    auto page = co_await node_.table.scan(heartbeat_prefix, "", scan_limit);
    if (!page)
    {
        heartbeats_.clear();
        co_return;
    }
    std::map<session_id, row_version> found;
    for (const auto& it : page->rows)
    {
        std::string digits =
            it.key.substr(std::string_view(heartbeat_prefix).size());
        found[session_id(std::stoull(digits))] = it.version;
    }
    // A session that died before its first heartbeat has no row.
    for (session_id session : live_)
        found.emplace(session, row_version(0));
    auto now = get_now();
    std::vector<std::pair<session_id, row_version>> dead;
    for (const auto& [session, version] : found)
    {
        if (session == node_.session)
            continue;
        auto [it, is_new] =
            heartbeats_.try_emplace(session, heartbeat{version, now});
        if (it->second.version != version)
            it->second = {version, now};
        bool is_silent = now - it->second.since >= node_.config.session_death;
        if (is_silent && live_.contains(session))
            dead.emplace_back(session, version);
        else if (is_silent && version.get() != 0)
        {
            transaction tx;
            tx.conditions.push_back({get_heartbeat_key(session), version});
            tx.writes.push_back({get_heartbeat_key(session), std::nullopt});
            co_await node_.table.commit(std::move(tx));
            heartbeats_.erase(session);
        }
    }
    for (const auto& [session, version] : dead)
        co_await end_session(session, version);
}

asio::awaitable<void> janitor::end_session(session_id session, row_version beat)
{
    // The condition on the heartbeat row keeps a janitor that was paused from
    // ending a session that has shown itself since.
    std::vector<row_condition> conditions{
        {get_heartbeat_key(session), beat}, lease_.get_condition()};
    command_id command("end-session-" + std::to_string(session.get()));
    fleet_sync::planner planner = [session](const fleet_state& state)
    { return plan_session_end(state, session); };
    auto result = co_await sync_.append(
        command, std::move(planner), std::move(conditions));
    write_log(log_level::warn, "janitor", "a session's heartbeat has stopped",
        {{"session", session},
            {"ended", result.status == append_status::committed}});
    heartbeats_.erase(session);
}

asio::awaitable<void> janitor::release_grants()
{
    auto now = get_now();
    auto page = co_await node_.table.scan("grants/", "", scan_limit);
    if (!page)
        co_return;
    for (const auto& it : page->rows)
    {
        team_id team(it.key.substr(std::string_view("grants/").size()));
        for (const auto& [session, n] : grant_row::decode(it.value).holders)
        {
            if (live_.contains(session))
                continue;
            auto ended = observe_ended(session);
            if (now < grant_ledger::get_ended_session_release_time(ended))
                continue;
            bool is_released =
                co_await grants_.release_dead(session, team, ended);
            write_log(log_level::info, "janitor",
                "grants of an ended session were released",
                {{"session", session}, {"team", team}, {"grants", n},
                    {"done", is_released}});
        }
    }
}

asio::awaitable<void> janitor::write_snapshot()
{
    config_version version = node_.state.get_version();
    if (version.get() < snapshot_version_.get() + versions_per_snapshot)
        co_return;
    auto found = co_await node_.table.read(fleet_snapshot_key);
    if (!found)
        co_return;
    if (found->version.get() != 0)
        snapshot_version_ =
            fleet_state::decode_snapshot(found->value).get_version();
    if (version.get() < snapshot_version_.get() + versions_per_snapshot)
        co_return;
    transaction tx;
    tx.conditions.push_back({fleet_snapshot_key, found->version});
    tx.conditions.push_back(lease_.get_condition());
    tx.writes.push_back({fleet_snapshot_key, node_.state.encode_snapshot()});
    auto result = co_await node_.table.commit(std::move(tx));
    if (result.outcome != transaction_outcome::committed)
        co_return;
    snapshot_version_ = version;
    write_log(log_level::info, "janitor", "a snapshot was written",
        {{"version", version}});
    if (version.get() <= versions_kept)
        co_return;
    auto old =
        co_await node_.table.scan(fleet_log_prefix, "", trimmed_at_once * 4);
    if (!old)
        co_return;
    std::string keep =
        get_fleet_log_key(config_version(version.get() - versions_kept));
    transaction trim;
    trim.conditions.push_back(lease_.get_condition());
    for (const auto& it : old->rows)
        if (it.key < keep)
            trim.writes.push_back({it.key, std::nullopt});
    if (!trim.writes.empty())
        co_await node_.table.commit(std::move(trim));
}

} // namespace cowslippass
