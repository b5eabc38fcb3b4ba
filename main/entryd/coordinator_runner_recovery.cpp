#include "main/entryd/coordinator_runner_internal.hpp"

namespace cowslippass
{

namespace
{

/// Number of rows that are loaded at a takeover before other work gets a turn.
constexpr std::size_t rows_between_pauses = 20;

} // namespace

void coordinator_runner::load_job(
    const stored_row& row, const std::string& progress, boot_time now)
{
    try
    {
        job_id id(row.key);
        coordinator_.load_job(
            id, decode_job_record(row.value), progress, now, get_wall_time());
        if (coordinator_.find_job(id)->is_ended())
            durably_ended_jobs_.insert(id);
    }
    catch (const systems_error& e)
    {
        write_log(log_level::error, "coordinator",
            "cannot decode the row of a job",
            {{"job", row.key}, {"version", row.version}, {"why", e.what()}});
    }
}

bool coordinator_runner::load_settled_job(const stored_row& row, boot_time now)
{
    try
    {
        job_id id(row.key);
        auto settled = job::decode_settled(id, row.value);
        if (!settled)
            return false;
        coordinator_.load_settled_job(std::move(*settled), now);
        durably_ended_jobs_.insert(id);
        return true;
    }
    catch (const systems_error& e)
    {
        write_log(log_level::error, "coordinator",
            "cannot decode the progress row of a job",
            {{"job", row.key}, {"version", row.version}, {"why", e.what()}});
        return false;
    }
}

asio::awaitable<void> coordinator_runner::load_jobs(
    std::vector<stored_row> specs, std::vector<stored_row> states)
{
    boot_time now = boot_clock::now();
    std::map<std::string, std::string> progress;
    std::size_t n = 0;
    // The term has to be renewed while a slow processor reads many rows.
    auto is_pause_due = [&] { return ++n % rows_between_pauses == 0; };
    for (stored_row& it : states)
    {
        if (is_pause_due())
            co_await sleep(milliseconds(1));
        if (!load_settled_job(it, now))
            progress[it.key] = std::move(it.value);
    }
    for (const stored_row& it : specs)
    {
        if (is_pause_due())
            co_await sleep(milliseconds(1));
        if (!coordinator_.find_job(job_id(it.key)))
            load_job(it, progress[it.key], now);
        else
            // The job is settled, but the predecessor's term ended before it
            // removed the row.
            ledger_.erase(ledger_table::jobs, it.key);
    }
}

asio::awaitable<bool> coordinator_runner::recover()
{
    auto self = shared_from_this();
    row_range jobs{ledger_table::jobs, ledger_table::part, "", ""};
    rows_result specs = co_await store_.read_all_rows(jobs, read_timeout);
    if (specs.failure != store_failure::none)
        co_return false;
    row_range progress{ledger_table::progress, ledger_table::part, "", ""};
    rows_result states = co_await store_.read_all_rows(progress, read_timeout);
    if (states.failure != store_failure::none)
        co_return false;
    row_range waves{ledger_table::waves, ledger_table::part, "", ""};
    rows_result begun = co_await store_.read_all_rows(waves, read_timeout);
    if (begun.failure != store_failure::none)
        co_return false;
    wave_rows_ = std::move(begun.rows);
    if (!co_await read_targets())
        co_return false;
    co_await load_jobs(std::move(specs.rows), std::move(states.rows));
    if (is_over_)
        co_return false;
    milliseconds left =
        was_previous_term_released_ ? milliseconds(0) : max_renewal_age;
    for (const auto& [id, target] : coordinator_.get_targets())
        coordinator_.record_lease(
            id, taken_over_at_ + left + get_max_lease_time());
    write_log(log_level::info, "coordinator", "recovered",
        {{"term", head_.term}, {"jobs", coordinator_.count_jobs()},
            {"runs", coordinator_.get_runs().size()},
            {"targets", coordinator_.get_targets().size()}});
    co_return true;
}

} // namespace cowslippass
