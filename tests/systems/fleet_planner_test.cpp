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

/// Plans and applies one statement.
void run(fleet_state& state, const std::string& text)
{
    state.apply(
        config_version(state.get_version().get() + 1), plan_text(state, text));
}

/// @return the code of the refusal, or `planned`.
std::string try_plan(const fleet_state& state, const std::string& text)
{
    try
    {
        plan_text(state, text);
        return "planned";
    }
    catch (const planning_error& e)
    {
        return e.get_code();
    }
}

/// Two data centres; i1 to i4 in pool p1 (budget 1), i5 in p2 (budget 0).
std::vector<records> make_small_fleet()
{
    fleet_state state;
    std::vector<records> log;
    auto add = [&](const std::string& text)
    {
        log.push_back(plan_text(state, text));
        state.apply(config_version(log.size()), log.back());
    };
    add("create data-centre d1");
    add("create data-centre d2");
    add("create pool p1");
    add("create pool p2 max-unavailable 0 spare");
    for (int i = 1; i <= 5; ++i)
    {
        std::string n = std::to_string(i);
        add("add instance i" + n + " data-centre d" +
            std::to_string(1 + i % 2) + " rack r1 address 127.0.0.1:" + n +
            " pool p" + (i == 5 ? "2" : "1"));
    }
    add("create team t1 limit 5");
    add("grant operator o1");
    return log;
}

fleet_state replay(const std::vector<records>& log)
{
    fleet_state state;
    for (std::size_t i = 0; i < log.size(); ++i)
        state.apply(config_version(i + 1), log[i]);
    return state;
}

rc::Gen<std::string> any_statement()
{
    auto name = generators::small_name('i');
    auto pool = generators::small_name('p');
    auto centre = generators::small_name('d');
    auto join = [](auto... parts)
    {
        return rc::gen::apply(
            [](auto... it) { return (... + it); }, std::move(parts)...);
    };
    auto text = [](const char* it) { return rc::gen::just(std::string(it)); };
    return rc::gen::oneOf(join(text("drain instance "), name),
        join(text("maintain instance "), name),
        join(text("take instance "), name, text(" out")),
        join(text("bring instance "), name, text(" back")),
        join(text("move instance "), name, text(" to pool "), pool),
        join(text("remove instance "), name),
        join(text("take data-centre "), centre, text(" out")),
        join(text("bring data-centre "), centre, text(" back")),
        join(text("create pool "), pool),
        join(text("set pool "), pool, text(" max-unavailable "),
            rc::gen::element<std::string>("0", "1", "2")),
        join(text("add instance "), name, text(" data-centre "), centre,
            text(" rack r1 address 127.0.0.1:"),
            rc::gen::element<std::string>("1", "2", "6"), text(" pool "), pool),
        join(text("fail "), name), join(text("reboot "), name),
        join(text("return "), name));
}

/// Plans a statement, or one of the reports about an instance that have no
/// statement.
records plan_step(const fleet_state& state, const std::string& step)
{
    instance_id instance(step.substr(step.find(' ') + 1));
    if (step.starts_with("fail "))
        return plan_instance_failure(state, instance);
    if (step.starts_with("reboot "))
        return plan_reboot(state, instance);
    if (step.starts_with("return "))
        return plan_instance_return(state, instance);
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
    for (const auto& [id, pool] : after.get_pools())
    {
        bool has_grown = count_stopped(after, id) > count_stopped(before, id);
        if (has_grown && !is_fact)
            RC_ASSERT(count_stopped(after, id) <= pool.max_unavailable);
        bool is_stop = step.starts_with("drain ") ||
                       step.starts_with("maintain ") ||
                       step.starts_with("take instance ");
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
        rc::gen::pair(rc::gen::inRange(0, 3), any_statement()));
    auto log = make_small_fleet();
    std::vector<fleet_state> operators(3, replay(log));
    fleet_state head = operators[0];
    std::size_t committed = 0;
    auto catch_up = [&](fleet_state& mine)
    {
        for (auto n = mine.get_version().get(); n < log.size(); ++n)
            mine.apply(config_version(n + 1), log[n]);
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
            log.push_back(planned);
            head.apply(config_version(log.size()), planned);
            check_rules(before, head, step);
            ++committed;
        }
        catch (const planning_error&)
        {
            catch_up(mine);
        }
    }
    RC_ASSERT(replay(log).encode_snapshot() == head.encode_snapshot());
    RC_ASSERT(decode_records(encode_records(log.back())) == log.back());
    RC_CLASSIFY(committed > 10, "more than 10 changes");
}

// Guards against a second stop that exceeds the pool's budget, also when a
// data centre is out and returns later.
TEST(fleet_planner, stops_stay_within_the_budget)
{
    auto state = replay(make_small_fleet());
    EXPECT_EQ(try_plan(state, "drain instance i5"), "budget_exceeded");
    run(state, "drain instance i1");
    for (const char* verb : {"drain instance i2", "maintain instance i2",
             "take instance i2 out", "set pool p1 max-unavailable 0"})
        EXPECT_EQ(try_plan(state, verb), "budget_exceeded") << verb;
    EXPECT_EQ(try_plan(state, "take instance i1 out"), "planned");
    run(state, "bring instance i1 back");
    run(state, "take data-centre d1 out");
    EXPECT_EQ(state.count_unavailable(pool_id("p1")), 2u);
    EXPECT_EQ(try_plan(state, "drain instance i1"), "budget_exceeded");
    run(state, "drain instance i2");
    EXPECT_EQ(try_plan(state, "drain instance i4"), "budget_exceeded");
}

