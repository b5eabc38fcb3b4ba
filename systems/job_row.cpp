#include "systems/job_row.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace cowslippass
{

namespace
{

constexpr std::array state_names{
    "queued", "running", "done", "parked", "cancelled"};

job_state parse_state(const std::string& name)
{
    for (std::size_t n = 0; n < state_names.size(); ++n)
    {
        if (name == state_names[n])
            return static_cast<job_state>(n);
    }
    throw systems_error("bad_job_row", "unknown job state " + name);
}

nlohmann::json encode_order(const job_order& it)
{
    return {{"id", it.id.get()}, {"pool", it.pool.get()},
        {"queue", it.queue.get()}, {"team", it.team.get()},
        {"payload", it.payload}, {"digest", it.digest},
        {"memory", it.memory.get()}, {"run_ms", it.run_time.count()}};
}

job_order decode_order(const nlohmann::json& value)
{
    job_order it;
    it.id = job_id(value.at("id").get<std::string>());
    it.pool = pool_id(value.at("pool").get<std::string>());
    it.queue = queue_id(value.at("queue").get<std::string>());
    it.team = team_id(value.at("team").get<std::string>());
    it.payload = value.at("payload").get<std::string>();
    it.digest = value.at("digest").get<std::string>();
    it.memory = byte_count(value.at("memory").get<std::uint64_t>());
    it.run_time = milliseconds(value.at("run_ms").get<std::int64_t>());
    return it;
}

} // namespace

std::string get_name(job_state state)
{
    return state_names[static_cast<std::size_t>(state)];
}

job_id make_job_id(const pool_id& pool, const std::string& suffix)
{
    return job_id(pool.get() + '~' + suffix);
}

std::optional<pool_id> find_pool_of_job(const job_id& job)
{
    auto mark = job.get().rfind('~');
    bool is_malformed = mark == std::string::npos || mark == 0 ||
                        job.get().find('/') != std::string::npos;
    if (is_malformed)
        return std::nullopt;
    return pool_id(job.get().substr(0, mark));
}

std::string job_row::get_result_name() const
{
    return "results/tasks/" + task.get();
}

bool job_row::is_final() const
{
    return state != job_state::queued && state != job_state::running;
}

std::string job_row::encode() const
{
    return nlohmann::json{{"order", encode_order(order)},
        {"state", state_names[static_cast<std::size_t>(state)]},
        {"data_centre", data_centre.get()}, {"attempts", attempts},
        {"delay_ms", delay.count()}, {"session", session.get()},
        {"target", target.get()}, {"task", task.get()},
        {"start_before", start_before.get()}, {"result", result},
        {"reason", reason}, {"ended_at", ended_at.get()}}
        .dump();
}

job_row job_row::decode(const std::string& text)
{
    try
    {
        auto value = nlohmann::json::parse(text);
        job_row it;
        it.order = decode_order(value.at("order"));
        it.state = parse_state(value.at("state").get<std::string>());
        it.data_centre =
            data_centre_id(value.at("data_centre").get<std::string>());
        it.attempts = value.at("attempts").get<std::uint32_t>();
        it.delay = milliseconds(value.at("delay_ms").get<std::int64_t>());
        it.session = session_id(value.at("session").get<std::uint64_t>());
        it.target = instance_id(value.at("target").get<std::string>());
        it.task = task_id(value.at("task").get<std::string>());
        it.start_before =
            target_time(value.at("start_before").get<std::int64_t>());
        it.result = value.at("result").get<std::string>();
        it.reason = value.at("reason").get<std::string>();
        it.ended_at = platform_time(value.value("ended_at", std::int64_t{0}));
        return it;
    }
    catch (const nlohmann::json::exception& e)
    {
        throw systems_error(
            "bad_job_row", std::string("malformed job: ") + e.what());
    }
}

std::string job_row::get_live_key() const
{
    return "jobs/" + order.pool.get() + '/' + order.id.get();
}

std::string job_row::get_ended_key() const
{
    return "ended/" + order.pool.get() + '/' + order.id.get();
}

} // namespace cowslippass
