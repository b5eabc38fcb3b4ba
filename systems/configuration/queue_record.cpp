#include "systems/configuration/queue_record.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

using json = nlohmann::json;

std::string encode_queue_config(const queue_config& queue)
{
    json out{{"queue", queue.queue.get()}, {"host", queue.host},
        {"path_prefix", queue.path_prefix}, {"pool", queue.pool.get()},
        {"priority", queue.priority}, {"max_attempts", queue.max_attempts},
        {"stretch_factor", queue.stretch_factor},
        {"deadline_allowance_ms", queue.deadline_allowance.count()},
        {"allows_anonymous_callers", queue.allows_anonymous_callers}};
    if (queue.advice)
        out["advice_ms"] = {queue.advice->time_per_call.count(),
            queue.advice->time_per_target.count(),
            queue.advice->ticket_validity.count()};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

queue_config decode_queue_config(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        queue_config out;
        out.queue = queue_id(in.at("queue").get<std::string>());
        in.at("host").get_to(out.host);
        in.at("path_prefix").get_to(out.path_prefix);
        out.pool = pool_id(in.at("pool").get<std::string>());
        in.at("priority").get_to(out.priority);
        in.at("max_attempts").get_to(out.max_attempts);
        in.at("stretch_factor").get_to(out.stretch_factor);
        out.deadline_allowance =
            milliseconds(in.at("deadline_allowance_ms").get<std::int64_t>());
        in.at("allows_anonymous_callers").get_to(out.allows_anonymous_callers);
        if (auto it = in.find("advice_ms"); it != in.end())
            out.advice =
                advice_config{milliseconds(it->at(0).get<std::int64_t>()),
                    milliseconds(it->at(1).get<std::int64_t>()),
                    milliseconds(it->at(2).get<std::int64_t>())};
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_queue", e.what());
    }
}

} // namespace cowslippass
