#include "main/entryd/coordinator_seat.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"
#include "drivers/metrics.hpp"

#include <random>

namespace cowslippass
{

namespace
{

constexpr milliseconds probe_interval{250};
/// A coordinator that needs longer is suspected; one read of the head row
/// shows whether it is at work.
constexpr milliseconds probe_timeout{300};
/// Between reads of the head row while the coordinator is missed.
constexpr milliseconds suspect_interval{150};
constexpr milliseconds read_timeout{1'000};
constexpr milliseconds take_over_timeout{1'000};
/// Candidates that see the same silence do not all write at once.
constexpr int max_jitter_ms = 40;
/// Weak entries wait so much longer than strong ones: more than a strong one
/// takes to miss the coordinator after the first.
constexpr milliseconds handicap_of_weak{600};
/// An entry with less than this share of the strongest one's processor is weak.
constexpr double weak_share = 0.8;
/// A coordinator keeps its place for so long before it gives it to a stronger
/// entry.
constexpr milliseconds shortest_term{3'000};
constexpr milliseconds pause_between_calls{50};
/// An answer older than this says nothing of the coordinator now.
constexpr milliseconds answer_age_limit{2'500};
/// Bounds a peer's call; the peer itself gives up earlier.
constexpr milliseconds longest_peer_wait{5'000};
constexpr int recovery_attempts = 5;

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

coordinator_seat::coordinator_seat(asio::io_context& io,
    const entry_settings& settings, store_client& store,
    metrics_registry& metrics, const config_follower& config)
    : io_(io), settings_(settings), store_(store), metrics_(metrics),
      config_(config), boot_(make_random_hex(8)),
      address_(format_endpoint(settings.peer_listen)),
      candidacy_(boot_, address_), timer_(io)
{
}

std::uint32_t coordinator_seat::get_own_share() const
{
    return static_cast<std::uint32_t>(settings_.processor_share * 1'000);
}

bool coordinator_seat::is_weak() const
{
    return get_own_share() < top_share_ * weak_share;
}

bool coordinator_seat::is_coordinator_known() const
{
    if (is_holder())
        return true;
    return last_answer_ && boot_clock::now() - *last_answer_ < answer_age_limit;
}

void coordinator_seat::suspect()
{
    candidacy_.record_probe_failure();
    timer_.cancel();
}

void coordinator_seat::note_publication()
{
    if (is_holder())
        runner_->set_published_state(config_.get_state());
}

void coordinator_seat::leave()
{
    is_leaving_ = true;
    if (is_holder())
        runner_->release();
}

asio::awaitable<std::optional<peer_coordinator_reply>>
coordinator_seat::ask_peer(
    peer_coordinator_call call, milliseconds timeout, bool& was_sent)
{
    auto peer = peer_;
    if (!peer)
        co_return std::nullopt;
    bool was_sent_now = false;
    peer_body body = std::move(call);
    auto answer = co_await peer->call(std::move(body), timeout, was_sent_now);
    was_sent = was_sent || was_sent_now;
    if (!answer)
        co_return std::nullopt;
    auto* reply = std::get_if<peer_coordinator_reply>(&*answer);
    if (!reply)
        co_return std::nullopt;
    co_return *reply;
}

asio::awaitable<void> coordinator_seat::probe()
{
    const auto& head = candidacy_.get_head();
    if (!head || !peer_)
        co_return;
    std::string holder = head->holder;
    peer_coordinator_call question;
    question.processor_share = get_own_share();
    bool was_sent = false;
    auto reply = co_await ask_peer(question, probe_timeout, was_sent);
    if (reply && reply->result == coordinator_result::done &&
        reply->boot == holder)
    {
        last_answer_ = boot_clock::now();
        top_share_ = reply->top_processor_share;
        candidacy_.record_probe(reply->renewal_age, *last_answer_);
        co_return;
    }
    if (reply && !reply->boot.empty() && reply->boot != holder)
        candidacy_.record_replacement();
    else
        candidacy_.record_probe_failure();
}

asio::awaitable<void> coordinator_seat::read_head()
{
    boot_time sent = boot_clock::now();
    row_range range{
        ledger_table::control, ledger_table::part, ledger_table::head_key, ""};
    store_rows rows = co_await store_.read_rows(range, read_timeout);
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
                    "the head row cannot be read", {{"why", e.what()}});
                co_return;
            }
            version = it.version;
        }
    auto before = candidacy_.get_head();
    if (head)
        top_share_ = std::max(top_share_, head->top_processor_share);
    candidacy_.set_takeover_delay(
        is_weak() ? handicap_of_weak : milliseconds(0));
    candidacy_.record_head(head, version, sent, boot_clock::now());
    bool is_same = head && before && before->holder == head->holder;
    if (peer_ && is_same)
        co_return;
    if (peer_)
        peer_->close();
    peer_.reset();
    if (!head || head->address == address_)
        co_return;
    write_log(log_level::info, "candidate", "coordinator known",
        {{"term", head->term}, {"entry", head->entry},
            {"address", head->address}, {"version", version}});
    auto handler = [](peer_body) -> asio::awaitable<std::optional<peer_body>>
    { co_return std::nullopt; };
    auto on_error = [](const std::string& code, const std::string& message) {
        write_log(log_level::debug, "peer_link", message, {{"code", code}});
    };
    peer_ = std::make_shared<peer_client>(io_, parse_endpoint(head->address),
        settings_.peer_listen.address(), handler, on_error);
}

asio::awaitable<void> coordinator_seat::take_over()
{
    const auto& old = candidacy_.get_head();
    ledger_head head;
    head.term = fencing_token(old ? old->term.get() + 1 : 1);
    head.holder = boot_;
    head.entry = settings_.entry.get();
    head.address = address_;
    head.top_processor_share = std::max(top_share_, get_own_share());
    write_log(log_level::info, "candidate", "taking over",
        {{"term", head.term}, {"version", candidacy_.get_version()},
            {"former", old ? old->entry : std::string()},
            {"released", old && old->is_released}});
    bool was_released = !old || old->is_released;
    ledger_batch batch{candidacy_.get_version(), head, {}};
    boot_time sent = boot_clock::now();
    batch_result answer = co_await store_.commit(batch, take_over_timeout);
    // A copy that was delayed may have applied; nobody else writes our name.
    bool is_ours = answer.outcome == batch_result::kind::committed ||
                   (answer.head && *answer.head == head);
    if (!is_ours)
    {
        write_log(log_level::info, "candidate", "not taken over",
            {{"term", head.term},
                {"outcome", static_cast<int>(answer.outcome)}});
        co_return;
    }
    auto runner = std::make_shared<coordinator_runner>(io_, settings_, store_,
        metrics_, head, answer.version, sent, was_released);
    runner->note_share(get_own_share());
    runner->start_renewing();
    recovering_ = runner;
    bool is_recovered = false;
    for (int i = 0; i < recovery_attempts && !is_recovered; ++i)
        is_recovered = co_await runner->recover();
    recovering_.reset();
    if (is_leaving_)
    {
        // The stop came meanwhile; a successor need not wait for it.
        if (was_released)
            runner->release();
        else
            runner->abandon();
        co_return;
    }
    if (!is_recovered)
    {
        runner->abandon();
        write_log(log_level::error, "candidate", "ledger cannot be read",
            {{"term", head.term}});
        co_return;
    }
    metrics_.add("cowslippass_takeovers_total");
    held_since_ = boot_clock::now();
    runner_ = runner;
    runner_->start(config_.get_state());
}

asio::awaitable<void> coordinator_seat::run()
{
    for (;;)
    {
        if (is_holder())
        {
            top_share_ = runner_->get_top_share();
            if (is_weak() && boot_clock::now() - held_since_ > shortest_term)
                runner_->release();
            co_await wait_on(timer_, probe_interval);
            continue;
        }
        if (peer_)
            co_await probe();
        if (!candidacy_.needs_head_read())
        {
            co_await wait_on(timer_, probe_interval);
            continue;
        }
        co_await read_head();
        // Without a configuration nothing could be decided.
        bool may_lead = !is_leaving_ && config_.get_state().config;
        if (may_lead && candidacy_.may_take_over(boot_clock::now()))
        {
            asio::steady_timer delay(io_);
            co_await wait_on(delay, draw_jitter());
            // Another may have been faster, or the store is back for all.
            if (peer_ && is_coordinator_known())
                co_await probe();
            co_await read_head();
            if (!is_leaving_ && candidacy_.may_take_over(boot_clock::now()))
                co_await take_over();
            if (is_holder())
                continue;
        }
        asio::steady_timer pause(io_);
        co_await wait_on(pause, suspect_interval);
    }
}

asio::awaitable<seat_reply> coordinator_seat::call(
    peer_coordinator_call call, boot_time deadline)
{
    seat_reply out;
    for (;;)
    {
        if (is_holder())
        {
            auto runner = runner_;
            out.may_be_done = true;
            peer_coordinator_reply reply =
                co_await runner->handle(call, deadline);
            if (reply.result != coordinator_result::not_coordinator)
            {
                out.reply = reply;
                co_return out;
            }
        }
        else
        {
            // A busy coordinator answers late, and a copy of the call would
            // make it busier. When another takes its place, the calls that
            // wait on the old connection end.
            auto reply = co_await ask_peer(
                call, get_time_left(deadline), out.may_be_done);
            if (reply && reply->result != coordinator_result::not_coordinator)
            {
                last_answer_ = boot_clock::now();
                out.reply = reply;
                co_return out;
            }
            suspect();
        }
        if (get_time_left(deadline) <= pause_between_calls)
            co_return out;
        asio::steady_timer pause(io_);
        co_await wait_on(pause, pause_between_calls);
    }
}

asio::awaitable<peer_coordinator_reply> coordinator_seat::handle_peer(
    peer_coordinator_call call)
{
    peer_coordinator_reply reply;
    std::uint32_t share = call.processor_share;
    auto runner = runner_;
    if (is_holder())
        reply = co_await runner->handle(
            std::move(call), boot_clock::now() + longest_peer_wait);
    else if (recovering_ && call.operation == coordinator_operation::probe)
    {
        reply.result = coordinator_result::done;
        reply.renewal_age = recovering_->get_renewed_age();
    }
    if (auto& active = is_holder() ? runner_ : recovering_)
    {
        active->note_share(share);
        reply.top_processor_share = active->get_top_share();
    }
    reply.boot = boot_;
    co_return reply;
}

} // namespace cowslippass
