#include "systems/session_admission.hpp"

namespace cowslippass
{

session_admission::session_admission(
    session_id own, const std::vector<session_id>& older)
    : own_(own), older_(older.begin(), older.end())
{
    older_.erase(own_);
    is_admitted_ = older_.empty();
}

void session_admission::on_session_ended(session_id session)
{
    older_.erase(session);
    if (older_.empty())
        is_admitted_ = true;
}

void session_admission::on_acknowledgement(
    session_id session, bool is_peer_admitted, bool has_own_session)
{
    if (older_.contains(session) && is_peer_admitted && has_own_session)
        is_admitted_ = true;
}

} // namespace cowslippass
