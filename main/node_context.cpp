#include "main/node_context.hpp"

namespace cowslippass
{

monotonic_time get_now()
{
    return std::chrono::steady_clock::now();
}

node_context::node_context(asio::io_context& context, const settings& options,
    platform_client& platform, const start_policy& policy)
    : io(context), config(options), table(platform),
      metrics(get_entry_metrics()), freshness(options.freshness_limit),
      nonce(make_random_hex(16)),
      waiting(byte_count(options.max_waiting_bytes)), policy_(policy)
{
}

bool node_context::may_start() const
{
    return get_start_deadline().has_value();
}

std::optional<monotonic_time> node_context::get_start_deadline() const
{
    if (session.get() == 0 || !state.get_sessions().contains(session))
        return std::nullopt;
    return policy_.get_start_deadline(make_start_view());
}

bool node_context::may_renew() const
{
    return policy_.may_renew(make_start_view());
}

start_view node_context::make_start_view() const
{
    return {freshness, get_now(), table.is_reachable(), hears_data_centres};
}

std::optional<milliseconds> node_context::get_freshness_age() const
{
    return freshness.get_age(get_now());
}

bool node_context::is_admitted() const
{
    return admission && admission->is_admitted();
}

void node_context::notify_changed() const
{
    for (const auto& it : listeners)
        it();
}

asio::awaitable<void> node_context::sleep(milliseconds time)
{
    asio::steady_timer timer(io);
    timer.expires_after(time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void node_context::spawn(
    const std::string& name, std::function<asio::awaitable<void>()> body)
{
    asio::co_spawn(
        io,
        [name, body = std::move(body)]() -> asio::awaitable<void>
        {
            try
            {
                co_await body();
            }
            catch (const std::exception& e)
            {
                write_log(log_level::error, name,
                    "a background activity ended with an exception",
                    {{"reason", std::string(e.what())}});
            }
        },
        asio::detached);
}

} // namespace cowslippass
