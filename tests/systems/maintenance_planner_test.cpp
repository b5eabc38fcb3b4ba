#include "systems/maintenance_planner.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

constexpr std::chrono::sys_seconds start{maintenance_period * 370};

/// A fleet with the planner and what it observes; faults are injected between
/// plans.
class fleet_model
{
public:
    void add_pool(const std::string& id, std::uint32_t budget, bool is_spare)
    {
        append({pool_record{pool_id(id), budget, is_spare}});
    }

    void add_instance(const std::string& id, const std::string& pool,
        const std::string& data_centre, const std::string& rack)
    {
        instance_record it;
        it.id = instance_id(id);
        it.pool = pool_id(pool);
        it.data_centre = data_centre_id(data_centre);
        it.rack = rack_id(rack);
        append({data_centre_record{it.data_centre, true}, it});
    }

    void append(const std::vector<fleet_record>& records)
    {
        state.apply(config_version(state.get_version().get() + 1), records);
    }

    void set_state(const instance_id& id, instance_state value)
    {
        append({instance_state_record{id, value, {}, false}});
        reports.erase(id);
    }

    std::vector<maintenance_decision> plan(bool is_fresh = true) const
    {
        // A new planner each time, as the lease may change hands at any time.
        return maintenance_planner({scope}).plan(
            {state, reports, now, is_fresh});
    }

    std::vector<maintenance_decision> run_plan()
    {
        auto decisions = plan();
        std::vector<fleet_record> records;
        for (const maintenance_decision& it : decisions)
        {
            records.insert(records.end(), it.records.begin(), it.records.end());
            reports.erase(it.instance);
        }
        append(records);
        return decisions;
    }

    std::map<pool_id, std::uint32_t> count_unavailable() const
    {
        std::map<pool_id, std::uint32_t> out;
        for (const auto& [id, pool] : state.get_pools())
            out[id] = state.count_unavailable(id);
        return out;
    }

    instance_state get_state(const std::string& id) const
    {
        return state.get_instances().at(instance_id(id)).state;
    }

    /// Lets every step that is under way come to its end.
    void finish_work()
    {
        for (const auto& [id, row] : state.get_instances())
            reports[id] = row.state == instance_state::draining
                              ? instance_report::idle
                              : instance_report::ready;
    }

    bool is_all_maintained() const
    {
        auto is_done = [&](const auto& it)
        { return it.second.maintained_pass == get_maintenance_pass(now); };
        return std::ranges::all_of(state.get_instances(), is_done);
    }

    fleet_state state;
    instance_reports reports;
    std::chrono::sys_seconds now = start;
    maintenance_scope scope = maintenance_scope::fleet;
};

/// One pool over two data centres with racks of two, and a spare pool.
fleet_model make_small_fleet(std::uint32_t budget)
{
    fleet_model fleet;
    fleet.add_pool("previews", budget, false);
    fleet.add_pool("spare", 2, true);
    for (int i = 0; i < 8; ++i)
        fleet.add_instance("p" + std::to_string(i), "previews",
            "dc" + std::to_string(i / 4), "r" + std::to_string(i / 2));
    fleet.add_instance("s0", "spare", "dc0", "r0");
    fleet.add_instance("s1", "spare", "dc1", "r2");
    return fleet;
}

/// `inRange` alone stays near its lower end in the first cases of a property.
int pick_between(int low, int beyond)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, beyond));
}

fleet_model make_random_fleet()
{
    fleet_model fleet;
    auto pools = pick_between(1, 4);
    for (int i = 0; i < pools; ++i)
        fleet.add_pool("p" + std::to_string(i), pick_between(1, 4), false);
    fleet.add_pool("spare", pick_between(1, 3), true);
    auto instances = pick_between(4, 24);
    for (int i = 0; i < instances; ++i)
    {
        int pool = pick_between(0, pools + 1);
        fleet.add_instance("i" + std::to_string(i),
            pool == pools ? "spare" : "p" + std::to_string(pool),
            "dc" + std::to_string(i % 2), "r" + std::to_string(i / 4));
    }
    return fleet;
}

