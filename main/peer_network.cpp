#include "main/peer_network.hpp"

#include <algorithm>
#include <charconv>

namespace cowslippass
{

namespace
{

constexpr milliseconds exchange_interval{500};
/// Ticks of `exchange_interval` between summaries to other data centres.
constexpr std::uint64_t remote_exchange_ticks = 4;
constexpr milliseconds call_timeout{1'500};
constexpr milliseconds agreement_interval{1'000};
constexpr const char* entries_query = "entries-since ";
constexpr const char* heartbeat_query = "heartbeat ";
/// Peers that are asked to relay one heartbeat, one after the other.
constexpr std::size_t max_relays = 2;

/// @return the number after the prefix, or nothing for another text.
std::optional<std::uint64_t> find_number(
    const std::string& text, std::string_view prefix)
{
    std::uint64_t n = 0;
    const char* end = text.data() + text.size();
    if (!text.starts_with(prefix))
        return std::nullopt;
    auto [last, ec] = std::from_chars(text.data() + prefix.size(), end, n);
    if (ec != std::errc() || last != end)
        return std::nullopt;
    return n;
}

} // namespace

peer_network::peer_network(node_context& node, fleet_sync& sync)
    : node_(node), sync_(sync)
{
}

peer_network::~peer_network() = default;

void peer_network::log_fault(
    const std::string& code, const std::string& message) const
{
    if (code == "late_reply")
        node_.metrics.add("cowslippass_dropped_replies_total");
    write_log(log_level::warn, "peer_link", message, {{"code", code}});
}

void peer_network::listen(summary_source make_summary, request_handler handle)
{
    make_summary_ = std::move(make_summary);
    handle_ = std::move(handle);
    server_ = std::make_unique<peer_server>(
        node_.io, node_.config.peer_listen,
        [this](peer_body body) { return handle_request(std::move(body)); },
        [this](const std::string& code, const std::string& message)
        { log_fault(code, message); });
}

unsigned short peer_network::get_port() const
{
    return server_->get_port();
}

void peer_network::start()
{
    std::vector<session_id> older;
    for (const auto& [session, row] : node_.state.get_sessions())
        if (session < node_.session)
            older.push_back(session);
    node_.admission.emplace(node_.session, older);
    members_.emplace(node_.session, node_.config.data_centre);
    node_.listeners.push_back([this] { update_peers(); });
    node_.hears_data_centres = [this] { return hears_data_centres(); };
    update_peers();
    node_.spawn("peer_network", [this] { return exchange_loop(); });
    node_.spawn("peer_network", [this] { return agreement_loop(); });
}

void peer_network::stop()
{
    server_->stop();
}

void peer_network::update_peers()
{
    const auto& sessions = node_.state.get_sessions();
    members_->set_sessions(sessions, get_now());
    for (const auto& [session, it] : peers_)
        if (node_.admission && !sessions.contains(session))
            node_.admission->on_session_ended(session);
    std::erase_if(
        peers_, [&](const auto& it) { return !sessions.contains(it.first); });
    summaries_.erase_if(
        [&](session_id session) { return !sessions.contains(session); });
    for (const auto& [session, row] : sessions)
    {
        if (session == node_.session || peers_.contains(session))
            continue;
        auto added = std::make_shared<peer>();
        added->client = std::make_unique<peer_client>(
            node_.io, parse_endpoint(row.started.peer_address),
            node_.config.peer_listen.address(),
            [this](peer_body body) { return handle_request(std::move(body)); },
            [this](const std::string& code, const std::string& message)
            { log_fault(code, message); });
        peers_[session] = std::move(added);
    }
}

asio::awaitable<void> peer_network::exchange_loop()
{
    while (true)
    {
        std::vector<session_id> due = members_->get_neighbours();
        if (++tick_ % remote_exchange_ticks == 0)
            for (session_id partner : members_->choose_partners(get_now()))
                due.push_back(partner);
        for (session_id session : due)
        {
            auto it = peers_.find(session);
            if (it == peers_.end() || it->second->is_exchanging ||
                !is_initiator(session))
                continue;
            node_.spawn(
                "peer_network", [this, session] { return exchange(session); });
        }
        co_await node_.sleep(exchange_interval);
    }
}

bool peer_network::is_local(session_id session) const
{
    auto row = node_.state.get_sessions().find(session);
    return row != node_.state.get_sessions().end() &&
           row->second.started.data_centre == node_.config.data_centre;
}

bool peer_network::is_initiator(session_id session) const
{
    // One of a local pair asks, as the request and the reply tell both what
    // they need; but only the asker learns of the other's freshness.
    return !is_local(session) || node_.session < session ||
           !node_.table.is_reachable() || !node_.is_admitted();
}

asio::awaitable<void> peer_network::exchange(session_id session)
{
    auto it = peers_.find(session);
    if (it == peers_.end())
        co_return;
    // Kept alive, as the session may end during the call.
    std::shared_ptr<peer> to = it->second;
    to->is_exchanging = true;
    auto asked = get_now();
    bool was_sent = false;
    peer_body body = make_summary_for(session);
    auto reply =
        co_await to->client->call(std::move(body), call_timeout, was_sent);
    to->is_exchanging = false;
    if (!was_sent)
        members_->note_refused(session, get_now());
    if (!reply || !std::holds_alternative<peer_summary>(*reply))
        co_return;
    const auto& summary = std::get<peer_summary>(*reply);
    if (summary.session != session)
        co_return;
    accept_summary(summary);
    const peer_summary* held = summaries_.find(session);
    if (held != nullptr && held->instance_list_age)
        to->list_as_of = asked - *held->instance_list_age;
    if (summary.freshness_age)
        node_.freshness.note_peer(
            asked, *summary.freshness_age, summary.version);
    if (summary.version > node_.state.get_version())
        co_await fetch_entries(session);
}

asio::awaitable<void> peer_network::fetch_entries(session_id session)
{
    // The platform is the first source; a peer serves while it is away.
    if (is_fetching_ || node_.table.is_reachable())
        co_return;
    is_fetching_ = true;
    bool was_sent = false;
    peer_body question = peer_query{
        entries_query + std::to_string(node_.state.get_version().get())};
    auto reply =
        co_await call(session, std::move(question), call_timeout, was_sent);
    is_fetching_ = false;
    if (!reply || !std::holds_alternative<peer_query_reply>(*reply))
        co_return;
    sync_.apply_from_peer(std::get<peer_query_reply>(*reply).json);
}

void peer_network::accept_summary(const peer_summary& summary)
{
    auto it = peers_.find(summary.session);
    if (it == peers_.end())
        return;
    summaries_.accept(summary);
    members_->note_heard(summary.session, get_now());
    auto own = node_.state.get_sessions().find(node_.session);
    bool has_own_session = own != node_.state.get_sessions().end() &&
                           summary.version >= own->second.started_at;
    if (node_.admission)
        node_.admission->on_acknowledgement(
            summary.session, summary.is_admitted, has_own_session);
}

asio::awaitable<std::optional<peer_body>> peer_network::handle_request(
    peer_body body)
{
    if (std::holds_alternative<peer_hello>(body))
        co_return peer_body(peer_hello{node_.session});
    if (std::holds_alternative<peer_summary>(body))
    {
        const auto& summary = std::get<peer_summary>(body);
        accept_summary(summary);
        co_return peer_body(make_summary_for(summary.session));
    }
    if (std::holds_alternative<peer_query>(body))
    {
        const std::string& text = std::get<peer_query>(body).text;
        if (auto since = find_number(text, entries_query))
            co_return peer_body(peer_query_reply{
                sync_.get_entries_since(config_version(*since))});
        if (auto session = find_number(text, heartbeat_query))
        {
            bool is_written =
                co_await sync_.write_heartbeat(session_id(*session));
            co_return peer_body(
                peer_query_reply{is_written ? "true" : "false"});
        }
    }
    co_return co_await handle_(std::move(body));
}

asio::awaitable<void> peer_network::relay_heartbeat()
{
    std::vector<session_id> relays;
    for (const auto& [session, it] : peers_)
    {
        const peer_summary* summary = find_summary(session);
        if (summary && summary->is_platform_reachable && is_heard(session) &&
            relays.size() < max_relays)
            relays.push_back(session);
    }
    for (session_id session : relays)
    {
        bool was_sent = false;
        peer_body question =
            peer_query{heartbeat_query + std::to_string(node_.session.get())};
        auto reply =
            co_await call(session, std::move(question), call_timeout, was_sent);
        auto* answer = reply ? std::get_if<peer_query_reply>(&*reply) : nullptr;
        if (answer && answer->json == "true")
            co_return;
    }
}

asio::awaitable<void> peer_network::agreement_loop()
{
    while (true)
    {
        co_await node_.sleep(agreement_interval);
        // Only an entry that cannot reach the platform needs the agreement.
        if (node_.table.is_reachable() || node_.has_unresolved_change)
            continue;
        std::vector<session_id> members;
        for (const auto& [session, row] : node_.state.get_sessions())
            members.push_back(session);
        auto round = node_.freshness.begin_agreement_round(get_now(), members);
        node_.freshness.on_agreement_answer(round, node_.session,
            node_.state.get_version(), node_.table.is_reachable(),
            node_.has_unresolved_change);
        for (session_id session : members)
        {
            if (session == node_.session)
                continue;
            node_.spawn("agreement",
                [this, session, round]() -> asio::awaitable<void>
                {
                    bool was_sent = false;
                    peer_body body = make_summary_for(session);
                    auto reply = co_await call(
                        session, std::move(body), call_timeout, was_sent);
                    if (!reply || !std::holds_alternative<peer_summary>(*reply))
                        co_return;
                    const auto& it = std::get<peer_summary>(*reply);
                    node_.freshness.on_agreement_answer(round, it.session,
                        it.version, it.is_platform_reachable,
                        it.has_unresolved_change);
                });
        }
    }
}

asio::awaitable<std::optional<peer_body>> peer_network::call(
    session_id session, peer_body body, milliseconds timeout, bool& was_sent)
{
    was_sent = false;
    auto it = peers_.find(session);
    if (it == peers_.end())
        co_return std::nullopt;
    std::shared_ptr<peer> to = it->second;
    auto reply = co_await to->client->call(std::move(body), timeout, was_sent);
    if (!was_sent)
        members_->note_refused(session, get_now());
    co_return reply;
}

bool peer_network::is_heard(session_id session) const
{
    return members_ && !members_->is_suspect(session, get_now());
}

bool peer_network::hears_data_centres() const
{
    return std::ranges::all_of(node_.state.get_sessions(), [&](const auto& it)
        { return !get_live(it.second.started.data_centre).empty(); });
}

void peer_network::set_leaving(std::set<entry_id> entries)
{
    if (members_)
        members_->set_leaving(std::move(entries));
}

std::vector<session_id> peer_network::get_live(
    const data_centre_id& data_centre) const
{
    if (!members_)
        return {};
    std::vector<session_id> out = members_->get_live(data_centre, get_now());
    std::erase_if(out,
        [&](session_id session)
        {
            if (session == node_.session)
                return node_.is_leaving;
            const peer_summary* summary = find_summary(session);
            return summary && summary->is_leaving;
        });
    return out;
}

std::optional<session_id> peer_network::find_owner(
    const pool_id& pool, const data_centre_id& data_centre) const
{
    return choose_pool_owner(pool, get_live(data_centre));
}

peer_summary peer_network::make_summary_for(session_id reader)
{
    bool is_near = is_local(reader);
    peer_summary out = make_summary_(is_near);
    summaries_.prepare(reader, is_near, out);
    return out;
}

std::optional<listed_leaving> peer_network::find_newest_list() const
{
    std::optional<listed_leaving> out;
    for (const auto& [session, it] : peers_)
    {
        const peer_summary* summary = summaries_.find(session);
        bool is_usable = it->list_as_of && summary != nullptr &&
                         summary->instance_list_age && is_local(session);
        if (!is_usable || (out && it->list_as_of <= out->as_of))
            continue;
        out = listed_leaving{
            *it->list_as_of, summary->instance_list_etag, summary->leaving};
    }
    return out;
}

const peer_summary* peer_network::find_summary(session_id session) const
{
    return summaries_.find(session);
}

std::size_t peer_network::count_connections() const
{
    std::size_t n = server_->count_open_connections();
    for (const auto& [session, it] : peers_)
        n += it->client->is_connected();
    return n;
}

std::vector<peer_summary> peer_network::get_summaries() const
{
    return summaries_.list();
}

} // namespace cowslippass
