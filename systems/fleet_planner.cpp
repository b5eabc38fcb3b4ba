#include "systems/fleet_planner.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

using records = std::vector<fleet_record>;

/// No target offers more slots.
constexpr std::uint32_t max_slots = 8;

template <class Id, class Row>
const Row& get_known(
    const std::map<Id, Row>& table, const Id& id, const char* kind)
{
    auto it = table.find(id);
    if (it == table.end())
        throw planning_error("unknown_name",
            std::string(kind) + " '" + id.get() + "' does not exist");
    return it->second;
}

template <class Id, class Row>
void require_new(const std::map<Id, Row>& table, const Id& id, const char* kind)
{
    if (table.contains(id))
        throw planning_error("duplicate_name",
            std::string(kind) + " '" + id.get() + "' exists already");
}

const instance_row& get_instance(
    const fleet_state& state, const instance_id& id)
{
    return get_known(state.get_instances(), id, "instance");
}

const pool_record& get_pool(const fleet_state& state, const pool_id& id)
{
    return get_known(state.get_pools(), id, "pool");
}

const team_record& get_team(const fleet_state& state, const team_id& id)
{
    return get_known(state.get_teams(), id, "team");
}

const data_centre_record& get_centre(
    const fleet_state& state, const data_centre_id& id)
{
    return get_known(state.get_data_centres(), id, "data centre");
}

/// Two owners of one secret could not be told apart.
void require_new_secret(const fleet_state& state, const std::string& digest)
{
    auto has_digest = [&](const auto& it)
    { return it.second.secret_sha256 == digest; };
    const auto& keys = state.get_keys();
    const auto& operators = state.get_operators();
    if (std::any_of(keys.begin(), keys.end(), has_digest) ||
        std::any_of(operators.begin(), operators.end(), has_digest))
        throw planning_error("duplicate_name", "the secret is in use already");
}

[[noreturn]] void fail_state(const instance_row& row, const std::string& rule)
{
    throw planning_error("wrong_state", "instance '" +
                                            row.description.id.get() + "' is " +
                                            get_name(row.state) + "; " + rule);
}

/// @return instances of the pool that would be unavailable even if every data
///   centre were in service. They must fit the budget too, or it would be
///   exceeded when a data centre comes back.
std::uint32_t count_stopped(const fleet_state& state, const pool_id& pool)
{
    const auto& instances = state.get_instances();
    return static_cast<std::uint32_t>(
        std::count_if(instances.begin(), instances.end(),
            [&](const auto& it)
            {
                return it.second.pool == pool &&
                       it.second.state != instance_state::in_service;
            }));
}

/// Checks that one more instance may leave service on purpose. One that is
/// not in service anyway makes nothing worse.
void require_budget(const fleet_state& state, const instance_row& row)
{
    if (row.state != instance_state::in_service)
        return;
    std::uint32_t limit = get_pool(state, row.pool).max_unavailable;
    std::uint32_t count = count_stopped(state, row.pool);
    if (state.is_available(row))
        count = state.count_unavailable(row.pool);
    if (count >= limit)
        throw planning_error("budget_exceeded",
            "pool '" + row.pool.get() + "' has " + std::to_string(count) +
                " unavailable instances and may have " + std::to_string(limit));
}

records plan_state(const instance_row& row, instance_state next)
{
    return {instance_state_record{row.description.id, next, {}, false}};
}

records plan_take_out(const fleet_state& state, const instance_row& row)
{
    if (row.state == instance_state::out)
        throw planning_error("no_change", "the instance is out already");
    require_budget(state, row);
    return plan_state(row, instance_state::out);
}

records plan_bring_back(const fleet_state&, const instance_row& row)
{
    if (row.state == instance_state::in_service)
        throw planning_error("no_change", "the instance is in service already");
    if (row.state == instance_state::rebooting)
        fail_state(row, "it returns by itself, or take it out first");
    return plan_state(row, instance_state::in_service);
}

