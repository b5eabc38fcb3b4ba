#include "main/entryd/config_watcher.hpp"

#include "drivers/log.hpp"

namespace cowslippass
{

namespace
{

/// How long the store may delay its answer to one feed call until there is a
/// change. If a connection stops answering, a change arrives late by up to this
/// time plus the timeout. The state gets no older than that.
constexpr milliseconds feed_wait{1'000};
constexpr milliseconds feed_timeout{700};
constexpr milliseconds read_timeout{2'000};
constexpr milliseconds pause_after_failure{100};

} // namespace

config_watcher::config_watcher(
    asio::io_context& io, store_client& store, change_handler on_change)
    : io_(io), store_(store), on_change_(std::move(on_change))
{
}

void config_watcher::apply(const std::vector<stored_row>& rows)
{
    bool is_changed = false;
    for (const stored_row& it : rows)
    {
        try
        {
            is_changed |= apply_published_row(it, state_);
        }
        catch (const platform_error& e)
        {
            write_log(log_level::error, "configuration",
                "cannot decode a published row",
                {{"key", it.key}, {"version", it.version}, {"why", e.what()}});
        }
    }
    if (!is_changed)
        return;
    write_log(log_level::info, "configuration", "changed",
        {{"config_version",
             state_.config ? state_.config->version.get() : std::uint64_t{0}},
            {"evacuated", state_.evacuated.size()},
            {"waves", state_.waves.size()}});
    on_change_();
}

asio::awaitable<bool> config_watcher::read_all()
{
    boot_time sent = boot_clock::now();
    row_range range{published_table::operators, "", "", ""};
    rows_result rows = co_await store_.read_all_rows(range, read_timeout);
    if (rows.failure != store_failure::none)
        co_return false;
    // The answer does not list the rows that were removed while the feed was
    // not followed.
    state_.evacuated.clear();
    state_.waves.clear();
    version_ = rows.newest;
    confirmed_at_ = sent;
    needs_full_read_ = false;
    apply(rows.rows);
    on_change_();
    co_return true;
}

asio::awaitable<bool> config_watcher::read_feed()
{
    boot_time sent = boot_clock::now();
    rows_result rows = co_await store_.wait_for_changes(
        published_table::operators, version_, feed_wait, feed_timeout);
    if (rows.failure == store_failure::history_expired)
    {
        write_log(log_level::warn, "configuration",
            "the store no longer has the feed's history; all rows are read "
            "again",
            {{"version", version_}});
        needs_full_read_ = true;
        co_return true;
    }
    if (rows.failure != store_failure::none)
        co_return false;
    version_ = std::max(version_, rows.newest);
    confirmed_at_ = sent;
    apply(rows.rows);
    co_return true;
}

asio::awaitable<void> config_watcher::run()
{
    bool was_reached = true;
    for (;;)
    {
        bool is_reached = false;
        if (needs_full_read_)
            is_reached = co_await read_all();
        else
            is_reached = co_await read_feed();
        if (is_reached != was_reached)
            write_log(is_reached ? log_level::info : log_level::warn,
                "configuration",
                is_reached ? "store reached again" : "store lost");
        was_reached = is_reached;
        if (is_reached)
            continue;
        asio::steady_timer pause(io_);
        pause.expires_after(pause_after_failure);
        boost::system::error_code ec;
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace cowslippass
