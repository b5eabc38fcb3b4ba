#pragma once

#include "systems/fleet_state.hpp"

namespace cowslippass
{

/// Thrown when a request is refused at admission. The request has not run.
class admission_error : public systems_error
{
public:
    /// @param status HTTP status of the reply.
    /// @param code error code of the reply.
    admission_error(
        unsigned status, std::string code, const std::string& message)
        : systems_error(std::move(code), message), status_(status)
    {
    }

    unsigned get_status() const { return status_; }

private:
    unsigned status_;
};

/// An admitted request.
struct admission
{
    team_id team; ///< The team whose limits the work counts against.
    queue_record queue;
};

/// Authorizes a request for a queue and determines the team that it counts for
/// (invariant I3).
/// @param authorization value of the `Authorization` header: `Bearer <key>`, or
///   empty when the header is absent.
/// @throws admission_error `unknown_queue`, `missing_key`, `unknown_key` or
///   `queue_not_allowed`. A withdrawn key counts as unknown.
admission admit_request(const fleet_state& state, const queue_id& queue,
    std::string_view authorization);

/// Authenticates a request by the key in its `Authorization` header.
/// @return the team of the key.
/// @throws admission_error `missing_key` or `unknown_key`.
team_id authenticate_team(
    const fleet_state& state, std::string_view authorization);

/// @return the secret of a `Bearer` header, or an empty view for any other
///   value.
std::string_view get_bearer_token(std::string_view authorization);

} // namespace cowslippass
