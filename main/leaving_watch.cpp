#include "main/leaving_watch.hpp"

#include <utility>

namespace cowslippass
{

namespace
{

/// Bounds how late news of the reader is taken over.
constexpr milliseconds check_interval{250};
/// Time between reads of one entry. With the exchange of summaries the others
/// know a change after about two seconds.
constexpr milliseconds read_interval{1'000};
/// Above this age an entry reads itself: a leaving target must get nothing
/// new after 4 s, also when the reader dies.
constexpr milliseconds max_peer_age{2'500};

} // namespace

leaving_watch::leaving_watch(
    node_context& node, peer_network& peers, change_handler on_change)
    : node_(node), peers_(peers), on_change_(std::move(on_change))
{
}

void leaving_watch::start()
{
    node_.spawn("leaving_watch", [this] { return run_loop(); });
}

asio::awaitable<void> leaving_watch::run_loop()
{
    while (true)
    {
        adopt_from_peers();
        if (is_due())
            co_await read();
        co_await node_.sleep(check_interval);
    }
}

bool leaving_watch::is_reader() const
{
    // Older sessions ask younger ones, and only the asker can tell how old an
    // answer is at most. The youngest is asked by all.
    auto live = peers_.get_live(node_.config.data_centre);
    return !live.empty() && live.back() == node_.session;
}

bool leaving_watch::is_due() const
{
    auto now = get_now();
    if (now - last_read_ < read_interval)
        return false;
    return !as_of_ || now - *as_of_ > max_peer_age || is_reader();
}

asio::awaitable<void> leaving_watch::read()
{
    last_read_ = get_now();
    auto asked = last_read_;
    auto listed = co_await node_.table.list_leaving_instances();
    if (listed)
        accept(
            {asked, node_.table.get_instance_list_etag(), std::move(*listed)});
}

void leaving_watch::adopt_from_peers()
{
    auto newest = peers_.find_newest_list();
    if (!newest || (as_of_ && newest->as_of <= *as_of_))
        return;
    // The next read of this entry then asks for later changes only.
    node_.table.set_instance_list(newest->tag, newest->leaving);
    accept(*newest);
}

void leaving_watch::accept(const listed_leaving& listed)
{
    as_of_ = listed.as_of;
    tag_ = listed.tag;
    std::set<instance_id> leaving(listed.leaving.begin(), listed.leaving.end());
    if (leaving == leaving_)
        return;
    leaving_ = std::move(leaving);
    on_change_(leaving_);
}

void leaving_watch::describe(peer_summary& out) const
{
    if (!as_of_)
        return;
    out.instance_list_age =
        std::chrono::duration_cast<milliseconds>(get_now() - *as_of_) +
        milliseconds(1);
    out.instance_list_etag = tag_;
    out.leaving.assign(leaving_.begin(), leaving_.end());
}

} // namespace cowslippass
