#include "systems/fleet_state.hpp"

#include "systems/fleet_record_fields.hpp"

#include <algorithm>

namespace cowslippass
{

namespace json_fields
{

template <>
struct fields_of<instance_row>
{
    static constexpr auto value =
        std::make_tuple(field{"description", &instance_row::description},
            field{"pool", &instance_row::pool},
            field{"state", &instance_row::state},
            field{"epoch", &instance_row::epoch},
            field{"maintained_pass", &instance_row::maintained_pass},
            field{"is_for_maintenance", &instance_row::is_for_maintenance});
};

template <>
struct fields_of<session_row>
{
    static constexpr auto value = std::make_tuple(field{"id", &session_row::id},
        field{"started", &session_row::started},
        field{"started_at", &session_row::started_at});
};

} // namespace json_fields

namespace
{

using json_fields::json;

template <class Id>
using index = std::set<std::pair<std::string, Id>>;

/// @return the first id with this text, or nothing.
template <class Id>
std::optional<Id> find_id(const index<Id>& ids, const std::string& text)
{
    auto it = ids.lower_bound({text, Id()});
    if (it == ids.end() || it->first != text)
        return {};
    return it->second;
}

template <class Key>
void erase_key(
    std::map<key_id, Key>& keys, index<key_id>& by_digest, const key_id& id)
{
    auto it = keys.find(id);
    if (it == keys.end())
        return;
    by_digest.erase({it->second.secret_sha256, id});
    keys.erase(it);
}

template <class Key>
void put_key(
    std::map<key_id, Key>& keys, index<key_id>& by_digest, const Key& key)
{
    erase_key(keys, by_digest, key.id);
    keys[key.id] = key;
    by_digest.emplace(key.secret_sha256, key.id);
}

template <class Key>
const Key* find_key(const std::map<key_id, Key>& keys,
    const index<key_id>& by_digest, std::string_view secret)
{
    std::string digest = sha256_hex(secret);
    auto id = find_id(by_digest, digest);
    if (!id)
        return nullptr;
    const Key& key = keys.at(*id);
    return is_equal_constant_time(key.secret_sha256, digest) ? &key : nullptr;
}

template <class Id, class Row>
json encode_table(const std::map<Id, Row>& table)
{
    json out = json::array();
    for (const auto& [id, row] : table)
        out.push_back(json_fields::encode_fields(row));
    return out;
}

const json& get_member(const json& in, const char* name)
{
    if (!in.is_object() || !in.contains(name))
        throw systems_error(
            "bad_snapshot", std::string("the snapshot has no '") + name + "'");
    return in[name];
}

template <class Row>
std::vector<Row> decode_table(const json& in, const char* name)
{
    const json& rows = get_member(in, name);
    if (!rows.is_array())
        throw systems_error(
            "bad_snapshot", std::string("'") + name + "' is not an array");
    std::vector<Row> out;
    out.reserve(rows.size());
    for (const json& it : rows)
        out.push_back(json_fields::decode_fields<Row>(it));
    return out;
}

} // namespace

struct fleet_state::installer
{
    fleet_state& state;

    void operator()(const team_record& it) { state.teams_[it.id] = it; }
    void operator()(const pool_record& it) { state.pools_[it.id] = it; }
    void operator()(const queue_record& it) { state.queues_[it.id] = it; }

    void operator()(const data_centre_record& it)
    {
        state.data_centres_[it.id] = it;
    }

    void operator()(const key_record& it)
    {
        put_key(state.keys_, state.keys_by_digest_, it);
    }

    void operator()(const key_withdrawn_record& it)
    {
        erase_key(state.keys_, state.keys_by_digest_, it.id);
    }

    void operator()(const operator_record& it)
    {
        put_key(state.operators_, state.operators_by_digest_, it);
    }

    void operator()(const operator_withdrawn_record& it)
    {
        erase_key(state.operators_, state.operators_by_digest_, it.id);
    }

    void operator()(const instance_record& it)
    {
        auto [found, is_new] = state.instances_.try_emplace(it.id);
        instance_row& row = found->second;
        row.description = it;
        if (is_new)
            row.pool = it.pool;
        row.description.pool = row.pool;
    }

    void operator()(const instance_state_record& it)
    {
        auto found = state.instances_.find(it.id);
        if (found == state.instances_.end())
            return;
        instance_row& row = found->second;
        row.state = it.state;
        row.is_for_maintenance = it.is_for_maintenance;
        if (it.maintained_pass)
            row.maintained_pass = *it.maintained_pass;
    }

    void operator()(const instance_moved_record& it)
    {
        auto found = state.instances_.find(it.id);
        if (found == state.instances_.end())
            return;
        instance_row& row = found->second;
        row.pool = it.pool;
        row.description.pool = it.pool;
        row.state = instance_state::in_service;
        row.is_for_maintenance = false;
        ++row.epoch;
    }

