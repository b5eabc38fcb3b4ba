#include "main/entryd/target_channel.hpp"

#include "drivers/endpoint.hpp"

namespace cowslippass
{

namespace
{

/// Time for the way to the relay and back.
constexpr milliseconds relay_margin{150};
/// How long requests avoid a relay that did not reach the target.
constexpr milliseconds direct_time{5'000};

} // namespace

target_channel::target_channel(asio::io_context& io, const relay_set& relays,
    const target_report& report, fencing_token fence)
    : relays_(relays),
      direct_(io, parse_endpoint(report.address), report.target, fence),
      target_(report.target), address_(report.address),
      data_centre_(report.data_centre), fence_(fence)
{
}

std::shared_ptr<relay_client> target_channel::choose_relay()
{
    if (boot_clock::now() < direct_until_)
        return nullptr;
    if (!relay_ || !relay_->is_ready())
        relay_ = relays_.choose(target_, data_centre_);
    return relay_;
}

peer_target_call target_channel::make_call(
    target_operation operation, milliseconds timeout) const
{
    peer_target_call out;
    out.operation = operation;
    out.target = target_;
    out.address = address_;
    out.fence = fence_;
    out.timeout = timeout;
    return out;
}

void target_channel::record_outcome(request_outcome outcome)
{
    if (outcome == request_outcome::no_answer ||
        outcome == request_outcome::not_sent)
        direct_until_ = boot_clock::now() + direct_time;
}

asio::awaitable<std::optional<peer_target_reply>> target_channel::call_relay(
    std::shared_ptr<relay_client> relay, peer_target_call call,
    milliseconds limit, boot_time valid_until, bool& is_handled)
{
    milliseconds call_timeout = limit + relay_margin;
    auto reply = co_await relay->call(
        std::move(call), call_timeout, valid_until, is_handled);
    if (!reply)
        co_return std::nullopt;
    is_handled = !reply->is_rejected;
    if (is_handled)
        record_outcome(reply->outcome);
    co_return reply;
}

asio::awaitable<std::optional<request_reply>> target_channel::order_by_relay(
    peer_target_call call, milliseconds timeout, boot_time valid_until)
{
    auto relay = choose_relay();
    if (!relay)
        co_return std::nullopt;
    bool is_handled = false;
    auto reply = co_await call_relay(
        relay, std::move(call), timeout, valid_until, is_handled);
    if (!is_handled)
        co_return std::nullopt;
    if (!reply)
        co_return request_reply{
            request_outcome::no_answer, {}, "no answer from the relay"};
    co_return request_reply{
        reply->outcome, reply->clock, std::move(reply->message)};
}

asio::awaitable<request_reply> target_channel::start(
    run_start_request order, milliseconds timeout, boot_time valid_until)
{
    peer_target_call call = make_call(target_operation::start, timeout);
    call.start = order;
    auto reply = co_await order_by_relay(std::move(call), timeout, valid_until);
    if (reply)
        co_return *reply;
    co_return co_await direct_.start(std::move(order), timeout, valid_until);
}

asio::awaitable<request_reply> target_channel::stop(
    task_name task, run_number run, milliseconds timeout, boot_time valid_until)
{
    peer_target_call call = make_call(target_operation::stop, timeout);
    call.start.task = task;
    call.start.run = run;
    auto reply = co_await order_by_relay(std::move(call), timeout, valid_until);
    if (reply)
        co_return *reply;
    co_return co_await direct_.stop(std::move(task), run, timeout, valid_until);
}

asio::awaitable<poll_reply> target_channel::poll(
    poll_request order, milliseconds timeout, boot_time valid_until)
{
    auto relay = choose_relay();
    if (!relay)
        co_return co_await direct_.poll(order, timeout, valid_until);
    peer_target_call call = make_call(target_operation::poll, timeout);
    call.poll = order;
    bool is_handled = false;
    auto reply = co_await call_relay(
        relay, std::move(call), order.wait + timeout, valid_until, is_handled);
    // The loss of a relay says nothing about the target, so the poll is
    // repeated. The next one renews the leases.
    if (!reply || !is_handled)
    {
        order.lease_end.reset();
        valid_until = boot_clock::now() + timeout;
        co_return co_await direct_.poll(order, timeout, valid_until);
    }
    co_return poll_reply{
        reply->outcome, std::move(reply->status), std::move(reply->message)};
}

} // namespace cowslippass
