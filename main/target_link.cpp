#include "main/target_link.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// Waiting time of a sync while tasks run; bounds how late silence is seen.
constexpr milliseconds sync_wait{400};
/// Time between syncs of a target that had tasks a moment ago.
constexpr milliseconds active_sync_interval{1'000};
/// Time between syncs of an idle target. They make most of an entry's control
/// traffic; a start confirms the target before it is sent, so that silence
/// found late delays work by `confirm_timeout` only. Below the idle age at
/// which a connection is replaced.
constexpr milliseconds idle_sync_interval{4'000};
/// Without tasks for this long a target counts as idle.
constexpr milliseconds idle_after{3'000};
constexpr milliseconds silent_retry_interval{200};
/// A target that does not confirm a start within this time is passed over.
/// Nothing has been sent to it yet, so the task may go elsewhere at once; two
/// silent targets in turn leave time within the start bound of 2.2 s.
constexpr milliseconds confirm_timeout{500};
/// A clock reading older than this is renewed before a deadline is made.
constexpr milliseconds max_reading_age{500};

} // namespace

target_link::target_link(node_context& node, instance_id id,
    const tcp::endpoint& endpoint, observer callbacks)
    : node_(node), id_(std::move(id)), client_(node.io, endpoint),
      observer_(std::move(callbacks)), idle_timer_(node.io),
      last_answer_(get_now()), active_until_(get_now() + idle_after)
{
}

void target_link::start()
{
    node_.spawn("target_link",
        [self = shared_from_this()] { return self->sync_loop(); });
}

void target_link::stop()
{
    is_stopped_ = true;
    idle_timer_.cancel();
}

void target_link::add_task(const task_id& id)
{
    tasks_.insert(id);
    sync_soon();
}

void target_link::remove_task(const task_id& id)
{
    if (tasks_.erase(id) > 0)
        active_until_ = get_now() + idle_after;
}

void target_link::sync_soon()
{
    idle_timer_.cancel();
}

milliseconds target_link::get_silence() const
{
    auto since = last_answer_;
    if (client_.get_clock_reading())
        since = std::max(since, client_.get_clock_reading()->received);
    return std::chrono::duration_cast<milliseconds>(get_now() - since);
}

milliseconds target_link::get_pause(bool is_answered) const
{
    if (!is_answered)
        return silent_retry_interval;
    bool is_active = !tasks_.empty() || get_now() < active_until_;
    return is_active ? active_sync_interval : idle_sync_interval;
}

asio::awaitable<bool> target_link::sync_once()
{
    std::vector<task_id> renew;
    if (node_.may_renew())
        renew.assign(tasks_.begin(), tasks_.end());
    renewed_ = !renew.empty();
    milliseconds wait = renew.empty() ? milliseconds(0) : sync_wait;
    auto answer = co_await client_.sync(
        node_.session, node_.config.task_lease, wait, std::move(renew));
    if (is_stopped_)
        co_return true;
    if (!answer)
    {
        observer_.on_silence(id_, get_silence());
        co_return false;
    }
    last_answer_ = get_now();
    observer_.on_answer(id_, *answer);
    for (const auto& it : answer->tasks)
        if (it.state != target_task_state::running && tasks_.contains(it.id))
            observer_.on_task_ended(it.id, it.state);
    co_return true;
}

asio::awaitable<void> target_link::sync_loop()
{
    auto self = shared_from_this();
    while (!is_stopped_)
    {
        bool is_answered = co_await sync_once();
        bool is_renewing = is_answered && !tasks_.empty() && renewed_;
        if (is_renewing)
            continue;
        idle_timer_.expires_after(get_pause(is_answered));
        boost::system::error_code ec;
        co_await idle_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<std::optional<target_clock_reading>>
target_link::make_start_deadline()
{
    auto reading = client_.get_clock_reading();
    if (!reading || get_now() - reading->received > max_reading_age)
    {
        auto answer = co_await client_.probe(confirm_timeout);
        if (!answer)
        {
            // The sync decides whether the target is silent.
            sync_soon();
            co_return std::nullopt;
        }
        // The slots may have been taken since the last sync.
        if (!is_stopped_)
            observer_.on_answer(id_, *answer);
        reading = client_.get_clock_reading();
    }
    // The freshness is checked after the reading arrived, so that a pause
    // between the two cannot lead to a start on stale configuration.
    auto allowed_until = node_.get_start_deadline();
    if (!allowed_until || !reading)
        co_return std::nullopt;
    auto time_left = std::chrono::duration_cast<milliseconds>(
        *allowed_until - reading->received);
    milliseconds ahead = std::min(node_.config.start_deadline, time_left);
    reading->time = target_time(reading->time.get() + ahead.count());
    co_return reading;
}

} // namespace cowslippass