    void operator()(const instance_removed_record& it)
    {
        state.instances_.erase(it.id);
    }

    void operator()(const session_started_record& it)
    {
        session_id id(++state.last_session_);
        state.sessions_[id] = {id, it, state.version_};
        state.sessions_by_nonce_.emplace(it.nonce, id);
    }

    void operator()(const session_ended_record& it)
    {
        auto found = state.sessions_.find(it.session);
        if (found == state.sessions_.end())
            return;
        state.sessions_by_nonce_.erase(
            {found->second.started.nonce, it.session});
        state.sessions_.erase(found);
    }
};

void fleet_state::apply(
    config_version version, const std::vector<fleet_record>& records)
{
    if (version.get() != version_.get() + 1)
        throw systems_error("version_gap",
            "version " + std::to_string(version.get()) +
                " does not follow version " + std::to_string(version_.get()));
    version_ = version;
    for (const fleet_record& it : records)
        std::visit(installer{*this}, it);
}

const std::map<team_id, team_record>& fleet_state::get_teams() const
{
    return teams_;
}

const std::map<key_id, key_record>& fleet_state::get_keys() const
{
    return keys_;
}

const std::map<key_id, operator_record>& fleet_state::get_operators() const
{
    return operators_;
}

const std::map<pool_id, pool_record>& fleet_state::get_pools() const
{
    return pools_;
}

const std::map<queue_id, queue_record>& fleet_state::get_queues() const
{
    return queues_;
}

const std::map<data_centre_id, data_centre_record>&
fleet_state::get_data_centres() const
{
    return data_centres_;
}

const std::map<instance_id, instance_row>& fleet_state::get_instances() const
{
    return instances_;
}

const std::map<session_id, session_row>& fleet_state::get_sessions() const
{
    return sessions_;
}

const key_record* fleet_state::find_key_by_secret(std::string_view secret) const
{
    return find_key(keys_, keys_by_digest_, secret);
}

const operator_record* fleet_state::find_operator_by_secret(
    std::string_view secret) const
{
    return find_key(operators_, operators_by_digest_, secret);
}

std::optional<session_id> fleet_state::find_session_by_nonce(
    std::string_view nonce) const
{
    return find_id(sessions_by_nonce_, std::string(nonce));
}

bool fleet_state::is_in_service(const data_centre_id& id) const
{
    auto it = data_centres_.find(id);
    return it != data_centres_.end() && it->second.is_in_service;
}

bool fleet_state::is_available(const instance_row& instance) const
{
    return instance.state == instance_state::in_service &&
           is_in_service(instance.description.data_centre);
}

std::uint32_t fleet_state::count_unavailable(const pool_id& pool) const
{
    return static_cast<std::uint32_t>(
        std::count_if(instances_.begin(), instances_.end(),
            [&](const auto& it)
            { return it.second.pool == pool && !is_available(it.second); }));
}

std::string fleet_state::encode_snapshot() const
{
    json out;
    out["version"] = version_.get();
    out["last_session"] = last_session_;
    out["teams"] = encode_table(teams_);
    out["keys"] = encode_table(keys_);
    out["operators"] = encode_table(operators_);
    out["pools"] = encode_table(pools_);
    out["queues"] = encode_table(queues_);
    out["data_centres"] = encode_table(data_centres_);
    out["instances"] = encode_table(instances_);
    out["sessions"] = encode_table(sessions_);
    return out.dump();
}

fleet_state fleet_state::decode_snapshot(const std::string& text)
try
{
    json in = json::parse(text, nullptr, false);
    fleet_state out;
    installer install{out};
    json_fields::decode("version", get_member(in, "version"), out.version_);
    json_fields::decode(
        "last_session", get_member(in, "last_session"), out.last_session_);
    for (const auto& it : decode_table<team_record>(in, "teams"))
        install(it);
    for (const auto& it : decode_table<key_record>(in, "keys"))
        install(it);
    for (const auto& it : decode_table<operator_record>(in, "operators"))
        install(it);
    for (const auto& it : decode_table<pool_record>(in, "pools"))
        install(it);
    for (const auto& it : decode_table<queue_record>(in, "queues"))
        install(it);
    for (const auto& it : decode_table<data_centre_record>(in, "data_centres"))
        install(it);
    for (const auto& it : decode_table<instance_row>(in, "instances"))
        out.instances_[it.description.id] = it;
    for (const auto& it : decode_table<session_row>(in, "sessions"))
    {
        out.sessions_[it.id] = it;
        out.sessions_by_nonce_.emplace(it.started.nonce, it.id);
    }
    return out;
}
catch (const systems_error& e)
{
    throw systems_error("bad_snapshot", e.what());
}

} // namespace cowslippass