records plan_drain(const fleet_state& state, const instance_row& row)
{
    if (row.state != instance_state::in_service)
        fail_state(row, "only an instance in service can be drained");
    require_budget(state, row);
    return plan_state(row, instance_state::draining);
}

records plan_maintenance(const fleet_state& state, const instance_row& row)
{
    if (row.is_for_maintenance || row.state == instance_state::rebooting)
        throw planning_error("no_change", "it is under maintenance already");
    require_budget(state, row);
    return {instance_state_record{
        row.description.id, instance_state::draining, {}, true}};
}

using instance_plan = records (*)(const fleet_state&, const instance_row&);

/// In the order of `instance_change`.
constexpr instance_plan instance_plans[] = {
    plan_take_out, plan_bring_back, plan_drain, plan_maintenance};

struct planner
{
    const fleet_state& state;

    records operator()(const create_team_command& it) const
    {
        require_new(state.get_teams(), it.team, "team");
        return {team_record{it.team, it.share, it.limit}};
    }

    records operator()(const set_team_command& it) const
    {
        team_record team = get_team(state, it.team);
        team.share = it.share.value_or(team.share);
        team.limit = it.limit.value_or(team.limit);
        return {team};
    }

    records operator()(const create_pool_command& it) const
    {
        require_new(state.get_pools(), it.pool, "pool");
        return {pool_record{it.pool, it.max_unavailable, it.is_spare}};
    }

    records operator()(const set_pool_command& it) const
    {
        pool_record pool = get_pool(state, it.pool);
        std::uint32_t count = state.count_unavailable(it.pool);
        bool is_lower = it.max_unavailable < pool.max_unavailable;
        if (is_lower && count > it.max_unavailable)
            throw planning_error("budget_exceeded",
                "pool '" + it.pool.get() + "' has " + std::to_string(count) +
                    " unavailable instances now");
        pool.max_unavailable = it.max_unavailable;
        return {pool};
    }

    records operator()(const create_queue_command& it) const
    {
        require_new(state.get_queues(), it.queue, "queue");
        get_pool(state, it.pool);
        if (it.team)
            get_team(state, *it.team);
        if (it.is_open && !it.team)
            throw planning_error("bad_value",
                "an open queue needs a team that its work counts for");
        return {queue_record{
            it.queue, it.pool, it.kind, it.is_idempotent, it.is_open, it.team}};
    }

    records operator()(const create_data_centre_command& it) const
    {
        require_new(state.get_data_centres(), it.data_centre, "data centre");
        return {data_centre_record{it.data_centre, true}};
    }

    records operator()(const serve_data_centre_command& it) const
    {
        data_centre_record centre = get_centre(state, it.data_centre);
        if (centre.is_in_service == it.is_in_service)
            throw planning_error("no_change",
                it.is_in_service ? "the data centre is in service already"
                                 : "the data centre is out already");
        centre.is_in_service = it.is_in_service;
        return {centre};
    }

    records operator()(const add_instance_command& it) const
    {
        const auto& instances = state.get_instances();
        require_new(instances, it.instance, "instance");
        get_centre(state, it.data_centre);
        get_pool(state, it.pool);
        if (it.slots.get() > max_slots)
            throw planning_error("bad_value", "an instance has at most " +
                                                  std::to_string(max_slots) +
                                                  " slots");
        // Two names for one target would offer its slots twice.
        if (std::any_of(instances.begin(), instances.end(),
                [&](const auto& row)
                { return row.second.description.address == it.address; }))
            throw planning_error("duplicate_name",
                "another instance has the address " + it.address);
        return {instance_record{it.instance, it.data_centre, it.rack,
            it.address, it.slots, it.memory, it.pool}};
    }

    records operator()(const remove_instance_command& it) const
    {
        const instance_row& row = get_instance(state, it.instance);
        if (row.state == instance_state::in_service)
            fail_state(row, "drain it or take it out first");
        return {instance_removed_record{it.instance}};
    }

