#pragma once

#include "core/core.hpp"

#include <set>
#include <vector>

namespace cowslippass
{

/// Decides when a new session may append changes to the fleet log, other than
/// its own `session_started` and `session_ended`.
///
/// During a platform outage the older sessions may agree on their version
/// without knowing the newcomer. The newcomer therefore waits until an older
/// live session has it in its state: that session no longer agrees on an
/// older version. The acknowledging session must be admitted itself, or two
/// newcomers would admit each other without the older sessions.
class session_admission
{
public:
    /// @param older live sessions of the state when the own session started,
    ///   without the own one. Empty admits at once.
    session_admission(session_id own, const std::vector<session_id>& older);

    /// An older session ended by a record of the fleet log. The record was
    /// appended by an admitted session, so that when the last one has ended
    /// nobody older can agree without the own session.
    void on_session_ended(session_id session);

    /// @param is_peer_admitted whether `session` is admitted itself.
    /// @param has_own_session whether its state contains the own session.
    void on_acknowledgement(
        session_id session, bool is_peer_admitted, bool has_own_session);

    /// An operator states that no older entry runs any more. The only way on
    /// after all entries died at once.
    void admit_by_operator() { is_admitted_ = true; }

    bool is_admitted() const { return is_admitted_; }

private:
    session_id own_;
    std::set<session_id> older_;
    bool is_admitted_ = false;
};

} // namespace cowslippass
