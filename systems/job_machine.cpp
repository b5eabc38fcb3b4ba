#include "systems/job_machine.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

constexpr std::array<const char*, 5> state_names{
    "queued", "running", "done", "parked", "cancelled"};

job_state parse_job_state(const std::string& text)
{
    for (std::size_t i = 0; i < state_names.size(); ++i)
        if (text == state_names[i])
            return static_cast<job_state>(i);
    throw systems_error("bad_job_row", "unknown job state '" + text + "'");
}

void require_state(const job_row& job, std::initializer_list<job_state> allowed)
{
    for (job_state it : allowed)
        if (job.state == it)
            return;
    throw systems_error("wrong_job_state",
        "the job " + job.id.get() + " is " + get_name(job.state));
}

void clear_attempt(job_row& job)
{
    job.session = session_id(0);
    job.target = {};
    job.task = {};
}

/// Rewrites the live row.
job_change make_change(job_row after, row_version version)
{
    std::string key = get_job_key(after.pool, after.id);
    transaction tx;
    tx.conditions.push_back({key, version});
    tx.writes.push_back({key, encode_job(after)});
    return {std::move(after), std::move(tx)};
}

/// Moves the row from the live jobs to the ended ones.
job_change make_end(job_row after, row_version version)
{
    clear_attempt(after);
    std::string key = get_job_key(after.pool, after.id);
    transaction tx;
    tx.conditions.push_back({key, version});
    tx.writes.push_back({key, std::nullopt});
    tx.writes.push_back(
        {get_ended_job_key(after.pool, after.id), encode_job(after)});
    return {std::move(after), std::move(tx)};
}

} // namespace

std::string get_name(job_state state)
{
    return state_names[static_cast<std::size_t>(state)];
}

job_id make_job_id(const pool_id& pool, const std::string& random)
{
    return job_id(pool.get() + "~" + random);
}

std::optional<pool_id> find_pool_of_job(const job_id& job)
{
    auto mark = job.get().rfind('~');
    if (mark == std::string::npos || mark == 0 ||
        job.get().find('/') != std::string::npos)
        return std::nullopt;
    return pool_id(job.get().substr(0, mark));
}

std::string get_job_key(const pool_id& pool, const job_id& job)
{
    return "jobs/" + pool.get() + "/" + job.get();
}

std::string get_ended_job_key(const pool_id& pool, const job_id& job)
{
    return "ended/" + pool.get() + "/" + job.get();
}

std::string get_job_payload_name(const job_row& job)
{
    return "payloads/" + job.id.get() + "/" + job.payload_sha256;
}

std::string get_job_result_name(const job_id& job)
{
    return "results/" + job.get();
}

std::string encode_job(const job_row& job)
{
    json out{{"id", job.id.get()}, {"team", job.team.get()},
        {"queue", job.queue.get()}, {"pool", job.pool.get()},
        {"request", job.request.get()},
        {"payload_sha256", job.payload_sha256},
        {"declared_memory", job.declared_memory.get()},
        {"run_ms", job.run_ms}, {"state", get_name(job.state)},
        {"data_centre", job.data_centre.get()},
        {"session", job.session.get()}, {"target", job.target.get()},
        {"task", job.task.get()}, {"attempts", job.attempts},
        {"reason", job.reason},
        {"accepted_unix_ms", job.accepted_unix_ms}};
    return out.dump();
}

job_row decode_job(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        job_row out;
        out.id = job_id(in.at("id").get<std::string>());
        out.team = team_id(in.at("team").get<std::string>());
        out.queue = queue_id(in.at("queue").get<std::string>());
        out.pool = pool_id(in.at("pool").get<std::string>());
        out.request = request_id(in.at("request").get<std::string>());
        out.payload_sha256 = in.at("payload_sha256").get<std::string>();
        out.declared_memory =
            byte_count(in.at("declared_memory").get<std::uint64_t>());
        out.run_ms = in.at("run_ms").get<std::string>();
        out.state = parse_job_state(in.at("state").get<std::string>());
        out.data_centre =
            data_centre_id(in.at("data_centre").get<std::string>());
        out.session = session_id(in.at("session").get<std::uint64_t>());
        out.target = instance_id(in.at("target").get<std::string>());
        out.task = task_id(in.at("task").get<std::string>());
        out.attempts = in.at("attempts").get<std::uint32_t>();
        out.reason = in.at("reason").get<std::string>();
        out.accepted_unix_ms = in.at("accepted_unix_ms").get<std::int64_t>();
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job_row", e.what());
    }
}

job_change accept_job(const job_row& job)
{
    require_state(job, {job_state::queued});
    return make_change(job, row_version(0));
}

job_change start_job(const job_row& job, row_version version,
    session_id session, const instance_id& target, const task_id& task)
{
    require_state(job, {job_state::queued, job_state::running});
    // A running row may only be restarted by the session that holds it.
    if (job.state == job_state::running && job.session != session)
        throw systems_error(
            "wrong_job_state", "another session runs the job");
    job_row after = job;
    after.state = job_state::running;
    after.session = session;
    after.target = target;
    after.task = task;
    ++after.attempts;
    return make_change(std::move(after), version);
}

job_change unstart_job(const job_row& job, row_version version)
{
    require_state(job, {job_state::running});
    job_row after = job;
    after.state = job_state::queued;
    clear_attempt(after);
    if (after.attempts > 0)
        --after.attempts;
    return make_change(std::move(after), version);
}

job_change adopt_job(
    const job_row& job, row_version version, session_id session)
{
    require_state(job, {job_state::running});
    job_row after = job;
    after.session = session;
    return make_change(std::move(after), version);
}

job_change fail_job(const job_row& job, row_version version,
    const std::string& reason, bool counts_attempt)
{
    require_state(job, {job_state::running});
    job_row after = job;
    after.reason = reason;
    if (!counts_attempt && after.attempts > 0)
        --after.attempts;
    if (after.attempts >= max_job_attempts)
    {
        after.state = job_state::parked;
        return make_end(std::move(after), version);
    }
    after.state = job_state::queued;
    clear_attempt(after);
    return make_change(std::move(after), version);
}

job_change finish_job(const job_row& job, row_version version)
{
    require_state(job, {job_state::running});
    job_row after = job;
    after.state = job_state::done;
    after.reason.clear();
    return make_end(std::move(after), version);
}

job_change park_job(
    const job_row& job, row_version version, const std::string& reason)
{
    require_state(job, {job_state::queued, job_state::running});
    job_row after = job;
    after.state = job_state::parked;
    after.reason = reason;
    return make_end(std::move(after), version);
}

job_change cancel_job(const job_row& job, row_version version)
{
    require_state(job, {job_state::queued, job_state::running});
    job_row after = job;
    after.state = job_state::cancelled;
    return make_end(std::move(after), version);
}

job_change move_job(const job_row& job, row_version version,
    const data_centre_id& data_centre)
{
    require_state(job, {job_state::queued});
    job_row after = job;
    after.data_centre = data_centre;
    return make_change(std::move(after), version);
}

} // namespace cowslippass
