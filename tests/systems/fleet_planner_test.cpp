#include "systems/fleet_planner.hpp"

#include "systems/command_parser.hpp"
#include "tests/systems/fleet_generators.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

using records = std::vector<fleet_record>;

records plan_text(const fleet_state& state, const std::string& text)
{
    auto change = std::get<change_command>(parse_command(text));
    if (auto* grant = std::get_if<grant_key_command>(&change))
        grant->secret_sha256 = sha256_hex(grant->key.get());
    if (auto* grant = std::get_if<grant_operator_command>(&change))
        grant->secret_sha256 = sha256_hex(grant->id.get());
    return plan(state, change);
}

void run(fleet_state& state, const std::string& text)
{
    apply_next(state, plan_text(state, text));
}

/// @return the code of the refusal, or an empty string.
std::string get_refusal(const fleet_state& state, const std::string& text)
{
    return get_error_code([&] { plan_text(state, text); });
}

/// Two data centres; i1 to i4 in pool p1 (budget 1), i5 in p2 (budget 0).
fleet_state make_small_fleet()
{
    fleet_state state;
    for (const char* text : {"create data-centre d1", "create data-centre d2",
             "create pool p1", "create pool p2 max-unavailable 0 spare",
             "create team t1 limit 5", "grant operator o1"})
        run(state, text);
    const std::string centres[] = {"d2", "d1", "d2", "d1", "d2"};
    for (int i = 0; i < 5; ++i)
    {
        std::string n = std::to_string(i + 1);
        run(state, "add instance i" + n + " data-centre " + centres[i] +
                       " rack r1 address 127.0.0.1:8" + n +
                       (i == 4 ? " pool p2" : " pool p1"));
    }
    return state;
}

/// Statements, and the reports that have none; a digit replaces each `#`.
const std::vector<std::string> step_forms{"drain instance i#",
    "maintain instance i#", "take instance i# out", "bring instance i# back",
    "move instance i# to pool p#", "remove instance i#",
    "take data-centre d# out", "bring data-centre d# back", "create pool p#",
    "set pool p# max-unavailable #", "fail i#", "reboot i#", "return i#",
    "add instance i# data-centre d# rack r1 address 127.0.0.1:8# pool p#"};

rc::Gen<std::string> any_step()
{
    auto digits =
        rc::gen::container<std::string>(4, rc::gen::inRange('0', '5'));
    return rc::gen::apply(
        [](std::string form, const std::string& values)
        {
            auto next = values.begin();
            for (char& c : form)
                c = c == '#' ? *next++ : c;
            return form;
        },
        rc::gen::elementOf(step_forms), digits);
}

records plan_step(const fleet_state& state, const std::string& step)
{
    instance_id instance(step.substr(step.find(' ') + 1));
    if (step.starts_with("fail "))
        return plan_instance_failure(state, instance);
    if (step.starts_with("reboot "))
        return plan_reboot(state, instance);
    if (step.starts_with("return "))
        return plan_instance_return(state, instance, 1);
    return plan_text(state, step);
}

/// @return instances of the pool that are not in service by themselves.
std::uint32_t count_stopped(const fleet_state& state, const pool_id& pool)
{
    std::uint32_t n = 0;
    for (const auto& [id, row] : state.get_instances())
        n += row.pool == pool && row.state != instance_state::in_service;
    return n;
}

void check_rules(const fleet_state& before, const fleet_state& after,
    const std::string& step)
{
    std::set<std::string> addresses;
    for (const auto& [id, row] : after.get_instances())
    {
        RC_ASSERT(after.get_pools().contains(row.pool));
        RC_ASSERT(row.description.pool == row.pool);
        RC_ASSERT(addresses.insert(row.description.address).second);
    }
    bool is_fact = step.starts_with("fail ");
    bool is_stop = step.starts_with("drain ") ||
                   step.starts_with("maintain ") ||
                   step.starts_with("take instance ");
    for (const auto& [id, pool] : after.get_pools())
    {
        bool has_grown = count_stopped(after, id) > count_stopped(before, id);
        if (has_grown && !is_fact)
            RC_ASSERT(count_stopped(after, id) <= pool.max_unavailable);
        bool is_worse =
            after.count_unavailable(id) > before.count_unavailable(id);
        if (is_stop && is_worse)
            RC_ASSERT(after.count_unavailable(id) <= pool.max_unavailable);
    }
}

} // namespace

