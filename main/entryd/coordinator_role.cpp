#include "main/entryd/coordinator_role.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"
#include "drivers/metrics.hpp"

#include <random>

namespace cowslippass
{

namespace
{

constexpr milliseconds probe_interval{250};
/// A coordinator that needs longer to reply is suspected; one read of the head
/// row then shows whether it renews its term.
constexpr milliseconds probe_timeout{300};
/// Pause between reads of the head row while the coordinator is suspected.
constexpr milliseconds head_read_interval{150};
constexpr milliseconds read_timeout{1'000};
constexpr milliseconds takeover_timeout{1'000};
/// Random delay of a takeover, so that candidates that detect the same failure
/// do not all write at once.
constexpr int max_jitter_ms = 40;
/// Entries with a small processor share wait this much longer before a
/// takeover. This exceeds the time between the first detection of a failure
/// and the detection by an entry with a large share.
constexpr milliseconds low_processor_takeover_delay{600};
/// An entry is low on processor if it has less than this fraction of the
/// largest processor share.
constexpr double low_processor_ratio = 0.8;
/// A coordinator that is low on processor keeps the role at least this long
/// before it releases it to an entry with a larger share.
constexpr milliseconds min_term_time{3'000};
constexpr milliseconds pause_between_calls{50};
/// A coordinator that has answered neither calls nor three probes in a row has
/// probably failed.
constexpr milliseconds max_silence{900};
/// A reply that is older than this does not show that the coordinator still
/// works.
constexpr milliseconds max_reply_age{2'500};
/// The coordinator rewrites the head row more often than this.
constexpr milliseconds max_head_change_age{1'000};
/// Upper bound on the time for a peer's call; the peer gives up earlier.
constexpr milliseconds max_peer_call_time{5'000};
constexpr int max_recovery_attempts = 5;

milliseconds get_time_left(boot_time deadline)
{
    return std::chrono::duration_cast<milliseconds>(
        deadline - boot_clock::now());
}

milliseconds draw_jitter()
{
    static std::mt19937 generator{std::random_device{}()};
    return milliseconds(
        std::uniform_int_distribution<int>(0, max_jitter_ms)(generator));
}

asio::awaitable<void> wait_on(asio::steady_timer& timer, milliseconds time)
{
    timer.expires_after(time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace

coordinator_role::coordinator_role(asio::io_context& io,
    const entry_settings& settings, store_client& store,
    metrics_registry& metrics, const task_supervisor& tasks,
    const config_watcher& config)
    : io_(io), settings_(settings), store_(store), metrics_(metrics),
      tasks_(tasks), config_(config), boot_id_(make_random_hex(8)),
      address_(format_endpoint(settings.peer_listen)),
      election_(boot_id_, address_), probe_timer_(io)
{
}

std::uint32_t coordinator_role::get_own_processor_share() const
{
    return static_cast<std::uint32_t>(settings_.processor_share * 1'000);
}

bool coordinator_role::is_low_on_processor() const
{
    return get_own_processor_share() <
           max_processor_share_ * low_processor_ratio;
}

bool coordinator_role::is_coordinator_known() const
{
    if (is_coordinator())
        return true;
    return last_coordinator_reply_at_ &&
           boot_clock::now() - *last_coordinator_reply_at_ < max_reply_age;
}

bool coordinator_role::can_reach_coordinator() const
{
    if (is_coordinator_known())
        return true;
    if (!last_coordinator_reply_at_)
        return false;
    bool is_coordinator_at_work =
        head_changed_at_ &&
        boot_clock::now() - *head_changed_at_ < max_head_change_age;
    return !is_coordinator_at_work;
}

void coordinator_role::suspect_coordinator()
{
    election_.record_probe_failure();
    probe_timer_.cancel();
}

void coordinator_role::handle_published_change()
{
    if (is_coordinator())
        runner_->set_published_state(config_.get_state());
}

void coordinator_role::resign()
{
    is_resigning_ = true;
    if (is_coordinator())
        runner_->release();
}

asio::awaitable<std::optional<peer_coordinator_reply>>
coordinator_role::call_remote_coordinator(peer_coordinator_call call,
    milliseconds timeout, bool& was_sent, boot_time valid_until)
{
    auto peer = remote_coordinator_;
    if (!peer)
        co_return std::nullopt;
    bool was_sent_now = false;
    peer_body body = std::move(call);
    auto answer = co_await peer->call(
        std::move(body), timeout, was_sent_now, valid_until);
    was_sent = was_sent || was_sent_now;
    if (!answer)
        co_return std::nullopt;
    auto* reply = std::get_if<peer_coordinator_reply>(&*answer);
    if (!reply)
        co_return std::nullopt;
    co_return *reply;
}

asio::awaitable<void> coordinator_role::probe()
{
    const auto& head = election_.get_head();
    if (!head || !remote_coordinator_)
        co_return;
    std::string holder = head->holder;
    peer_coordinator_call call;
    call.processor_share = get_own_processor_share();
    call.entry = settings_.entry;
    call.address = address_;
    call.data_centre = settings_.data_centre;
    call.is_leaving = is_resigning_;
    bool was_sent = false;
    auto reply =
        co_await call_remote_coordinator(call, probe_timeout, was_sent);
    if (reply && reply->result == coordinator_result::done &&
        reply->boot == holder)
    {
        last_coordinator_reply_at_ = boot_clock::now();
        max_processor_share_ = reply->top_processor_share;
        election_.record_probe(reply->renewal_age, *last_coordinator_reply_at_);
        co_return;
    }
    if (reply && !reply->boot.empty() && reply->boot != holder)
        election_.record_replacement();
    else
        election_.record_probe_failure();
}

asio::awaitable<void> coordinator_role::read_head()
{
    boot_time sent = boot_clock::now();
    row_range range{
        ledger_table::control, ledger_table::part, ledger_table::head_key, ""};
    rows_result rows = co_await store_.read_rows(range, read_timeout);
    if (rows.failure != store_failure::none)
        co_return;
    std::optional<ledger_head> head;
    row_version version;
    for (const stored_row& it : rows.rows)
        if (it.key == ledger_table::head_key)
        {
            try
            {
                head = decode_ledger_head(it.value);
            }
            catch (const systems_error& e)
            {
                write_log(log_level::error, "candidate",
                    "cannot decode the head row", {{"why", e.what()}});
                co_return;
            }
            version = it.version;
        }
    auto old_head = election_.get_head();
    if (old_head && head && *old_head != *head)
        head_changed_at_ = boot_clock::now();
    if (head)
        max_processor_share_ =
            std::max(max_processor_share_, head->top_processor_share);
    election_.set_takeover_delay(
        is_low_on_processor() ? low_processor_takeover_delay : milliseconds(0));
    election_.record_head(head, version, sent, boot_clock::now());
    bool is_same = head && old_head && old_head->holder == head->holder;
    if (remote_coordinator_ && is_same)
        co_return;
    if (remote_coordinator_)
        remote_coordinator_->close();
    remote_coordinator_.reset();
    if (!head || head->address == address_)
        co_return;
    write_log(log_level::info, "candidate",
        "the head row names another coordinator",
        {{"term", head->term}, {"entry", head->entry},
            {"address", head->address}, {"version", version}});
    auto handler = [](peer_body) -> asio::awaitable<std::optional<peer_body>>
    { co_return std::nullopt; };
    auto on_error = [](const std::string& code, const std::string& message) {
        write_log(log_level::debug, "peer_link", message, {{"code", code}});
    };
    remote_coordinator_ =
        std::make_shared<peer_client>(io_, parse_endpoint(head->address),
            settings_.peer_listen.address(), handler, on_error);
}

asio::awaitable<void> coordinator_role::take_over()
{
    const auto& old = election_.get_head();
    ledger_head head;
    head.term = fencing_token(old ? old->term.get() + 1 : 1);
    head.holder = boot_id_;
    head.entry = settings_.entry.get();
    head.address = address_;
    head.top_processor_share =
        std::max(max_processor_share_, get_own_processor_share());
    write_log(log_level::info, "candidate", "taking over",
        {{"term", head.term}, {"version", election_.get_version()},
            {"former", old ? old->entry : std::string()},
            {"released", old && old->is_released}});
    bool was_previous_term_released = !old || old->is_released;
    ledger_batch batch{election_.get_version(), head, {}};
    boot_time sent = boot_clock::now();
    batch_result result = co_await store_.commit(batch, takeover_timeout);
    // A delayed copy of this batch may have been applied. The head row then
    // shows it, because no other process writes this boot id.
    bool is_ours = result.outcome == batch_result::kind::committed ||
                   (result.head && *result.head == head);
    if (!is_ours)
    {
        write_log(log_level::info, "candidate", "the takeover failed",
            {{"term", head.term},
                {"outcome", static_cast<int>(result.outcome)}});
        co_return;
    }
    auto runner =
        std::make_shared<coordinator_runner>(io_, settings_, store_, metrics_,
            tasks_, head, result.version, sent, was_previous_term_released);
    runner->record_processor_share(get_own_processor_share());
    runner->start_renewing();
    recovering_runner_ = runner;
    bool is_recovered = false;
    for (int i = 0; i < max_recovery_attempts && !is_recovered; ++i)
        is_recovered = co_await runner->recover();
    recovering_runner_.reset();
    if (is_resigning_)
    {
        // The process has begun to stop meanwhile. Where possible, the term is
        // released so that a successor need not wait.
        if (was_previous_term_released)
            runner->release();
        else
            runner->abandon();
        co_return;
    }
    if (!is_recovered)
    {
        runner->abandon();
        write_log(log_level::error, "candidate",
            "the ledger cannot be read; the term ends", {{"term", head.term}});
        co_return;
    }
    metrics_.add("cowslippass_takeovers_total");
    role_held_since_ = boot_clock::now();
    runner_ = runner;
    runner_->start(config_.get_state());
}

asio::awaitable<void> coordinator_role::run()
{
    for (;;)
    {
        if (is_coordinator())
        {
            max_processor_share_ = runner_->get_max_processor_share();
            if (is_low_on_processor() &&
                boot_clock::now() - role_held_since_ > min_term_time)
                runner_->release();
            co_await wait_on(probe_timer_, probe_interval);
            continue;
        }
        if (remote_coordinator_)
            co_await probe();
        if (!election_.needs_head_read())
        {
            co_await wait_on(probe_timer_, probe_interval);
            continue;
        }
        co_await read_head();
        // A coordinator without a configuration could make no decisions.
        bool may_be_coordinator = !is_resigning_ && config_.get_state().config;
        if (may_be_coordinator && election_.may_take_over(boot_clock::now()))
        {
            asio::steady_timer delay(io_);
            co_await wait_on(delay, draw_jitter());
            // Another candidate may have taken over meanwhile, or the
            // coordinator may have reached the store again.
            if (remote_coordinator_ && is_coordinator_known())
                co_await probe();
            co_await read_head();
            if (!is_resigning_ && election_.may_take_over(boot_clock::now()))
                co_await take_over();
            if (is_coordinator())
                continue;
        }
        asio::steady_timer pause(io_);
        co_await wait_on(pause, head_read_interval);
    }
}

asio::awaitable<coordinator_call_result> coordinator_role::call(
    peer_coordinator_call call, boot_time deadline, boot_time give_up_at)
{
    coordinator_call_result out;
    for (;;)
    {
        // The process may have been paused since the call arrived.
        call.wait = get_time_left(deadline);
        if (call.wait <= milliseconds(0))
            co_return out;
        if (is_coordinator())
        {
            auto runner = runner_;
            peer_coordinator_reply reply =
                co_await runner->handle(call, deadline);
            if (reply.result != coordinator_result::not_coordinator)
            {
                out.reply = reply;
                co_return out;
            }
            if (!reply.was_not_executed)
                out.may_be_applied = true;
        }
        else
        {
            // A call to a coordinator that does not answer cannot be refused
            // afterwards.
            bool is_silent =
                give_up_at != boot_time::max() && last_coordinator_reply_at_ &&
                boot_clock::now() - *last_coordinator_reply_at_ > max_silence;
            // The call waits until the deadline: a busy coordinator replies
            // late, and a retry would add to its load. After a takeover the old
            // connection is closed, which ends the calls that wait on it.
            bool was_sent = false;
            std::optional<peer_coordinator_reply> reply;
            if (!is_silent)
                reply = co_await call_remote_coordinator(
                    call, get_time_left(deadline), was_sent, deadline);
            if (was_sent && !(reply && reply->was_not_executed))
                out.may_be_applied =
                    out.may_be_applied || !reply ||
                    reply->result == coordinator_result::not_coordinator;
            if (reply && reply->result != coordinator_result::not_coordinator)
            {
                last_coordinator_reply_at_ = boot_clock::now();
                out.reply = reply;
                co_return out;
            }
            suspect_coordinator();
        }
        bool is_given_up =
            !out.may_be_applied && boot_clock::now() >= give_up_at;
        if (is_given_up || get_time_left(deadline) <= pause_between_calls)
            co_return out;
        asio::steady_timer pause(io_);
        co_await wait_on(pause, pause_between_calls);
    }
}

asio::awaitable<peer_coordinator_reply> coordinator_role::handle_peer_call(
    peer_coordinator_call call)
{
    peer_coordinator_reply reply;
    reply.was_not_executed = true;
    std::uint32_t share = call.processor_share;
    auto runner = runner_;
    if (auto& active = is_coordinator() ? runner_ : recovering_runner_;
        active && call.operation == coordinator_operation::probe)
        active->record_probe(call);
    if (is_coordinator())
    {
        milliseconds wait = call.wait > milliseconds(0)
                                ? std::min(call.wait, max_peer_call_time)
                                : max_peer_call_time;
        reply =
            co_await runner->handle(std::move(call), boot_clock::now() + wait);
    }
    else if (recovering_runner_ &&
             call.operation == coordinator_operation::probe)
    {
        reply.result = coordinator_result::done;
        reply.renewal_age = recovering_runner_->get_renewal_age();
    }
    if (auto& active = is_coordinator() ? runner_ : recovering_runner_)
    {
        active->record_processor_share(share);
        reply.top_processor_share = active->get_max_processor_share();
    }
    reply.boot = boot_id_;
    co_return reply;
}

} // namespace cowslippass
