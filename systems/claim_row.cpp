#include "systems/claim_row.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace cowslippass
{

namespace
{

constexpr std::array state_names{"claimed", "done", "not_run"};

claim_state parse_state(const std::string& name)
{
    for (std::size_t n = 0; n < state_names.size(); ++n)
    {
        if (name == state_names[n])
            return static_cast<claim_state>(n);
    }
    throw systems_error("bad_claim_row", "unknown claim state " + name);
}

} // namespace

std::string claim_row::encode() const
{
    nlohmann::json value{
        {"state", state_names[static_cast<std::size_t>(state)]},
        {"digest", digest}, {"session", session.get()},
        {"target", target.get()}, {"task", task.get()},
        {"start_before", start_before.get()}, {"boot", boot}};
    if (claimed_at != platform_time())
        value["at"] = claimed_at.get();
    if (!result.empty())
        value["result"] = result;
    if (!failure.empty())
        value["failure"] = failure;
    return value.dump();
}

claim_row claim_row::decode(const std::string& text)
{
    try
    {
        auto value = nlohmann::json::parse(text);
        claim_row it;
        it.state = parse_state(value.at("state").get<std::string>());
        it.digest = value.at("digest").get<std::string>();
        it.session = session_id(value.at("session").get<std::uint64_t>());
        it.target = instance_id(value.at("target").get<std::string>());
        it.task = task_id(value.at("task").get<std::string>());
        it.boot = value.at("boot").get<std::string>();
        it.start_before =
            target_time(value.at("start_before").get<std::int64_t>());
        it.claimed_at = platform_time(value.value("at", std::int64_t{0}));
        it.result = value.value("result", "");
        it.failure = value.value("failure", "");
        return it;
    }
    catch (const nlohmann::json::exception& e)
    {
        throw systems_error(
            "bad_claim_row", std::string("malformed claim: ") + e.what());
    }
}

std::string claim_row::get_result_name() const
{
    return "results/tasks/" + task.get();
}

std::string claim_row::get_key(const team_id& team, const request_id& request)
{
    return "claims/" + team.get() + '/' + request.get();
}

} // namespace cowslippass
