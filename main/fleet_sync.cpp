#include "main/fleet_sync.hpp"

#include "systems/fleet_planner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds head_read_interval{1'000};
constexpr milliseconds retry_interval{250};
constexpr std::size_t entries_per_read = 200;
/// At 0.27 changes a second this covers an hour's cut between regions.
constexpr std::size_t max_recent_entries = 1'000;
/// Bounds the catch-up and planning rounds of one command under contention.
constexpr int max_append_rounds = 16;
/// Bounds the retries of a command whose replies are lost.
constexpr milliseconds append_time_limit{8'000};
/// How long the unknown outcome of an append is looked into.
constexpr milliseconds resolve_time_limit{600'000};

/// @return whether one of the caller's own conditions failed, which no retry
///   can change.
bool is_superseded(const transaction_result& result,
    const std::vector<row_condition>& conditions)
{
    return std::ranges::any_of(conditions, [&](const row_condition& it)
        { return std::ranges::count(result.failed, it.key) > 0; });
}

} // namespace

std::string get_heartbeat_key(session_id session)
{
    return heartbeat_prefix + std::to_string(session.get());
}

fleet_sync::fleet_sync(node_context& node) : node_(node) {}

void fleet_sync::apply_entry(config_version version, const std::string& records)
{
    if (version <= node_.state.get_version())
        return;
    node_.state.apply(version, decode_records(records));
    node_.freshness.note_version(version);
    recent_.emplace_back(version, records);
    if (recent_.size() > max_recent_entries)
        recent_.pop_front();
}

asio::awaitable<bool> fleet_sync::load_snapshot()
{
    auto found = co_await node_.table.read(fleet_snapshot_key);
    if (!found)
        co_return false;
    if (found->version.get() == 0)
        co_return true;
    fleet_state loaded = fleet_state::decode_snapshot(found->value);
    // An older state is never installed.
    if (loaded.get_version() <= node_.state.get_version())
        co_return true;
    node_.state = std::move(loaded);
    node_.freshness.note_version(node_.state.get_version());
    recent_.clear();
    co_return true;
}

asio::awaitable<bool> fleet_sync::read_entries(config_version until)
{
    while (node_.state.get_version() < until)
    {
        config_version before = node_.state.get_version();
        auto page = co_await node_.table.scan(
            fleet_log_prefix, get_fleet_log_key(before), entries_per_read);
        if (!page)
            co_return false;
        config_version next(node_.state.get_version().get() + 1);
        bool has_gap = page->rows.empty() ||
                       page->rows.front().key > get_fleet_log_key(next);
        if (has_gap)
        {
            // The entries were trimmed behind a snapshot.
            if (!co_await load_snapshot())
                co_return false;
            if (node_.state.get_version() < next)
                co_return false;
            continue;
        }
        for (const auto& it : page->rows)
        {
            std::string digits =
                it.key.substr(std::string_view(fleet_log_prefix).size());
            apply_entry(config_version(std::stoull(digits)), it.value);
        }
    }
    co_return true;
}

asio::awaitable<bool> fleet_sync::catch_up()
{
    auto sent = get_now();
    auto found = co_await node_.table.read(fleet_head_key);
    if (!found)
        co_return false;
    fleet_head head = decode_fleet_head(*found);
    config_version before = node_.state.get_version();
    if (head.version > before && !co_await read_entries(head.version))
        co_return false;
    if (head.version >= head_.version)
        head_ = head;
    node_.freshness.note_head_read(sent, head.version);
    if (node_.state.get_version() > before)
        node_.notify_changed();
    co_return true;
}

void fleet_sync::apply_from_peer(const std::string& entries)
{
    config_version before = node_.state.get_version();
    json body = json::parse(entries);
    for (const auto& it : body.at("entries"))
    {
        config_version version(it.at("version").get<std::uint64_t>());
        if (version.get() == node_.state.get_version().get() + 1)
            apply_entry(version, it.at("records").get<std::string>());
    }
    if (node_.state.get_version() > before)
        node_.notify_changed();
}

std::string fleet_sync::get_entries_since(config_version version) const
{
    json entries = json::array();
    for (const auto& [it, records] : recent_)
    {
        if (it > version && entries.size() < entries_per_read)
            entries.push_back({{"version", it.get()}, {"records", records}});
    }
    return json{{"entries", entries}}.dump();
}

asio::awaitable<std::optional<append_result>> fleet_sync::find_committed(
    command_id command)
{
    auto found = co_await node_.table.read(get_fleet_command_key(command));
    if (!found)
        co_return std::nullopt;
    append_result out;
    if (found->version.get() == 0)
        co_return out;
    out.status = append_status::committed;
    out.version = decode_fleet_command(*found);
    co_return out;
}

asio::awaitable<append_result> fleet_sync::append(
    command_id command, planner plan, std::vector<row_condition> conditions)
{
    auto give_up = get_now() + append_time_limit;
    bool may_have_committed = false;
    fleet_head base;
    for (int round = 0; round < max_append_rounds && get_now() < give_up;
         ++round)
    {
        std::optional<append_result> found;
        if (co_await catch_up())
            found = co_await find_committed(command);
        if (!found)
        {
            if (!may_have_committed)
                co_return append_result{};
            co_await node_.sleep(retry_interval);
            continue;
        }
        if (found->status == append_status::committed)
            co_return *found;
        // After a long pause the row of the command may have been removed.
        if (get_now() >= give_up)
            break;
        std::vector<fleet_record> records = plan(node_.state);
        base = head_;
        // A planner sees the state in hand; the head row must be of that
        // version, or the condition would not cover what was planned on.
        if (base.version != node_.state.get_version())
            continue;
        transaction tx =
            make_fleet_append(base, records, command, node_.table.get_time());
        tx.conditions.insert(
            tx.conditions.end(), conditions.begin(), conditions.end());
        transaction_result result = co_await node_.table.commit(std::move(tx));
        if (is_superseded(result, conditions))
            co_return append_result{};
        if (result.outcome == transaction_outcome::committed)
        {
            append_result out;
            out.status = append_status::committed;
            out.version = config_version(base.version.get() + 1);
            out.records = records.size();
            co_await catch_up();
            co_return out;
        }
        if (result.outcome == transaction_outcome::unknown)
            may_have_committed = true;
        if (result.outcome == transaction_outcome::unavailable &&
            !may_have_committed)
            co_return append_result{};
        if (result.outcome != transaction_outcome::conflict)
            co_await node_.sleep(retry_interval);
    }
    append_result out;
    if (!may_have_committed)
        co_return out;
    out.status = append_status::unknown;
    node_.has_unresolved_change = true;
    node_.spawn("fleet_sync",
        [this, command, base] { return resolve_unknown(command, base); });
    co_return out;
}

asio::awaitable<void> fleet_sync::resolve_unknown(
    command_id command, fleet_head base)
{
    auto give_up = get_now() + resolve_time_limit;
    while (get_now() < give_up)
    {
        co_await node_.sleep(retry_interval);
        // Once the head has moved, the lost append cannot commit any more.
        if (co_await catch_up() && head_.head_row != base.head_row)
            break;
        auto found = co_await find_committed(command);
        if (found && found->status == append_status::committed)
            break;
    }
    node_.has_unresolved_change = false;
}

asio::awaitable<void> fleet_sync::join()
{
    command_id command("session-" + node_.nonce);
    planner planner = [this](const fleet_state& state)
    {
        session_started_record started;
        started.entry = node_.config.entry;
        started.data_centre = node_.config.data_centre;
        started.peer_address = node_.config.peer_advertise;
        started.http_address = node_.config.http_advertise;
        started.nonce = node_.nonce;
        return plan_session_start(state, started);
    };
    while (true)
    {
        bool is_loaded = co_await load_snapshot();
        append_result result;
        if (is_loaded)
            result = co_await append(command, planner);
        auto session = node_.state.find_session_by_nonce(node_.nonce);
        if (result.status == append_status::committed && session)
        {
            node_.session = *session;
            node_.notify_changed();
            co_return;
        }
        write_log(log_level::warn, "fleet_sync",
            "the platform does not answer; the session is not registered yet");
        co_await node_.sleep(milliseconds(500));
    }
}

void fleet_sync::start(std::function<asio::awaitable<void>()> relay)
{
    node_.spawn("head_loop", [this] { return head_loop(); });
    node_.spawn("heartbeat_loop",
        [this, relay = std::move(relay)] { return heartbeat_loop(relay); });
}

asio::awaitable<void> fleet_sync::head_loop()
{
    bool was_reachable = true;
    while (true)
    {
        bool is_reachable = false;
        try
        {
            is_reachable = co_await catch_up();
        }
        catch (const error& e)
        {
            write_log(log_level::error, "fleet_sync",
                "the fleet log could not be applied",
                {{"code", e.get_code()}, {"reason", std::string(e.what())}});
        }
        if (is_reachable != was_reachable)
            write_log(log_level::warn, "fleet_sync",
                is_reachable ? "the platform answers again"
                             : "the platform does not answer",
                {{"version", node_.state.get_version()}});
        was_reachable = is_reachable;
        co_await node_.sleep(head_read_interval);
    }
}

asio::awaitable<bool> fleet_sync::write_heartbeat(session_id session)
{
    if (!node_.state.get_sessions().contains(session))
        co_return false;
    transaction beat;
    beat.writes.push_back({get_heartbeat_key(session), "{}"});
    auto result = co_await node_.table.commit(std::move(beat));
    co_return result.outcome == transaction_outcome::committed;
}

asio::awaitable<void> fleet_sync::heartbeat_loop(
    std::function<asio::awaitable<void>()> relay)
{
    while (true)
    {
        bool is_written = co_await write_heartbeat(node_.session);
        if (!is_written)
            co_await relay();
        co_await node_.sleep(node_.config.heartbeat_interval);
    }
}

} // namespace cowslippass
