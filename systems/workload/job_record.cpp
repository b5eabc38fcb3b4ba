#include "systems/workload/job_record.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

using json = nlohmann::json;

std::string encode_job_record(const job_record& record)
{
    json out = json::array({record.queue.get(), record.team.get(),
        record.acceptance_time.get(), encode_job_spec(record.spec)});
    if (record.tasks_per_segment > 0)
        out.push_back(record.tasks_per_segment);
    return out.dump();
}

job_record decode_job_record(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        return {queue_id(in.at(0).get<std::string>()),
            team_id(in.at(1).get<std::string>()),
            platform_time(in.at(2).get<std::int64_t>()),
            decode_job_spec(in.at(3).get<std::string>()),
            in.size() > 4 ? in.at(4).get<std::uint32_t>() : 0};
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job", e.what());
    }
}

} // namespace cowslippass
