#include "tests/callers/entry_process.hpp"
#include "tests/callers/raw_connection.hpp"
#include "tests/integration/test_fleet.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <vector>

namespace cowslippass
{

namespace
{

constexpr std::size_t mebibyte = 1024 * 1024;
/// Bound on the peak of memory of `cowslippassd` with the settings below.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_connections = 128;
/// For the peers, the platform, the targets and files.
constexpr std::size_t other_descriptors = 128;

cluster_options make_options()
{
    cluster_options out;
    out.entry_settings["max_buffered_bytes"] = std::to_string(8 * mebibyte);
    out.entry_settings["max_connections"] = std::to_string(max_connections);
    return out;
}

class hostile_callers_fleet : public testing::Test
{
protected:
    hostile_callers_fleet() { fleet.wait_until_serving(); }

    cluster_entry& get_entry() { return fleet.get_cluster().get_entries()[0]; }

    raw_connection& open()
    {
        return crowd.emplace_back(get_entry().get_http_endpoint());
    }

    void expect_in_service()
    {
        child_process& process = *get_entry().process;
        ASSERT_FALSE(process.wait(milliseconds(0)));
        wait_until_settled(process.get_pid());
        std::size_t peak_kib = get_peak_memory_kib(process.get_pid());
        std::size_t descriptors = count_descriptors(process.get_pid());
        std::cout << "peak memory " << peak_kib << " KiB, " << descriptors
                  << " descriptors\n";
        EXPECT_LE(peak_kib, memory_mb * 1024);
        EXPECT_LE(descriptors, max_connections + other_descriptors);
        caller_request request;
        request.deadline_ms = "10000";
        EXPECT_TRUE(fleet.post(request).is_ok());
        ASSERT_FALSE(process.wait(milliseconds(0)));
    }

    test_fleet fleet{make_options()};
    /// Stays open until the end of the test.
    std::vector<raw_connection> crowd;
};

const std::string chunked = "POST /q/urgent HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Trailer lines without end behind a complete chunked body.
TEST_F(hostile_callers_fleet, trailers_without_end)
{
    std::string block;
    while (block.size() < 64 * 1024)
        block += "X-Trailer: a\r\n";
    for (int i = 0; i < 4; ++i)
    {
        auto& it = open();
        if (it.send(chunked + "2\r\n{}\r\n0\r\n"))
            it.send_repeatedly(block, 32 * mebibyte);
    }
    expect_in_service();
}

// Many callers that each lack the last byte of a body of the allowed size.
TEST_F(hostile_callers_fleet, unfinished_bodies)
{
    std::string body(4 * mebibyte - 1, ' ');
    for (int i = 0; i < 24; ++i)
    {
        auto& it = open();
        if (it.send("POST /q/urgent HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(4 * mebibyte) + "\r\n\r\n"))
            it.send(body);
    }
    expect_in_service();
}

// More connections than the entry may hold, all of them silent.
TEST_F(hostile_callers_fleet, silent_connections)
{
    for (int i = 0; i < 400; ++i)
        open();
    expect_in_service();
}

} // namespace cowslippass
