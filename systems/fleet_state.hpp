#pragma once

#include "systems/fleet_record.hpp"

#include <map>
#include <set>
#include <utility>

namespace cowslippass
{

struct instance_row
{
    instance_record description;
    pool_id pool;
    instance_state state = instance_state::in_service;
    /// Rises with each move; tasks started under an older epoch count for
    /// the old pool.
    std::uint64_t epoch = 1;
    std::uint32_t maintained_pass = 0;
    bool is_for_maintenance = false; ///< Drains in order to be rebooted.
};

struct session_row
{
    session_id id;
    session_started_record started;
    config_version started_at;
};

/// The state machine of the fleet log: all configuration, the pool and state
/// of every instance, and the entries' sessions. Equal logs give equal states.
class fleet_state
{
public:
    /// Installs the records of one log entry.
    /// A record about something that does not exist has no effect, so that
    /// applying never fails halfway.
    /// @param version must be one more than `get_version()`.
    /// @throws systems_error (`version_gap`) for another version, so that no
    ///   change is skipped and no older one is ever installed.
    void apply(
        config_version version, const std::vector<fleet_record>& records);

    config_version get_version() const { return version_; }

    const std::map<team_id, team_record>& get_teams() const;
    const std::map<key_id, key_record>& get_keys() const;
    const std::map<key_id, operator_record>& get_operators() const;
    const std::map<pool_id, pool_record>& get_pools() const;
    const std::map<queue_id, queue_record>& get_queues() const;
    const std::map<data_centre_id, data_centre_record>&
    get_data_centres() const;
    const std::map<instance_id, instance_row>& get_instances() const;
    /// Live sessions only.
    const std::map<session_id, session_row>& get_sessions() const;

    /// @return the key with this secret, or null. The look-up goes by digest,
    ///   and the digest is compared in constant time.
    const key_record* find_key_by_secret(std::string_view secret) const;
    const operator_record* find_operator_by_secret(
        std::string_view secret) const;

    /// @return the live session that started with `nonce`, or nothing.
    std::optional<session_id> find_session_by_nonce(
        std::string_view nonce) const;

    /// @return whether the data centre exists and is in service.
    bool is_in_service(const data_centre_id& id) const;

    /// @return whether the instance is in service and so is its data centre.
    bool is_available(const instance_row& instance) const;

    /// @return instances of the pool that are not in service, whatever the
    ///   reason, also because their data centre is out; compared with the
    ///   pool's availability budget.
    std::uint32_t count_unavailable(const pool_id& pool) const;

    /// @return the whole state as JSON, for `config/snapshot`.
    std::string encode_snapshot() const;

    /// @throws systems_error (`bad_snapshot`).
    static fleet_state decode_snapshot(const std::string& text);

private:
    /// Overloads install one kind of record each.
    struct installer;

    config_version version_{0};
    std::uint64_t last_session_ = 0;
    std::map<team_id, team_record> teams_;
    std::map<key_id, key_record> keys_;
    std::map<key_id, operator_record> operators_;
    // Sets of pairs, as the look-up must still find one of two owners of the
    // same digest or nonce when the other is gone.
    std::set<std::pair<std::string, key_id>> keys_by_digest_;
    std::set<std::pair<std::string, key_id>> operators_by_digest_;
    std::map<pool_id, pool_record> pools_;
    std::map<queue_id, queue_record> queues_;
    std::map<data_centre_id, data_centre_record> data_centres_;
    std::map<instance_id, instance_row> instances_;
    std::map<session_id, session_row> sessions_;
    std::set<std::pair<std::string, session_id>> sessions_by_nonce_;
};

} // namespace cowslippass
