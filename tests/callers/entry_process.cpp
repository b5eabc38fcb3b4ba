#include "tests/callers/entry_process.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace cowslippass
{

namespace
{

constexpr milliseconds start_timeout{30'000};
constexpr milliseconds answer_timeout{10'000};
/// `wait_until` polls every 10 ms.
constexpr int settled_polls = 50;
constexpr milliseconds settle_timeout{10'000};
constexpr milliseconds task_duration{50};
constexpr const char* ordinary_job =
    R"({"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,
    "estimateMs":50}]})";

std::string get_proc_directory(pid_t pid)
{
    return "/proc/" + std::to_string(pid);
}

} // namespace

std::size_t get_peak_memory_kib(pid_t pid)
{
    std::ifstream in(get_proc_directory(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find(':') + 1));
    throw std::runtime_error("the process has no peak of memory");
}

std::size_t count_descriptors(pid_t pid)
{
    std::filesystem::directory_iterator it(get_proc_directory(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

void wait_until_settled(pid_t pid)
{
    std::size_t peak_kib = 0;
    std::size_t descriptors = 0;
    int unchanged = 0;
    auto is_settled = [&]
    {
        std::size_t last_peak_kib =
            std::exchange(peak_kib, get_peak_memory_kib(pid));
        std::size_t last_descriptors =
            std::exchange(descriptors, count_descriptors(pid));
        bool is_same =
            last_peak_kib == peak_kib && last_descriptors == descriptors;
        unchanged = is_same ? unchanged + 1 : 0;
        return unchanged >= settled_polls;
    };
    wait_until(is_settled, settle_timeout);
}

entry_process::entry_process()
{
    platform_.publish_config();
    platform_.add_target("t", task_duration);
    thread_ = std::thread(
        [this]
        {
            auto work = asio::make_work_guard(io_);
            io_.run();
        });
    start();
}

entry_process::~entry_process()
{
    process_.reset();
    io_.stop();
    thread_.join();
}

void entry_process::start()
{
    std::string path = directory_.get_path() / "entry.toml";
    auto quote = [](const tcp::endpoint& it)
    { return "\"" + format_endpoint(it) + "\"\n"; };
    std::ofstream(path) << "entry = \"e\"\ndata_centre = \"z\"\n"
                        << "front_listen = " << quote(get_front())
                        << "readiness_listen = " << quote(get_readiness())
                        << "peer_listen = " << quote(get_peer())
                        << "metrics_listen = " << quote(get_metrics())
                        << "store = " << quote(platform_.get_store_endpoint())
                        << "memory_mb = " << memory_mb << '\n'
                        << "max_descriptors = " << max_descriptors << '\n';
    process_ = std::make_unique<child_process>(
        "cowslippass_entryd", std::vector<std::string>{"--settings=" + path});
    auto is_ready = [&]
    {
        auto result = fetch(get_readiness(), {"GET", "/-/ready", {}, {}, ""});
        return result.response && result.response->status == 200;
    };
    if (!wait_until(is_ready, start_timeout))
        throw std::runtime_error("the entry did not become ready");
}

void entry_process::expect_in_service()
{
    ASSERT_FALSE(process_->wait(milliseconds(0)));
    wait_until_settled(process_->get_pid());
    std::size_t peak_kib = get_peak_memory_kib(process_->get_pid());
    std::size_t descriptors = count_descriptors(process_->get_pid());
    std::cout << "peak memory " << peak_kib << " KiB, " << descriptors
              << " descriptors\n";
    EXPECT_LE(peak_kib, memory_mb * 1024);
    EXPECT_LE(descriptors, max_descriptors);
    http_request job{"POST", "/q/00000000000000aa", {}, {}, ordinary_job};
    job.headers["Host"] = "h";
    http_result result = fetch(get_front(), job, answer_timeout);
    ASSERT_TRUE(result.response) << result.message;
    EXPECT_EQ(result.response->status, 200u) << result.response->body;
    ASSERT_FALSE(process_->wait(milliseconds(0)));
}

} // namespace cowslippass