// Guards against a move under running tasks, which would give the instance to
// two pools at once (I2).
TEST(fleet_planner, only_drained_instances_move)
{
    auto state = replay(make_small_fleet());
    EXPECT_EQ(try_plan(state, "move instance i1 to pool p2"), "wrong_state");
    EXPECT_EQ(try_plan(state, "remove instance i1"), "wrong_state");
    run(state, "maintain instance i1");
    EXPECT_EQ(try_plan(state, "move instance i1 to pool p2"), "wrong_state");
    run(state, "take instance i1 out");
    EXPECT_EQ(try_plan(state, "move instance i1 to pool p1"), "no_change");
    run(state, "move instance i1 to pool p2");
    const instance_row& row = state.get_instances().at(instance_id("i1"));
    EXPECT_EQ(row.pool, pool_id("p2"));
    EXPECT_EQ(row.state, instance_state::in_service);
}

// Guards against a maintenance pass that is lost or counted twice.
TEST(fleet_planner, a_maintenance_pass_is_counted_at_its_end)
{
    auto state = replay(make_small_fleet());
    instance_id i1("i1");
    EXPECT_THROW(plan_reboot(state, i1), planning_error);
    run(state, "maintain instance i1");
    EXPECT_EQ(try_plan(state, "maintain instance i1"), "no_change");
    EXPECT_THROW(plan_instance_return(state, i1), planning_error);
    auto next = [&] { return config_version(state.get_version().get() + 1); };
    state.apply(next(), plan_reboot(state, i1));
    EXPECT_EQ(try_plan(state, "bring instance i1 back"), "wrong_state");
    state.apply(next(), plan_instance_return(state, i1));
    EXPECT_EQ(state.get_instances().at(i1).maintained_pass, 1u);
    EXPECT_FALSE(state.get_instances().at(i1).is_for_maintenance);
    EXPECT_THROW(plan_instance_return(state, i1), planning_error);
}

TEST(fleet_planner, bad_names_and_values_are_refused)
{
    auto state = replay(make_small_fleet());
    run(state, "grant key k1 to team t1");
    const std::vector<std::pair<const char*, const char*>> cases{
        {"create team t1 limit 1", "duplicate_name"},
        {"create team t2 share 0 limit 1", "bad_value"},
        {"create team t2 limit 0", "planned"},
        {"set team t9 limit 1", "unknown_name"},
        {"set team t1 share 0", "bad_value"},
        {"set team t1 limit 0", "planned"},
        {"create pool p1", "duplicate_name"},
        {"create queue q1 pool p9 slow", "unknown_name"},
        {"create queue q1 pool p1 slow team t9", "unknown_name"},
        {"create queue q1 pool p1 slow open", "bad_value"},
        {"create queue q1 pool p1 slow open team t1", "planned"},
        {"create data-centre d1", "duplicate_name"},
        {"take data-centre d9 out", "unknown_name"},
        {"bring data-centre d1 back", "no_change"},
        {"add instance i6 data-centre d9 rack r address 127.0.0.1:6 pool p1",
            "unknown_name"},
        {"add instance i6 data-centre d1 rack r address 127.0.0.1:6 pool p9",
            "unknown_name"},
        {"add instance i6 data-centre d1 rack r address 127.0.0.1:1 pool p1",
            "duplicate_name"},
        {"add instance i6 data-centre d1 rack r address 127.0.0.1:6 pool p1 "
         "slots 9",
            "bad_value"},
        {"grant key k1 to team t1", "duplicate_name"},
        {"grant key k2 to team t9", "unknown_name"},
        {"withdraw key k9", "unknown_name"},
        {"grant operator k1", "duplicate_name"},
        {"withdraw operator o1", "last_operator"},
    };
    for (const auto& [text, code] : cases)
        EXPECT_EQ(try_plan(state, text), code) << text;
}

// Guards against a paused entry that goes on under a session that was ended.
TEST(fleet_planner, an_ended_session_stays_ended)
{
    fleet_state state;
    session_started_record started{entry_id("e1"), data_centre_id("d1"),
        "127.0.0.1:1", "127.0.0.1:2", "n1"};
    state.apply(config_version(1), plan_session_start(state, started));
    EXPECT_THROW(plan_session_start(state, started), planning_error);
    state.apply(config_version(2), plan_session_end(state, session_id(1)));
    EXPECT_THROW(plan_session_end(state, session_id(1)), planning_error);
    EXPECT_THROW(require_live_session(state, session_id(1)), planning_error);
    started.http_address = "host:80";
    EXPECT_THROW(plan_session_start(state, started), planning_error);
}

} // namespace cowslippass