    records operator()(const change_instance_command& it) const
    {
        const instance_row& row = get_instance(state, it.instance);
        return instance_plans[static_cast<std::size_t>(it.change)](state, row);
    }

    records operator()(const move_instance_command& it) const
    {
        const instance_row& row = get_instance(state, it.instance);
        get_pool(state, it.pool);
        if (row.pool == it.pool)
            throw planning_error(
                "no_change", "the instance is in this pool already");
        bool is_drained = row.state == instance_state::draining ||
                          row.state == instance_state::out;
        if (!is_drained || row.is_for_maintenance)
            fail_state(row, "drain it or take it out first");
        return {instance_moved_record{it.instance, it.pool}};
    }

    records operator()(const grant_key_command& it) const
    {
        require_new(state.get_keys(), it.key, "key");
        get_team(state, it.team);
        require_new_secret(state, it.secret_sha256);
        return {key_record{it.key, it.team, it.secret_sha256}};
    }

    records operator()(const withdraw_key_command& it) const
    {
        get_known(state.get_keys(), it.key, "key");
        return {key_withdrawn_record{it.key}};
    }

    records operator()(const grant_operator_command& it) const
    {
        require_new(state.get_operators(), it.id, "operator");
        require_new_secret(state, it.secret_sha256);
        return {operator_record{it.id, it.secret_sha256}};
    }

    records operator()(const withdraw_operator_command& it) const
    {
        get_known(state.get_operators(), it.id, "operator");
        // Nobody could send a command any more.
        if (state.get_operators().size() == 1)
            throw planning_error(
                "last_operator", "grant another operator first");
        return {operator_withdrawn_record{it.id}};
    }
};

/// Refuses values that the log would refuse, such as a share of 0.
records check(records planned)
try
{
    for (const fleet_record& it : planned)
        check_record(it);
    return planned;
}
catch (const systems_error& e)
{
    throw planning_error("bad_value", e.what());
}

} // namespace

std::vector<fleet_record> plan(
    const fleet_state& state, const change_command& change)
{
    return check(std::visit(planner{state}, change));
}

std::vector<fleet_record> plan_session_start(
    const fleet_state& state, const session_started_record& started)
{
    if (state.find_session_by_nonce(started.nonce))
        throw planning_error(
            "duplicate_name", "a live session has this nonce already");
    return check({started});
}

std::vector<fleet_record> plan_session_end(
    const fleet_state& state, session_id session)
{
    require_live_session(state, session);
    return {session_ended_record{session}};
}

void require_live_session(const fleet_state& state, session_id session)
{
    if (!state.get_sessions().contains(session))
        throw planning_error("session_ended",
            "session " + std::to_string(session.get()) + " is not live");
}

std::vector<fleet_record> plan_instance_failure(
    const fleet_state& state, const instance_id& instance)
{
    const instance_row& row = get_instance(state, instance);
    if (row.state == instance_state::failed || row.state == instance_state::out)
        throw planning_error("no_change", "the instance is out already");
    return plan_state(row, instance_state::failed);
}

std::vector<fleet_record> plan_reboot(
    const fleet_state& state, const instance_id& instance)
{
    const instance_row& row = get_instance(state, instance);
    if (row.state != instance_state::draining || !row.is_for_maintenance)
        fail_state(row, "only a drain for maintenance leads to a reboot");
    return {
        instance_state_record{instance, instance_state::rebooting, {}, true}};
}

std::vector<fleet_record> plan_instance_return(
    const fleet_state& state, const instance_id& instance, std::uint32_t pass)
{
    const instance_row& row = get_instance(state, instance);
    instance_state_record next{instance, instance_state::in_service, {}, false};
    if (row.state == instance_state::rebooting)
        next.maintained_pass = std::max(row.maintained_pass, pass);
    else if (row.state != instance_state::failed)
        fail_state(row, "only operators bring it back");
    return {next};
}

} // namespace cowslippass