template <class Rows>
auto pick(const Rows& rows)
{
    return std::next(
        rows.begin(), pick_between(0, static_cast<int>(rows.size())));
}

/// Mostly a report that makes the planner go on.
instance_report pick_report(instance_state state)
{
    using enum instance_report;
    if (state == instance_state::draining)
        return *rc::gen::element(unknown, busy, idle, idle);
    if (state == instance_state::failed)
        return *rc::gen::element(unknown, ready, lost, lost, lost);
    return *rc::gen::element(unknown, busy, idle, ready, lost);
}

/// Failures, returns, observations, operators' commands, and time.
void inject_fault(fleet_model& fleet)
{
    const auto [id, row] = *pick(fleet.state.get_instances());
    bool is_drained =
        row.state == instance_state::out || row.state == instance_state::failed;
    switch (pick_between(0, 9))
    {
    case 0:
    case 1:
        fleet.set_state(id, instance_state::failed);
        break;
    case 2:
        fleet.set_state(id, instance_state::out);
        break;
    case 3:
        if (row.state == instance_state::out)
            fleet.set_state(id, instance_state::in_service);
        break;
    case 4:
        if (is_drained)
            fleet.append({instance_moved_record{
                id, pick(fleet.state.get_pools())->first}});
        break;
    case 5:
    {
        data_centre_record it = pick(fleet.state.get_data_centres())->second;
        it.is_in_service = !it.is_in_service;
        fleet.append({it});
        break;
    }
    case 6:
        fleet.now += std::chrono::weeks(pick_between(0, 3));
        break;
    default:
        for (const auto& [other, it] : fleet.state.get_instances())
            if (it.state != instance_state::in_service)
                fleet.reports[other] = pick_report(it.state);
    }
}

/// New steps of maintenance must all be in one data centre, of the fleet or of
/// each pool.
void check_one_data_centre(
    const fleet_model& fleet, const std::vector<maintenance_decision>& all)
{
    std::map<pool_id, std::set<data_centre_id>> seen;
    for (const maintenance_decision& it : all)
    {
        bool is_maintenance =
            it.step == maintenance_step::reboot ||
            (it.step == maintenance_step::drain && it.rule != "spare_needed");
        if (!is_maintenance)
            continue;
        bool is_per_pool = fleet.scope == maintenance_scope::pool;
        seen[is_per_pool ? it.pool : pool_id()].insert(
            fleet.state.get_instances()
                .at(it.instance)
                .description.data_centre);
    }
    for (const auto& [id, data_centres] : seen)
        RC_ASSERT(data_centres.size() == 1u);
}

void check_step(fleet_model& fleet)
{
    auto count = fleet.state.get_instances().size();
    auto before = fleet.count_unavailable();
    check_one_data_centre(fleet, fleet.run_plan());
    for (const auto& [id, n] : fleet.count_unavailable())
        RC_ASSERT(n <= before[id] ||
                  n <= fleet.state.get_pools().at(id).max_unavailable);
    RC_ASSERT(fleet.state.get_instances().size() == count);
    for (const auto& [id, row] : fleet.state.get_instances())
        RC_ASSERT(fleet.state.get_pools().contains(row.pool));
}

/// Operators return everything, and what is broken is repaired.
void repair(fleet_model& fleet)
{
    for (const auto& [id, it] : std::map(fleet.state.get_data_centres()))
        fleet.append({data_centre_record{id, true}});
    for (const auto& [id, row] : std::map(fleet.state.get_instances()))
        if (row.state == instance_state::out)
            fleet.set_state(id, instance_state::in_service);
}

} // namespace

// Guards against steps that take a pool beyond its budget (I1), and against a
// fleet that stops being maintained after some order of faults.
RC_GTEST_PROP(
    maintenance_planner, budgets_hold_and_every_instance_is_maintained, ())
{
    fleet_model fleet = make_random_fleet();
    fleet.scope =
        *rc::gen::element(maintenance_scope::fleet, maintenance_scope::pool);
    auto steps = pick_between(0, 60);
    for (int i = 0; i < steps; ++i)
    {
        inject_fault(fleet);
        check_step(fleet);
    }
    repair(fleet);
    for (int i = 0; i < 200 && !fleet.is_all_maintained(); ++i)
    {
        fleet.finish_work();
        check_step(fleet);
    }
    RC_ASSERT(fleet.is_all_maintained());
}

