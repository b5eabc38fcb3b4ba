#pragma once

#include "core/core.hpp"
#include "systems/fleet_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslippass
{

struct membership_settings
{
    /// Silence after which an entry of the own data centre is suspected;
    /// four summaries.
    milliseconds suspicion{2000};
    /// The same for a gossip partner of another data centre; three summaries.
    milliseconds remote_suspicion{6000};
    /// A suspected partner of another data centre is tried again after this.
    milliseconds remote_retry{30000};
};

/// Which of the sessions in the fleet state can be given work. The state says
/// which sessions exist; silence and the instance list only take from them.
class membership
{
public:
    static constexpr std::size_t partners_per_data_centre = 2;

    membership(session_id own, data_centre_id own_data_centre,
        membership_settings settings = {});

    /// Takes the live sessions of the fleet state, after each change. A new
    /// session counts as heard of at `now`.
    void set_sessions(
        const std::map<session_id, session_row>& sessions, monotonic_time now);

    /// A frame of the peer came in.
    void note_heard(session_id peer, monotonic_time now);

    /// The port of the peer refused a connection: the process is gone or
    /// restarts. It is suspected at once, until it is heard of again or, in
    /// another data centre, tried again.
    void note_refused(session_id peer, monotonic_time now);

    /// Takes the entries that the platform's instance list names as leaving.
    /// The list lags, so that an entry that is missing in it is not dead, and
    /// a session that started after a restart waits until the list follows.
    void set_leaving(std::set<entry_id> entries);

    /// Entries of other data centres that are no gossip partners are not
    /// suspected for silence.
    bool is_suspect(session_id peer, monotonic_time now) const;
    bool is_leaving(session_id session) const;

    /// @return sessions of the data centre that can get new work, the own one
    ///   included, in ascending order.
    std::vector<session_id> get_live(
        const data_centre_id& data_centre, monotonic_time now) const;

    /// Chooses the entries of other data centres to exchange summaries with:
    /// two in each, other ones in place of those that are suspected. With
    /// fewer than two others, suspected ones are kept, so that the end of a
    /// partition is noticed.
    std::vector<session_id> choose_partners(monotonic_time now);

    /// @return entries of the own data centre to exchange summaries with;
    ///   suspected and leaving ones too.
    std::vector<session_id> get_neighbours() const;

private:
    struct peer
    {
        entry_id entry;
        data_centre_id data_centre;
        monotonic_time heard;
        std::optional<monotonic_time> refused;
        bool is_partner = false;
        std::optional<monotonic_time> partner_since;
    };

    bool is_silent(const peer& it, monotonic_time now) const;
    void retry_old_suspects(monotonic_time now);
    std::vector<session_id> rank(const data_centre_id& data_centre) const;
    std::vector<session_id> choose_in(
        const data_centre_id& data_centre, monotonic_time now) const;

    session_id own_;
    data_centre_id own_data_centre_;
    membership_settings settings_;
    std::map<session_id, peer> peers_; ///< With the own session.
    std::set<entry_id> leaving_;
};

} // namespace cowslippass
