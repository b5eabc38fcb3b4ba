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

void table_collector::add_absent_row(
    const std::string& name, absent_row make_row)
{
    absent_rows_[name] = std::move(make_row);
}

void table_collector::add_derived(const std::string& name,
    const std::string& from,
    std::function<query_table(const query_table&)> derive)
{
    derived_[name] = {from, std::move(derive)};
}

std::set<std::string> table_collector::get_names() const
{
    std::set<std::string> out;
    for (const auto& it : local_)
        out.insert(it.first);
    for (const auto& it : platform_)
        out.insert(it.first);
    for (const auto& it : derived_)
        out.insert(it.first);
    return out;
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
            // An entry of another version may have other columns.
            is_answered = part.table.columns == into->answer.table.columns;
            if (is_answered)
                for (auto& it : part.table.rows)
                    into->answer.table.rows.push_back(std::move(it));
        }
        catch (const error& e)
        {
            write_log(log_level::warn, "table_collector",
                "a peer's answer to a query was not understood",
                {{"session", session}, {"reason", std::string(e.what())}});
        }
    }
    if (!is_answered)
    {
        into->missing.insert(place);
        into->absent.push_back(session);
    }
    --into->open;
}

asio::awaitable<query_answer> table_collector::collect(std::string name)
{
    query_answer out;
    auto made = derived_.find(name);
    if (made != derived_.end())
    {
        std::string from = made->second.from;
        out = co_await collect(from);
        out.table = made->second.derive(out.table);
        co_return out;
    }
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
    auto absent = absent_rows_.find(name);
    if (absent != absent_rows_.end())
        for (session_id session : into->absent)
            if (node_.state.get_sessions().contains(session))
                out.table.rows.push_back(absent->second(session));
    out.missing.assign(into->missing.begin(), into->missing.end());
    co_return out;
}

} // namespace cowslippass
