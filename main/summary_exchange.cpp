#include "main/summary_exchange.hpp"

#include <utility>

namespace cowslippass
{

namespace
{

bool has_same_lists(const peer_summary& a, const peer_summary& b)
{
    return a.pools == b.pools && a.teams == b.teams &&
           a.instance_list_etag == b.instance_list_etag &&
           a.leaving == b.leaving;
}

void move_lists(peer_summary& from, peer_summary& to)
{
    to.pools = std::move(from.pools);
    to.teams = std::move(from.teams);
    to.instance_list_etag = std::move(from.instance_list_etag);
    to.leaving = std::move(from.leaving);
}

} // namespace

std::uint32_t summary_exchange::number(bool is_local, const peer_summary& own)
{
    numbered_lists& last = own_lists_[is_local ? 1 : 0];
    if (last.revision != 0 && has_same_lists(last.content, own))
        return last.revision;
    last.content = own;
    // One count for both kinds, as a reader may change its kind when its
    // session becomes known.
    last.revision = ++last_revision_;
    return last.revision;
}

void summary_exchange::prepare(
    session_id reader, bool is_local, peer_summary& own)
{
    own.revision = number(is_local, own);
    const peer_summary* held = find(reader);
    if (held == nullptr)
        return;
    own.known_revision = held->revision;
    if (held->known_revision != own.revision)
        return;
    own.has_lists = false;
    peer_summary dropped;
    move_lists(own, dropped);
}

void summary_exchange::accept(peer_summary received)
{
    peer_summary& held = held_[received.session];
    bool is_complete = received.has_lists;
    if (!is_complete && held.revision == received.revision)
    {
        move_lists(held, received);
        is_complete = true;
    }
    if (!is_complete)
    {
        received.revision = 0;
        received.instance_list_age.reset();
    }
    held = std::move(received);
}

const peer_summary* summary_exchange::find(session_id peer) const
{
    auto it = held_.find(peer);
    return it == held_.end() ? nullptr : &it->second;
}

std::vector<peer_summary> summary_exchange::list() const
{
    std::vector<peer_summary> out;
    for (const auto& [session, it] : held_)
        out.push_back(it);
    return out;
}

void summary_exchange::erase_if(const std::function<bool(session_id)>& is_gone)
{
    std::erase_if(held_, [&](const auto& it) { return is_gone(it.first); });
}

} // namespace cowslippass
