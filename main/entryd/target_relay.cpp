#include "main/entryd/target_relay.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"
#include "drivers/metrics.hpp"

namespace cowslippass
{

namespace
{

/// Connections to a target are closed when no request has used them for this
/// long.
constexpr milliseconds max_unused_time{15'000};
constexpr milliseconds clean_up_interval{5'000};

relay_time get_relay_clock()
{
    return relay_time(
        std::chrono::floor<milliseconds>(boot_clock::now().time_since_epoch())
            .count());
}

boot_time to_boot_time(relay_time time)
{
    return boot_time(milliseconds(time.get()));
}

} // namespace

target_relay::target_relay(
    asio::io_context& io, metrics_registry& metrics, std::string boot_id)
    : io_(io), metrics_(metrics), boot_id_(std::move(boot_id))
{
}

void target_relay::close_unused_connections()
{
    boot_time now = boot_clock::now();
    if (now < next_clean_up_)
        return;
    next_clean_up_ = now + clean_up_interval;
    std::erase_if(connections_, [&](const auto& it)
        { return now - it.second.last_used > max_unused_time; });
}

std::shared_ptr<target_protocol_client> target_relay::find_client(
    const peer_target_call& call)
{
    close_unused_connections();
    connection& it = connections_[call.target];
    it.last_used = boot_clock::now();
    if (!it.client || it.address != call.address)
    {
        it.address = call.address;
        it.client.reset();
        try
        {
            it.client = std::make_shared<target_protocol_client>(
                io_, parse_endpoint(call.address), call.target, call.fence);
        }
        catch (const platform_error& e)
        {
            write_log(log_level::warn, "relay",
                "the address of a target is not valid",
                {{"target", call.target}, {"why", e.what()}});
        }
    }
    if (it.client)
        it.client->set_fence(call.fence);
    return it.client;
}

asio::awaitable<void> target_relay::execute(
    peer_target_call call, peer_target_reply& reply)
{
    auto client = find_client(call);
    if (!client)
    {
        reply.outcome = request_outcome::invalid;
        co_return;
    }
    boot_time valid_until = to_boot_time(call.valid_until);
    if (call.operation == target_operation::poll)
    {
        poll_reply answer =
            co_await client->poll(call.poll, call.timeout, valid_until);
        reply.outcome = answer.outcome;
        reply.message = std::move(answer.message);
        reply.status = std::move(answer.status);
        co_return;
    }
    request_reply answer;
    if (call.operation == target_operation::start)
        answer = co_await client->start(
            std::move(call.start), call.timeout, valid_until);
    else
        answer = co_await client->stop(std::move(call.start.task),
            call.start.run, call.timeout, valid_until);
    reply.outcome = answer.outcome;
    reply.message = std::move(answer.message);
    reply.clock = answer.clock;
}

asio::awaitable<peer_target_reply> target_relay::handle(peer_target_call call)
{
    peer_target_reply reply;
    bool is_probe = call.operation == target_operation::probe;
    if (!is_probe)
        highest_fence_ = std::max(highest_fence_, call.fence);
    if (is_probe)
        reply.outcome = request_outcome::accepted;
    else if (is_leaving_ || call.relay_boot != boot_id_)
        reply.is_rejected = true;
    else if (call.fence < highest_fence_)
        reply.outcome = request_outcome::stale_fence;
    else
    {
        target_operation operation = call.operation;
        co_await execute(std::move(call), reply);
        metrics_.add("cowslippass_relayed_requests_total",
            {{"request", to_string(operation)},
                {"outcome", to_string(reply.outcome)}});
    }
    reply.relay_clock = get_relay_clock();
    reply.relay_boot = boot_id_;
    reply.is_leaving = is_leaving_;
    co_return reply;
}

} // namespace cowslippass
