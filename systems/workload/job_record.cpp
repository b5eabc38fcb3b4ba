#include "systems/workload/job_record.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

using json = nlohmann::json;

std::string encode_job_record(const job_record& record)
{
    return json::array(
        {record.queue.get(), record.team.get(), record.acceptance_time.get(),
            encode_job_spec(record.spec)})
        .dump();
}

job_record decode_job_record(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        return {queue_id(in.at(0).get<std::string>()),
            team_id(in.at(1).get<std::string>()),
            platform_time(in.at(2).get<std::int64_t>()),
            decode_job_spec(in.at(3).get<std::string>())};
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_job", e.what());
    }
}

} // namespace cowslippass
