#include "main/peer_network.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

constexpr milliseconds exchange_interval{500};
/// Ticks of `exchange_interval` between summaries to other data centres.
constexpr std::uint64_t remote_exchange_ticks = 4;
constexpr std::size_t partners_per_data_centre = 2;
constexpr milliseconds call_timeout{1'500};
/// A peer without a summary for this long is suspected.
constexpr milliseconds suspect_limit{2'000};
/// Summaries cross data centres four times less often.
constexpr milliseconds remote_suspect_limit{6'000};
constexpr milliseconds agreement_interval{1'000};

} // namespace

peer_network::peer_network(node_context& node, fleet_sync& sync)
    : node_(node), sync_(sync)
{
}

peer_network::~peer_network() = default;

void peer_network::log_fault(
    const std::string& code, const std::string& message) const
{
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
    node_.listeners.push_back([this] { update_peers(); });
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
    for (const auto& [session, it] : peers_)
        if (node_.admission && !sessions.contains(session))
            node_.admission->on_session_ended(session);
    std::erase_if(
        peers_, [&](const auto& it) { return !sessions.contains(it.first); });
    for (const auto& [session, row] : sessions)
    {
        if (session == node_.session || peers_.contains(session))
            continue;
        auto added = std::make_shared<peer>();
        added->first_seen = get_now();
        added->client = std::make_unique<peer_client>(
            node_.io, parse_endpoint(row.started.peer_address),
            node_.config.peer_listen.address(),
            [this](peer_body body) { return handle_request(std::move(body)); },
            [this](const std::string& code, const std::string& message)
            { log_fault(code, message); });
        peers_[session] = std::move(added);
    }
}

bool peer_network::is_exchange_due(session_id session, const peer& it) const
{
    if (it.is_exchanging)
        return false;
    const auto& own = node_.config.data_centre;
    const auto& theirs =
        node_.state.get_sessions().at(session).started.data_centre;
    if (theirs == own)
        return true;
    if (tick_ % remote_exchange_ticks != 0)
        return false;
    // Each entry has two partners in each other data centre, spread by hash.
    std::vector<session_id> remote;
    for (const auto& [id, row] : node_.state.get_sessions())
        if (row.started.data_centre == theirs)
            remote.push_back(id);
    std::size_t first =
        hash_64(std::to_string(node_.session.get()) + "/" + theirs.get()) %
        remote.size();
    for (std::size_t i = 0;
         i < std::min(partners_per_data_centre, remote.size()); ++i)
        if (remote[(first + i) % remote.size()] == session)
            return true;
    return false;
}

asio::awaitable<void> peer_network::exchange_loop()
{
    while (true)
    {
        ++tick_;
        std::vector<session_id> due;
        for (const auto& [session, it] : peers_)
            if (is_exchange_due(session, *it))
                due.push_back(session);
        for (session_id session : due)
            node_.spawn(
                "peer_network", [this, session] { return exchange(session); });
        co_await node_.sleep(exchange_interval);
    }
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
    peer_body body = make_summary_();
    auto reply =
        co_await to->client->call(std::move(body), call_timeout, was_sent);
    to->is_exchanging = false;
    if (!reply || !std::holds_alternative<peer_summary>(*reply))
        co_return;
    const auto& summary = std::get<peer_summary>(*reply);
    if (summary.session != session)
        co_return;
    accept_summary(summary);
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
        "entries-since " + std::to_string(node_.state.get_version().get())};
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
    it->second->summary = summary;
    it->second->last_heard = get_now();
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
        accept_summary(std::get<peer_summary>(body));
        co_return peer_body(make_summary_());
    }
    if (std::holds_alternative<peer_query>(body))
    {
        const std::string& text = std::get<peer_query>(body).text;
        const std::string prefix = "entries-since ";
        if (text.starts_with(prefix))
        {
            config_version since(std::stoull(text.substr(prefix.size())));
            co_return peer_body(
                peer_query_reply{sync_.get_entries_since(since)});
        }
    }
    co_return co_await handle_(std::move(body));
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
                    peer_body body = make_summary_();
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
    co_return co_await to->client->call(std::move(body), timeout, was_sent);
}

bool peer_network::is_heard(session_id session) const
{
    if (session == node_.session)
        return true;
    auto it = peers_.find(session);
    if (it == peers_.end())
        return false;
    auto row = node_.state.get_sessions().find(session);
    bool is_local = row != node_.state.get_sessions().end() &&
                    row->second.started.data_centre == node_.config.data_centre;
    auto limit = is_local ? suspect_limit : remote_suspect_limit;
    auto since =
        it->second->summary ? it->second->last_heard : it->second->first_seen;
    return get_now() - since <= limit;
}

std::vector<session_id> peer_network::get_live(
    const data_centre_id& data_centre) const
{
    std::vector<session_id> out;
    bool is_local = data_centre == node_.config.data_centre;
    for (const auto& [session, row] : node_.state.get_sessions())
    {
        if (row.started.data_centre != data_centre)
            continue;
        if (session == node_.session)
        {
            if (!node_.is_leaving)
                out.push_back(session);
            continue;
        }
        // Most entries of other data centres send no summaries here.
        if (is_local && !is_heard(session))
            continue;
        const peer_summary* summary = find_summary(session);
        if (summary && summary->is_leaving)
            continue;
        out.push_back(session);
    }
    return out;
}

std::optional<session_id> peer_network::find_owner(
    const pool_id& pool, const data_centre_id& data_centre) const
{
    return choose_pool_owner(pool, get_live(data_centre));
}

const peer_summary* peer_network::find_summary(session_id session) const
{
    auto it = peers_.find(session);
    if (it == peers_.end() || !it->second->summary)
        return nullptr;
    return &*it->second->summary;
}

std::vector<peer_summary> peer_network::get_summaries() const
{
    std::vector<peer_summary> out;
    for (const auto& [session, it] : peers_)
        if (it->summary)
            out.push_back(*it->summary);
    return out;
}

} // namespace cowslippass
