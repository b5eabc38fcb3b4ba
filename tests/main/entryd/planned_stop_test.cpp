#include "tests/main/entryd/test_entry.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using release_fault = users_platform::release_fault;

const std::string job_1 = "0000000000000001";
const std::string task_1 = job_1 + ".0.0.0";
const char* const long_running_task =
    R"({"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":100,
    "estimateMs":50,"longRunning":true}]})";

/// When the data centre of a coordinator that is stopped as planned is cut off.
struct cut_moment
{
    const char* name;
    /// The cut begins when the release gets this fault.
    release_fault fault = release_fault::none;
    /// Without a fault: the cut begins this long after the stop; negative for
    /// a cut before it.
    milliseconds after_stop{0};
};

std::ostream& operator<<(std::ostream& out, const cut_moment& it)
{
    return out << it.name;
}

class planned_stop_test : public entry_test,
                          public testing::WithParamInterface<cut_moment>
{
protected:
    static constexpr milliseconds lease_limit{2'500};

    planned_stop_test()
    {
        platform.set_lease_limit(lease_limit);
        platform.add_target("t1", std::chrono::minutes(1));
        platform.add_target("t2", std::chrono::minutes(1));
        former->settings.lease_limit = lease_limit;
    }

    asio::awaitable<void> start_task()
    {
        while (!former->role.is_coordinator())
            co_await sleep(milliseconds(10));
        auto it =
            co_await send_to(*former, "POST", "/q/" + job_1, long_running_task);
        EXPECT_EQ(it.status, 200U);
        while (platform.list_running_targets(task_1).empty())
            co_await sleep(milliseconds(10));
        inner_target = platform.list_running_targets(task_1).front();
        auto head = nlohmann::json::parse(platform.get_row("control", "head"));
        head.at("term").get_to(former_term);
        successor = std::make_unique<test_entry>(io, platform, "127.0.0.1:0");
        successor->settings.lease_limit = lease_limit;
        while (!successor->role.is_coordinator_known())
            co_await sleep(milliseconds(10));
    }

    /// The former coordinator keeps its way to the task's target and loses the
    /// ones to the store, to the other entry and to the other target.
    void cut_off()
    {
        access.is_cut_off = true;
        former->is_frozen = true;
        for (const std::string id : {"t1", "t2"})
            if (id == inner_target)
                platform.set_reachable_for(id, 0, former_term);
            else
                platform.set_reachable_for(id, former_term + 1, highest_fence);
    }

    void end_cut()
    {
        access.is_cut_off = false;
        former->is_frozen = false;
        for (const char* id : {"t1", "t2"})
            platform.set_reachable_for(id, 0, highest_fence);
    }

    static constexpr std::uint64_t highest_fence =
        std::numeric_limits<std::uint64_t>::max();
    users_platform::store_access& access = platform.add_store_access();
    std::unique_ptr<test_entry> former =
        std::make_unique<test_entry>(io, platform, "127.0.0.1:0", &access);
    std::unique_ptr<test_entry> successor;
    std::string inner_target;
    std::uint64_t former_term = 0;
};

} // namespace

// Failure: a planned stop of the coordinator and a cut of its data centre at
// the same time. Guards against a former coordinator that extends leases after
// its successor can have read the release, so that a task runs twice.
TEST_P(planned_stop_test, runs_no_task_twice_when_the_coordinator_is_cut_off)
{
    run(
        [this]() -> asio::awaitable<void>
        {
            co_await start_task();
            const cut_moment& moment = GetParam();
            bool has_fault = moment.fault != release_fault::none;
            access.fault = moment.fault;
            if (has_fault)
                access.on_release = [this] { cut_off(); };
            else if (moment.after_stop < milliseconds(0))
            {
                cut_off();
                co_await sleep(-moment.after_stop);
            }
            former->role.resign();
            if (!has_fault && moment.after_stop >= milliseconds(0))
            {
                if (moment.after_stop > milliseconds(0))
                    co_await sleep(moment.after_stop);
                cut_off();
            }
            std::string other = inner_target == "t1" ? "t2" : "t1";
            std::vector<std::string> restarted{other};
            while (platform.list_running_targets(task_1) != restarted &&
                   platform.get_overlapping_starts().empty())
                co_await sleep(milliseconds(20));
            EXPECT_TRUE(platform.get_overlapping_starts().empty());
            EXPECT_TRUE(successor->role.is_coordinator());
            end_cut();
            co_await sleep(milliseconds(1'000));
            EXPECT_TRUE(platform.get_overlapping_starts().empty());
            EXPECT_EQ(platform.list_running_targets(task_1), restarted);
            EXPECT_FALSE(former->role.is_coordinator());
        },
        std::chrono::seconds(30));
}

INSTANTIATE_TEST_SUITE_P(moments, planned_stop_test,
    testing::Values(cut_moment{"before_the_stop", {}, milliseconds(-200)},
        cut_moment{"at_the_stop", {}, milliseconds(0)},
        cut_moment{"after_5_ms", {}, milliseconds(5)},
        cut_moment{"after_20_ms", {}, milliseconds(20)},
        cut_moment{"after_200_ms", {}, milliseconds(200)},
        cut_moment{"release_not_received", release_fault::not_received},
        cut_moment{"release_refused", release_fault::refused},
        cut_moment{"release_applied_late", release_fault::applied_late},
        cut_moment{"release_reply_lost", release_fault::reply_lost}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace cowslippass