// Guards against a wave that touches two data centres or two racks at once.
TEST(maintenance_planner, waves_follow_racks_and_data_centres)
{
    fleet_model fleet = make_small_fleet(2);
    for (int i = 0; i < 40 && !fleet.is_all_maintained(); ++i)
    {
        fleet.run_plan();
        std::set<data_centre_id> data_centres;
        std::set<rack_id> racks;
        for (const auto& [id, row] : fleet.state.get_instances())
        {
            if (row.state == instance_state::in_service)
                continue;
            data_centres.insert(row.description.data_centre);
            if (row.pool == pool_id("previews"))
                racks.insert(row.description.rack);
        }
        EXPECT_LE(data_centres.size(), 1u);
        EXPECT_LE(racks.size(), 1u);
        fleet.finish_work();
    }
    EXPECT_TRUE(fleet.is_all_maintained());
}

// Guards against drains on a stale view of the budgets.
TEST(maintenance_planner, nothing_is_decided_without_freshness)
{
    fleet_model fleet = make_small_fleet(2);
    EXPECT_TRUE(fleet.plan(false).empty());
    EXPECT_FALSE(fleet.plan(true).empty());
}

// Guards against reboots that go on while failures use up the budget.
TEST(maintenance_planner, drains_are_cancelled_when_failures_arrive)
{
    fleet_model fleet = make_small_fleet(2);
    fleet.run_plan();
    ASSERT_EQ(fleet.get_state("p0"), instance_state::draining);
    ASSERT_EQ(fleet.get_state("p1"), instance_state::draining);
    fleet.set_state(instance_id("p6"), instance_state::failed);
    fleet.reports[instance_id("p0")] = instance_report::busy;
    auto decisions = fleet.run_plan();
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].rule, "budget_exceeded");
    EXPECT_EQ(fleet.get_state("p0"), instance_state::in_service);
    EXPECT_EQ(
        fleet.state.get_instances().at(instance_id("p0")).maintained_pass, 0u);
}

// Guards against an instance that is maintained twice, because a holder whose
// clock is behind lowered its pass.
TEST(maintenance_planner, a_clock_that_is_behind_does_not_lower_a_pass)
{
    fleet_model fleet = make_small_fleet(1);
    instance_id p0("p0");
    std::uint32_t pass = get_maintenance_pass(fleet.now);
    fleet.append(
        {instance_state_record{p0, instance_state::rebooting, pass, true}});
    fleet.reports[p0] = instance_report::ready;
    fleet.now -= maintenance_period;
    fleet.run_plan();
    EXPECT_EQ(fleet.get_state("p0"), instance_state::in_service);
    EXPECT_EQ(fleet.state.get_instances().at(p0).maintained_pass, pass);
}

// Guards against a large pool that every failure during a roll-out takes over
// its budget, and against a small one whose whole budget is held back.
TEST(maintenance_planner, a_part_of_large_budgets_is_left_for_failures)
{
    auto count_drains = [](std::uint32_t budget)
    {
        fleet_model fleet;
        fleet.add_pool("previews", budget, false);
        for (int i = 0; i < 10; ++i)
            fleet.add_instance("p" + std::to_string(i), "previews", "dc0",
                "r" + std::to_string(i / 4));
        return fleet.plan().size();
    };
    EXPECT_EQ(count_drains(1), 1u);
    EXPECT_EQ(count_drains(3), 3u);
    EXPECT_EQ(count_drains(4), 3u);
    EXPECT_EQ(count_drains(8), 6u);
}

// Guards against an operator's drain being taken for one of the planner.
TEST(maintenance_planner, drains_of_operators_are_left_alone)
{
    fleet_model fleet = make_small_fleet(1);
    fleet.set_state(instance_id("p7"), instance_state::draining);
    fleet.finish_work();
    fleet.run_plan();
    EXPECT_EQ(fleet.get_state("p7"), instance_state::draining);
}

