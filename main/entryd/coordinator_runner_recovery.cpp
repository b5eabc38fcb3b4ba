#include "main/entryd/coordinator_runner_internal.hpp"

namespace cowslippass
{

namespace
{

/// Number of rows that are loaded at a takeover before other work gets a turn.
constexpr std::size_t rows_between_pauses = 20;

} // namespace

coordinator_runner::job_row_table coordinator_runner::group_by_job(
    std::vector<stored_row> rows)
{
    job_row_table out;
    for (stored_row& it : rows)
    {
        auto key = decode_job_row_key(it.key);
        if (!key)
        {
            write_log(log_level::error, "coordinator",
                "a row of the ledger has an unknown key",
                {{"table", it.table}, {"key", it.key}});
            continue;
        }
        job_row_values& values = out[key->job];
        (key->part ? values.parts[*key->part] : values.main) =
            std::move(it.value);
    }
    return out;
}

void coordinator_runner::load_job(const job_id& id,
    const job_row_values& record, const job_row_values& progress, boot_time now)
{
    try
    {
        coordinator_.load_job(id, decode_job_record(join_job_record(record)),
            progress.main, now, get_wall_time(), progress.parts);
        if (coordinator_.find_job(id)->is_ended())
            durably_ended_jobs_.insert(id);
        for (const auto& [part, value] : record.parts)
            record_parts_[id].insert(part);
    }
    catch (const systems_error& e)
    {
        write_log(log_level::error, "coordinator",
            "cannot decode the rows of a job",
            {{"job", id}, {"why", e.what()}});
        coordinator_.add_unreadable_job(id);
    }
}

bool coordinator_runner::load_settled_job(
    const job_id& id, const std::string& progress, boot_time now)
{
    try
    {
        auto settled = job::decode_settled(id, progress);
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
            {{"job", id}, {"why", e.what()}});
        coordinator_.add_unreadable_job(id);
        return false;
    }
}

bool coordinator_runner::load_tombstone(
    const job_id& id, const std::string& progress, boot_time now)
{
    auto team = decode_tombstone(progress);
    if (team)
        coordinator_.get_tombstones().restore(id, *team, now);
    return team.has_value();
}

asio::awaitable<void> coordinator_runner::load_jobs(
    job_row_table records, job_row_table progress)
{
    boot_time now = boot_clock::now();
    std::size_t n = 0;
    // The term has to be renewed while a slow processor reads many rows.
    auto is_pause_due = [&] { return ++n % rows_between_pauses == 0; };
    auto list_parts = [](const job_row_values& values)
    {
        std::set<std::uint32_t> out;
        for (const auto& [part, value] : values.parts)
            out.insert(part);
        return out;
    };
    for (const auto& [id, values] : progress)
    {
        if (is_pause_due())
            co_await sleep(milliseconds(1));
        if (load_tombstone(id, values.main, now))
            continue;
        if (!values.main.empty() && load_settled_job(id, values.main, now))
            erase_parts(ledger_table::progress, id, list_parts(values));
    }
    for (const auto& [id, values] : records)
    {
        if (is_pause_due())
            co_await sleep(milliseconds(1));
        // Without its main row, a job was not accepted.
        bool is_needed = !values.main.empty() && !coordinator_.find_job(id);
        if (is_needed)
        {
            load_job(id, values, progress[id], now);
            continue;
        }
        // The predecessor's term ended before it removed the rows of a settled
        // job, or before it had stored all rows of a new one.
        if (!values.main.empty())
            ledger_.erase(ledger_table::jobs, id.get());
        erase_parts(ledger_table::jobs, id, list_parts(values));
    }
    // Progress of a job that was not accepted.
    for (const auto& [id, values] : progress)
    {
        auto record = records.find(id);
        bool is_accepted =
            record != records.end() && !record->second.main.empty();
        if (is_accepted || coordinator_.find_job(id) ||
            coordinator_.get_tombstones().contains(id))
            continue;
        ledger_.erase(ledger_table::progress, id.get());
        erase_parts(ledger_table::progress, id, list_parts(values));
    }
}

void coordinator_runner::load_queues(const std::vector<stored_row>& rows)
{
    for (const stored_row& it : rows)
        try
        {
            coordinator_.load_queue(queue_id(it.key), it.value);
        }
        catch (const systems_error& e)
        {
            write_log(log_level::error, "coordinator",
                "cannot decode the row of a queue",
                {{"queue", it.key}, {"version", it.version},
                    {"why", e.what()}});
        }
}

void coordinator_runner::load_run_times(const std::vector<stored_row>& rows)
{
    for (const stored_row& it : rows)
        try
        {
            coordinator_.load_run_times(queue_id(it.key), it.value);
        }
        catch (const systems_error& e)
        {
            write_log(log_level::error, "coordinator",
                "cannot decode the run times of a queue; they are learned anew",
                {{"queue", it.key}, {"version", it.version},
                    {"why", e.what()}});
        }
}

asio::awaitable<bool> coordinator_runner::recover()
{
    auto self = shared_from_this();
    row_range queues{ledger_table::queues, ledger_table::part, "", ""};
    rows_result known = co_await store_.read_all_rows(queues, read_timeout);
    if (known.failure != store_failure::none)
        co_return false;
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
    if (settings_.learn_run_times)
    {
        row_range range{ledger_table::run_times, ledger_table::part, "", ""};
        rows_result rows = co_await store_.read_all_rows(range, read_timeout);
        // Without them, the coordinator learns anew.
        if (rows.failure == store_failure::none)
            load_run_times(rows.rows);
    }
    if (!co_await read_targets())
        co_return false;
    load_queues(known.rows);
    co_await load_jobs(group_by_job(std::move(specs.rows)),
        group_by_job(std::move(states.rows)));
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