// Guards against operators that race each other past a budget (I1) or put an
// instance in two pools (I2): each plans against the version that it knows,
// and plans again after it lost the race.
RC_GTEST_PROP(fleet_planner, racing_operators_keep_the_rules, ())
{
    auto steps = *rc::gen::container<std::vector<std::pair<int, std::string>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), any_step()));
    fleet_state head = make_small_fleet();
    const fleet_state start = head;
    std::vector<fleet_state> operators(3, start);
    std::vector<records> log;
    auto catch_up = [&](fleet_state& mine)
    {
        auto first = start.get_version().get();
        for (auto n = mine.get_version().get() - first; n < log.size(); ++n)
            mine.apply(config_version(first + n + 1), log[n]);
    };
    for (const auto& [who, step] : steps)
    {
        fleet_state& mine = operators[who];
        try
        {
            auto planned = plan_step(mine, step);
            if (mine.get_version() != head.get_version())
            {
                catch_up(mine);
                planned = plan_step(mine, step);
            }
            fleet_state before = head;
            log.push_back(decode_records(encode_records(planned)));
            apply_next(head, planned);
            check_rules(before, head, step);
        }
        catch (const planning_error&)
        {
            catch_up(mine);
        }
    }
    for (fleet_state& mine : operators)
    {
        catch_up(mine);
        RC_ASSERT(mine.encode_snapshot() == head.encode_snapshot());
    }
    RC_CLASSIFY(log.size() > 10, "more than 10 changes");
}

// Guards against a second stop that exceeds the pool's budget, also when a
// data centre is out and returns later.
TEST(fleet_planner, stops_stay_within_the_budget)
{
    auto state = make_small_fleet();
    EXPECT_EQ(get_refusal(state, "drain instance i5"), "budget_exceeded");
    run(state, "drain instance i1");
    for (const char* verb : {"drain instance i2", "maintain instance i2",
             "take instance i2 out", "set pool p1 max-unavailable 0"})
        EXPECT_EQ(get_refusal(state, verb), "budget_exceeded") << verb;
    EXPECT_EQ(get_refusal(state, "take instance i1 out"), "");
    run(state, "bring instance i1 back");
    run(state, "take data-centre d1 out");
    EXPECT_EQ(state.count_unavailable(pool_id("p1")), 2u);
    EXPECT_EQ(get_refusal(state, "drain instance i1"), "budget_exceeded");
    run(state, "drain instance i2");
    EXPECT_EQ(get_refusal(state, "drain instance i4"), "budget_exceeded");
}

// Guards against a move under running tasks, which would give the instance to
// two pools at once (I2).
TEST(fleet_planner, only_drained_instances_move)
{
    auto state = make_small_fleet();
    EXPECT_EQ(get_refusal(state, "move instance i1 to pool p2"), "wrong_state");
    EXPECT_EQ(get_refusal(state, "remove instance i1"), "wrong_state");
    run(state, "maintain instance i1");
    EXPECT_EQ(get_refusal(state, "move instance i1 to pool p2"), "wrong_state");
    run(state, "take instance i1 out");
    EXPECT_EQ(get_refusal(state, "move instance i1 to pool p1"), "no_change");
    run(state, "move instance i1 to pool p2");
    const instance_row& row = state.get_instances().at(instance_id("i1"));
    EXPECT_EQ(row.pool, pool_id("p2"));
    EXPECT_EQ(row.state, instance_state::in_service);
    EXPECT_EQ(row.epoch, 2u);
    EXPECT_EQ(state.count_unavailable(pool_id("p1")), 0u);
}

