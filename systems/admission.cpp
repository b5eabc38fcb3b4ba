#include "systems/admission.hpp"

namespace cowslippass
{

std::string_view get_bearer_token(std::string_view authorization)
{
    constexpr std::string_view prefix = "Bearer ";
    if (!authorization.starts_with(prefix))
        return {};
    return authorization.substr(prefix.size());
}

team_id authenticate_team(
    const fleet_state& state, std::string_view authorization)
{
    std::string_view secret = get_bearer_token(authorization);
    if (secret.empty())
        throw admission_error(401, "missing_key",
            "the header 'Authorization: Bearer <key>' is required");
    const key_record* key = state.find_key_by_secret(secret);
    if (!key)
        throw admission_error(
            401, "unknown_key", "the key is unknown or was withdrawn");
    return key->team;
}

admission admit_request(const fleet_state& state, const queue_id& queue,
    std::string_view authorization)
{
    auto it = state.get_queues().find(queue);
    if (it == state.get_queues().end())
        throw admission_error(
            404, "unknown_queue", "there is no queue '" + queue.get() + "'");
    const queue_record& record = it->second;
    if (record.is_open && authorization.empty())
        return {record.team.value_or(team_id()), record};
    team_id team = authenticate_team(state, authorization);
    if (!record.is_open && record.team && *record.team != team)
        throw admission_error(403, "queue_not_allowed",
            "the queue '" + queue.get() + "' belongs to another team");
    return {team, record};
}

} // namespace cowslippass
