#include "main/entryd/relay_client.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/log.hpp"
#include "drivers/task_supervisor.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds probe_interval{300};
/// A relay that needs longer to answer a probe is lost.
constexpr milliseconds probe_timeout{600};

} // namespace

relay_client::relay_client(asio::io_context& io, relay_info info,
    asio::ip::address source, std::function<void(const relay_client&)> on_lost)
    : io_(io), info_(std::move(info)), on_lost_(std::move(on_lost)),
      client_(
          io, parse_endpoint(info_.address), std::move(source),
          [](peer_body) -> asio::awaitable<std::optional<peer_body>>
          { co_return std::nullopt; },
          [](const std::string& code, const std::string& message) {
              write_log(
                  log_level::debug, "peer_link", message, {{"code", code}});
          })
{
}

void relay_client::start(const task_supervisor& tasks)
{
    auto self = shared_from_this();
    tasks.run_loop(
        "relay_probes", [self] { return self->probe_loop(); },
        [self] { return self->is_closed_; });
}

void relay_client::close()
{
    is_closed_ = true;
    client_.close();
}

void relay_client::report_loss(const char* why)
{
    if (is_closed_)
        return;
    write_log(log_level::warn, "relays", "a relay is no longer used",
        {{"entry", info_.entry}, {"address", info_.address}, {"why", why}});
    close();
    on_lost_(*this);
}

relay_time relay_client::to_relay_time(boot_time time) const
{
    auto later =
        std::chrono::floor<milliseconds>(time - clock_received_at_).count();
    return relay_time(clock_.get() + later);
}

void relay_client::record_reply(const peer_target_reply& reply)
{
    if (is_closed_)
        return;
    if (!boot_.empty() && reply.relay_boot != boot_)
    {
        report_loss("another process answered at its address");
        return;
    }
    if (reply.is_leaving)
    {
        is_leaving_ = true;
        report_loss("it is about to stop");
        return;
    }
    boot_ = reply.relay_boot;
    // The relay read its clock before its reply was received, so the estimate
    // is never ahead.
    clock_ = reply.relay_clock;
    clock_received_at_ = boot_clock::now();
}

asio::awaitable<std::optional<peer_target_reply>> relay_client::call(
    peer_target_call request, milliseconds timeout, boot_time valid_until,
    bool& was_sent)
{
    auto self = shared_from_this();
    was_sent = false;
    if (is_closed_)
        co_return std::nullopt;
    request.relay_boot = boot_;
    request.valid_until = to_relay_time(valid_until);
    peer_body body = std::move(request);
    auto answer = co_await client_.call(std::move(body), timeout, was_sent);
    if (!answer)
        co_return std::nullopt;
    auto* reply = std::get_if<peer_target_reply>(&*answer);
    if (!reply)
        co_return std::nullopt;
    record_reply(*reply);
    co_return std::move(*reply);
}

asio::awaitable<void> relay_client::probe_loop()
{
    auto self = shared_from_this();
    while (!is_closed_)
    {
        // Replies to other requests show that the relay works.
        bool is_recent = is_ready() && boot_clock::now() - clock_received_at_ <
                                           probe_interval;
        if (!is_recent)
        {
            bool was_sent = false;
            peer_target_call probe;
            auto reply = co_await call(
                std::move(probe), probe_timeout, boot_time{}, was_sent);
            if (!reply)
                report_loss("it did not answer");
        }
        asio::steady_timer timer(io_);
        timer.expires_after(probe_interval);
        boost::system::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace cowslippass