// Guards against a maintenance pass that is lost or counted twice.
TEST(fleet_planner, a_maintenance_pass_is_counted_at_its_end)
{
    auto state = make_small_fleet();
    instance_id i1("i1");
    EXPECT_THROW(plan_reboot(state, i1), planning_error);
    run(state, "maintain instance i1");
    EXPECT_EQ(get_refusal(state, "maintain instance i1"), "no_change");
    EXPECT_THROW(plan_instance_return(state, i1, 7), planning_error);
    apply_next(state, plan_reboot(state, i1));
    EXPECT_EQ(get_refusal(state, "bring instance i1 back"), "wrong_state");
    apply_next(state, plan_instance_return(state, i1, 7));
    EXPECT_EQ(state.get_instances().at(i1).maintained_pass, 7u);
    EXPECT_FALSE(state.get_instances().at(i1).is_for_maintenance);
    EXPECT_THROW(plan_instance_return(state, i1, 7), planning_error);
    // The clock of another holder may be behind.
    run(state, "maintain instance i1");
    apply_next(state, plan_reboot(state, i1));
    apply_next(state, plan_instance_return(state, i1, 6));
    EXPECT_EQ(state.get_instances().at(i1).maintained_pass, 7u);
}

TEST(fleet_planner, bad_names_and_values_are_refused)
{
    auto state = make_small_fleet();
    run(state, "grant key k1 to team t1");
    const std::vector<std::pair<const char*, const char*>> cases{
        {"create team t1 limit 1", "duplicate_name"},
        {"create team t2 share 0 limit 1", "bad_value"},
        {"create team t2 limit 0", ""},
        {"set team t9 limit 1", "unknown_name"},
        {"set team t1 share 0", "bad_value"},
        {"set team t1 limit 0", ""},
        {"create pool p1", "duplicate_name"},
        {"create queue q1 pool p9 slow", "unknown_name"},
        {"create queue q1 pool p1 slow team t9", "unknown_name"},
        {"create queue q1 pool p1 slow open", "bad_value"},
        {"create queue q1 pool p1 slow open team t1", ""},
        {"create data-centre d1", "duplicate_name"},
        {"take data-centre d9 out", "unknown_name"},
        {"bring data-centre d1 back", "no_change"},
        {"add instance i6 data-centre d9 rack r address 127.0.0.1:6 pool p1",
            "unknown_name"},
        {"add instance i6 data-centre d1 rack r address 127.0.0.1:6 pool p9",
            "unknown_name"},
        {"add instance i6 data-centre d1 rack r address 127.0.0.1:81 pool p1",
            "duplicate_name"},
        {"add instance i6 data-centre d1 rack r address 127.0.0.1:6 pool p1"
         " slots 9",
            "bad_value"},
        {"grant key k1 to team t1", "duplicate_name"},
        {"grant key k2 to team t9", "unknown_name"},
        {"withdraw key k9", "unknown_name"},
        {"grant operator k1", "duplicate_name"},
        {"withdraw operator o1", "last_operator"},
    };
    for (const auto& [text, code] : cases)
        EXPECT_EQ(get_refusal(state, text), code) << text;
}

// Guards against a paused entry that goes on under a session that was ended,
// and against a session number that is given out twice.
TEST(fleet_planner, an_ended_session_stays_ended)
{
    fleet_state state;
    session_id first(1);
    session_started_record started{entry_id("e1"), data_centre_id("d1"),
        "127.0.0.1:1", "127.0.0.1:2", "n1"};
    apply_next(state, plan_session_start(state, started));
    EXPECT_EQ(state.find_session_by_nonce("n1"), first);
    EXPECT_THROW(plan_session_start(state, started), planning_error);
    apply_next(state, plan_session_end(state, first));
    EXPECT_FALSE(state.find_session_by_nonce("n1"));
    EXPECT_THROW(plan_session_end(state, first), planning_error);
    EXPECT_THROW(require_live_session(state, first), planning_error);
    auto copy = fleet_state::decode_snapshot(state.encode_snapshot());
    apply_next(copy, plan_session_start(copy, started));
    EXPECT_EQ(copy.find_session_by_nonce("n1"), session_id(2));
    EXPECT_EQ(copy.get_sessions().begin()->second.started_at.get(), 3u);
    started.http_address = "host:80";
    EXPECT_THROW(plan_session_start(state, started), planning_error);
}

} // namespace cowslippass