// Guards against undoing the maintenance of an instance that is not due, which
// an operator asked for.
TEST(maintenance_planner, maintenance_that_operators_ask_for_is_done)
{
    fleet_model fleet = make_small_fleet(1);
    fleet.append({instance_state_record{instance_id("p7"),
        instance_state::draining, get_maintenance_pass(fleet.now), true}});
    fleet.reports[instance_id("p7")] = instance_report::idle;
    auto decisions = fleet.run_plan();
    ASSERT_FALSE(decisions.empty());
    EXPECT_EQ(decisions[0].rule, "operator_request");
    EXPECT_EQ(fleet.get_state("p7"), instance_state::rebooting);
}

// Guards against a pool that stays above its budget while spares are idle, and
// against pools that shrink or grow by loans.
TEST(maintenance_planner, a_spare_instance_replaces_a_lost_one)
{
    fleet_model fleet = make_small_fleet(1);
    for (const char* id : {"p1", "p5"})
    {
        fleet.set_state(instance_id(id), instance_state::failed);
        fleet.reports[instance_id(id)] = instance_report::lost;
    }
    auto drains = fleet.run_plan();
    ASSERT_FALSE(drains.empty());
    EXPECT_EQ(drains[0].rule, "spare_needed");
    fleet.reports[drains[0].instance] = instance_report::idle;
    fleet.run_plan();
    const auto& all = fleet.state.get_instances();
    EXPECT_EQ(all.at(drains[0].instance).pool, pool_id("previews"));
    EXPECT_EQ(fleet.state.count_unavailable(pool_id("previews")), 1u);
    auto in_previews = std::ranges::count_if(all,
        [](const auto& it) { return it.second.pool == pool_id("previews"); });
    EXPECT_EQ(in_previews, 8);
    auto failed_spares = std::ranges::count_if(all,
        [](const auto& it)
        {
            return it.second.pool == pool_id("spare") &&
                   it.second.state == instance_state::failed;
        });
    EXPECT_EQ(failed_spares, 1);
}

// Guards against a second data centre under maintenance after a drain for an
// exchange that is no longer needed.
TEST(maintenance_planner, a_drain_outside_the_active_data_centre_is_undone)
{
    fleet_model fleet = make_small_fleet(2);
    for (const char* id : {"p0", "p1"})
        fleet.append({instance_state_record{
            instance_id(id), instance_state::rebooting, {}, true}});
    fleet.append({instance_state_record{
        instance_id("s1"), instance_state::draining, {}, true}});
    fleet.reports[instance_id("s1")] = instance_report::idle;
    fleet.run_plan();
    EXPECT_EQ(fleet.get_state("s1"), instance_state::in_service);
}

// Guards against waiting for the return of a data centre whose instances can
// be maintained at no cost meanwhile.
TEST(maintenance_planner, a_data_centre_out_of_service_goes_first)
{
    fleet_model fleet = make_small_fleet(1);
    fleet.append({data_centre_record{data_centre_id("dc1"), false}});
    auto decisions = fleet.run_plan();
    ASSERT_FALSE(decisions.empty());
    for (const maintenance_decision& it : decisions)
        EXPECT_EQ(
            fleet.state.get_instances().at(it.instance).description.data_centre,
            data_centre_id("dc1"));
}

// Guards against a pool that is passed over in each pass.
TEST(maintenance_planner, the_latest_pool_has_its_turn_first)
{
    fleet_model fleet;
    for (const char* pool : {"a", "b"})
    {
        fleet.add_pool(pool, 1, false);
        fleet.add_instance(std::string(pool) + "0", pool, "dc0", "r0");
    }
    auto pass = get_maintenance_pass(fleet.now);
    fleet.append({instance_state_record{
        instance_id("a0"), instance_state::in_service, pass - 1, false}});
    fleet.append({instance_state_record{
        instance_id("b0"), instance_state::in_service, pass - 2, false}});
    auto decisions = fleet.plan();
    ASSERT_EQ(decisions.size(), 2u);
    EXPECT_EQ(decisions[0].instance, instance_id("b0"));
}

} // namespace cowslippass
