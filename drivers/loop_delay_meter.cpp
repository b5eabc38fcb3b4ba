#include "drivers/loop_delay_meter.hpp"

#include "drivers/log.hpp"

namespace cowslippass
{

namespace
{

/// A longer delay is logged.
constexpr milliseconds min_logged_delay{1'000};

milliseconds to_milliseconds(boot_clock::duration time)
{
    return std::chrono::ceil<milliseconds>(time);
}

} // namespace

loop_delay_meter::loop_delay_meter(asio::io_context& io)
    : timer_(io), last_run_at_(boot_clock::now())
{
}

asio::awaitable<void> loop_delay_meter::run()
{
    last_run_at_ = boot_clock::now();
    for (;;)
    {
        timer_.expires_after(interval);
        boost::system::error_code ec;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        boot_time now = boot_clock::now();
        if (milliseconds delay = get_delay(now);
            now - last_run_at_ > interval + tolerance)
        {
            last_delay_ = delay;
            last_delay_end_ = now;
            if (delay >= min_logged_delay)
                write_log(log_level::warn, "process",
                    "the event loop did not run",
                    {{"delay_ms", delay.count()}});
        }
        last_run_at_ = now;
    }
}

milliseconds loop_delay_meter::get_delay(boot_time now) const
{
    boot_clock::duration passed = now - last_run_at_;
    if (passed > interval + tolerance)
        return to_milliseconds(passed);
    // Not everything that waited has been read by the time of the first
    // measurement after a delay.
    if (last_delay_ > milliseconds(0) && now - last_delay_end_ <= catch_up_time)
        return last_delay_ + to_milliseconds(now - last_delay_end_);
    return milliseconds(0);
}

} // namespace cowslippass
