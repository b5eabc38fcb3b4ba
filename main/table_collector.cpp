#include "main/table_collector.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds peer_timeout{1'500};
constexpr milliseconds poll_interval{5};
constexpr const char* request_prefix = "table ";

} // namespace

table_collector::table_collector(node_context& node, peer_network& peers)
    : node_(node), peers_(peers)
{
}

void table_collector::add_source(const std::string& name, local_source source)
{
    local_[name] = std::move(source);
}

void table_collector::add_platform_source(
    const std::string& name, platform_source source)
{
    platform_[name] = std::move(source);
}

std::string table_collector::answer_peer(const std::string& text) const
{
    if (!text.starts_with(request_prefix))
        return {};
    auto it = local_.find(text.substr(std::string(request_prefix).size()));
    if (it == local_.end())
        return {};
    query_answer answer;
    answer.table = it->second();
    return encode_answer(answer);
}

asio::awaitable<void> table_collector::ask(
    session_id session, std::string name, std::shared_ptr<collection> into)
{
    auto row = node_.state.get_sessions().find(session);
    data_centre_id place = row->second.started.data_centre;
    bool was_sent = false;
    peer_body body = peer_query{request_prefix + name};
    auto reply =
        co_await peers_.call(session, std::move(body), peer_timeout, was_sent);
    bool is_answered = false;
    if (reply && std::holds_alternative<peer_query_reply>(*reply))
    {
        try
        {
            auto part = decode_answer(std::get<peer_query_reply>(*reply).json);
            for (auto& it : part.table.rows)
                into->answer.table.rows.push_back(std::move(it));
            is_answered = true;
        }
        catch (const error& e)
        {
            write_log(log_level::warn, "table_collector",
                "a peer's answer to a query was not understood",
                {{"session", session}, {"reason", std::string(e.what())}});
        }
    }
    if (!is_answered)
        into->missing.insert(place);
    --into->open;
}

asio::awaitable<query_answer> table_collector::collect(std::string name)
{
    query_answer out;
    auto platform = platform_.find(name);
    if (platform != platform_.end())
    {
        auto table = co_await platform->second();
        if (table)
            out.table = std::move(*table);
        else
            out.missing.push_back(node_.config.data_centre);
        out.table.name = name;
        co_return out;
    }
    auto local = local_.find(name);
    out.table.name = name;
    if (local == local_.end())
        co_return out;
    auto into = std::make_shared<collection>();
    into->answer.table = local->second();
    for (const auto& it : node_.state.get_sessions())
    {
        session_id session = it.first;
        if (session == node_.session)
            continue;
        ++into->open;
        node_.spawn("table_collector",
            [this, session, name, into] { return ask(session, name, into); });
    }
    while (into->open > 0)
        co_await node_.sleep(poll_interval);
    out = into->answer;
    out.table.name = name;
    out.missing.assign(into->missing.begin(), into->missing.end());
    co_return out;
}

} // namespace cowslippass
