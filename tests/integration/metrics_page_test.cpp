#include "tests/integration/test_fleet.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace cowslippass
{

namespace
{

constexpr std::size_t max_waiting_bytes = 65'536;

/// @return whether an entry shows a sample of the family.
bool has_sample(const std::string& text, const std::string& family)
{
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(family + ' ') || line.starts_with(family + '{'))
            return true;
    return false;
}

/// @return declared families without a sample in any entry.
std::vector<std::string> find_unfed(test_fleet& fleet)
{
    std::string text;
    for (const auto& it : fleet.get_cluster().get_entries())
    {
        auto result =
            fetch(it.get_http_endpoint(), {"GET", "/metrics", {}, {}, ""});
        text += result.response ? result.response->body : "";
    }
    std::vector<std::string> out;
    for (const auto& it : get_entry_metrics())
        if (!has_sample(text, it.name))
            out.push_back(it.name);
    return out;
}

/// Sends requests through both entries, so that one of them forwards.
void send_some(test_fleet& fleet)
{
    caller_request request;
    request.deadline_ms = "1000";
    for (std::size_t i = 0; i < 4; ++i)
        fleet.post(request, i % 2);
}

/// Sends a body over the limit, which the server refuses by itself.
void send_too_much(test_fleet& fleet)
{
    std::string body(settings().max_body_bytes + 1, 'x');
    fetch(fleet.get_cluster().get_entries()[0].get_http_endpoint(),
        {"POST", "/q/urgent", {}, {}, body});
}

/// Sets a fault of the first target while requests run.
void send_some_with(test_fleet& fleet, const std::string& fault)
{
    auto target = fleet.get_cluster().get_targets()[0].get_direct_endpoint();
    set_control(target, {{fault, true}});
    send_some(fleet);
    set_control(target, {{fault, false}});
}

/// Sends more bytes than may wait while no target takes work.
void fill_waiting_bytes(test_fleet& fleet)
{
    for (const auto& it : fleet.get_cluster().get_targets())
        set_control(it.get_direct_endpoint(), {{"leaving", true}});
    caller_request request;
    request.deadline_ms = "1000";
    request.payload = std::string(max_waiting_bytes / 2, 'x');
    std::vector<std::future<caller_answer>> answers;
    for (std::size_t i = 0; i < 4; ++i)
        answers.push_back(std::async(
            std::launch::async, [&] { return fleet.post(request); }));
    for (const auto& it : answers)
        it.wait();
    for (const auto& it : fleet.get_cluster().get_targets())
        set_control(it.get_direct_endpoint(), {{"leaving", false}});
}

/// Answers of an entry that was paused come after its peer gave up.
void pause_entry(test_fleet& fleet, std::size_t i)
{
    constexpr milliseconds pause{1'800};
    auto& process = *fleet.get_cluster().get_entries()[i].process;
    process.kill(SIGSTOP);
    std::this_thread::sleep_for(pause);
    process.kill(SIGCONT);
}

} // namespace

// Guards against a metric that is declared and never fed: its alarm would
// never ring.
TEST(metrics_page, every_declared_family_gets_a_sample)
{
    cluster_options options;
    options.entries_per_data_centre = 2;
    options.targets_per_pool = 2;
    options.entry_settings["max_waiting_bytes"] =
        std::to_string(max_waiting_bytes);
    test_fleet fleet(options);
    auto platform = fleet.get_cluster().get_platform_endpoint();
    caller_request job;
    job.queue = "slow";
    EXPECT_EQ(fleet.post(job).status, 202u);
    fleet.run("maintain instance target-1-pool-1-2");
    std::vector<std::string> unfed;
    constexpr std::size_t max_rounds = 8;
    for (std::size_t i = 0; i < max_rounds; ++i)
    {
        send_some(fleet);
        // A target that fails work is set aside and gets no more starts.
        send_some_with(fleet, "leaving");
        send_some_with(fleet, "fail_all");
        fill_waiting_bytes(fleet);
        send_too_much(fleet);
        pause_entry(fleet, i % 2);
        set_control(platform, {{"down", true}});
        std::this_thread::sleep_for(milliseconds(1'200));
        set_control(platform, {{"down", false}});
        unfed = find_unfed(fleet);
        if (unfed.empty())
            break;
    }
    EXPECT_EQ(unfed, std::vector<std::string>());
}

// Guards against a metric that operators cannot look up.
TEST(metrics_page, every_declared_family_is_described)
{
    std::stringstream page;
    page << std::ifstream(SOURCE_DIR "/docs/OPERATIONS.md").rdbuf();
    for (const auto& it : get_entry_metrics())
        EXPECT_NE(page.str().find("`" + it.name + "`"), std::string::npos)
            << it.name;
}

} // namespace cowslippass
