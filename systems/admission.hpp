#pragma once

#include "systems/fleet_state.hpp"

namespace cowslippass
{

/// A request that was not admitted; it has not run.
class admission_error : public systems_error
{
public:
    /// @param status the HTTP status that fits the code.
    admission_error(
        unsigned status, std::string code, const std::string& message)
        : systems_error(std::move(code), message), status_(status)
    {
    }

    unsigned get_status() const { return status_; }

private:
    unsigned status_;
};

struct admission
{
    team_id team; ///< The team that the work counts for.
    queue_record queue;
};

/// Decides whether work may enter a queue, and for which team (I3).
/// @param authorization value of the header: `Bearer <key>`, or empty.
/// @throws admission_error `unknown_queue`, `missing_key`, `unknown_key` or
///   `queue_not_allowed`. A withdrawn key is unknown.
admission admit_request(const fleet_state& state, const queue_id& queue,
    std::string_view authorization);

/// @return the team of the key in the header.
/// @throws admission_error `missing_key` or `unknown_key`.
team_id authenticate_team(
    const fleet_state& state, std::string_view authorization);

/// @return the secret in a `Bearer` header, or an empty view.
std::string_view get_bearer_token(std::string_view authorization);

} // namespace cowslippass
