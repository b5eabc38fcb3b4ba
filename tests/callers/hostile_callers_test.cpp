#include "tests/callers/entry_process.hpp"
#include "tests/callers/raw_connection.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cowslippass
{

namespace
{

constexpr std::size_t mebibyte = 1024 * 1024;
/// Callers that send without end, and what each of them sends at most. Together
/// they send twice the memory of the entry's machine.
constexpr std::size_t flood_callers = 4;
constexpr std::size_t flood_bytes = 32 * mebibyte;
/// Callers that hold an unfinished body each.
constexpr std::size_t body_callers = 96;
/// Callers beyond the descriptors of the entry's machine.
constexpr std::size_t connection_crowd = 400;
constexpr std::size_t pipelining_callers = 64;
constexpr std::size_t pipelined_bytes = 4 * mebibyte;
constexpr std::size_t nested_bodies = 8;
constexpr std::size_t peer_crowd = 8;
constexpr std::size_t peer_frame_bytes = 12 * mebibyte;

const std::string request_line = "POST /q/00000000000000bb HTTP/1.1\r\n"
                                 "Host: h\r\n";
const std::string chunked = request_line + "Transfer-Encoding: chunked\r\n\r\n";

std::string make_sized(std::size_t body_bytes)
{
    return request_line + "Content-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
}

/// Repeats a line to blocks that are sent fast.
std::string make_block(const std::string& line)
{
    std::string out;
    while (out.size() < 64 * 1024)
        out += line;
    return out;
}

class hostile_callers : public testing::Test
{
protected:
    /// Each caller sends `start` and then the block without end.
    void flood(const tcp::endpoint& to, const std::string& start,
        const std::string& block, std::size_t callers = flood_callers,
        std::size_t total = flood_bytes)
    {
        for (std::size_t i = 0; i < callers; ++i)
        {
            auto& it = open(to);
            if (it.send(start))
                it.send_repeatedly(block, total);
        }
    }

    raw_connection& open(const tcp::endpoint& to)
    {
        return crowd.emplace_back(to);
    }

    entry_process entry;
    /// Stays open until the end of the test.
    std::vector<raw_connection> crowd;
};

} // namespace

// The load that ended a process: trailer lines without end behind a complete
// chunked body.
TEST_F(hostile_callers, trailers_without_end)
{
    flood(entry.get_front(), chunked + "2\r\n{}\r\n0\r\n",
        make_block("X-Trailer: a\r\n"));
    entry.expect_in_service();
}

// One trailer line whose end never comes.
TEST_F(hostile_callers, one_trailer_without_end)
{
    flood(entry.get_front(),
        chunked + "2\r\n{}\r\n0\r\nX-Trailer: ", make_block("a"));
    entry.expect_in_service();
}

// A chunk extension whose end never comes.
TEST_F(hostile_callers, chunk_extension_without_end)
{
    flood(entry.get_front(), chunked + "2;a=", make_block("a"));
    entry.expect_in_service();
}

// Header lines without end, and a line without end.
TEST_F(hostile_callers, header_without_end)
{
    flood(entry.get_front(), request_line, make_block("X-Header: a\r\n"));
    flood(entry.get_front(), request_line + "X-Header: ", make_block("a"));
    flood(entry.get_front(), "POST /", make_block("a"));
    entry.expect_in_service();
}

// Chunks of one byte, of which each has an extension: little body, much
// framing.
TEST_F(hostile_callers, single_byte_chunks_with_extensions)
{
    flood(entry.get_front(), chunked,
        make_block("1;a=" + std::string(200, 'a') + "\r\n{\r\n"));
    entry.expect_in_service();
}

// Many callers that each lack the last byte of a body of the allowed size.
TEST_F(hostile_callers, unfinished_bodies)
{
    std::string body(mebibyte - 1, ' ');
    for (std::size_t i = 0; i < body_callers; ++i)
    {
        auto& it = open(entry.get_front());
        if (it.send(make_sized(mebibyte)))
            it.send(body);
    }
    entry.expect_in_service();
}

// The same with chunked bodies, which announce no size.
TEST_F(hostile_callers, unfinished_chunked_bodies)
{
    std::string chunk = "4000\r\n" + std::string(0x4000, ' ') + "\r\n";
    for (std::size_t i = 0; i < body_callers; ++i)
    {
        auto& it = open(entry.get_front());
        if (it.send(chunked))
            it.send_repeatedly(chunk, 63 * chunk.size());
    }
    entry.expect_in_service();
}

// More connections than descriptors, all of them silent.
TEST_F(hostile_callers, silent_connections)
{
    for (std::size_t i = 0; i < connection_crowd; ++i)
        open(entry.get_front());
    entry.expect_in_service();
}

// More connections than descriptors, each with an unfinished header.
TEST_F(hostile_callers, trickling_connections)
{
    for (std::size_t i = 0; i < connection_crowd; ++i)
        open(entry.get_front()).send(request_line);
    for (auto& it : crowd)
        it.send("X");
    entry.expect_in_service();
}

// More connections than descriptors at the ports of the load balancer, the
// scrapers and the peers.
TEST_F(hostile_callers, silent_connections_at_other_ports)
{
    for (const auto& to :
        {entry.get_readiness(), entry.get_metrics(), entry.get_peer()})
        for (std::size_t i = 0; i < connection_crowd / 2; ++i)
            open(to);
    entry.expect_in_service();
}

// Requests without end on connections whose answers nobody reads.
TEST_F(hostile_callers, unread_answers)
{
    flood(entry.get_front(), "",
        make_block("GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n"), pipelining_callers,
        pipelined_bytes);
    entry.expect_in_service();
}

// Bodies that are small but nested deeply: their trees are many times larger.
TEST_F(hostile_callers, nested_bodies)
{
    std::string open_brackets(mebibyte, '[');
    std::string nested(mebibyte / 2, '[');
    nested.append(mebibyte / 2, ']');
    for (std::size_t i = 0; i < nested_bodies; ++i)
    {
        open(entry.get_front()).send(make_sized(mebibyte) + open_brackets);
        open(entry.get_front()).send(make_sized(mebibyte) + nested);
    }
    for (auto& it : crowd)
        it.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    for (auto& it : crowd)
        it.receive();
    entry.expect_in_service();
}

// Trailers without end at the ports of the load balancer and of the scrapers.
TEST_F(hostile_callers, trailers_without_end_at_other_ports)
{
    for (const auto& to : {entry.get_readiness(), entry.get_metrics()})
        flood(to, chunked + "2\r\n{}\r\n0\r\n", make_block("X-Trailer: a\r\n"));
    entry.expect_in_service();
}

// A frame of a peer that is announced as 4 GiB.
TEST_F(hostile_callers, huge_frames_of_peers)
{
    flood(entry.get_peer(), "\xff\xff\xff\xff", make_block("a"));
    entry.expect_in_service();
}

// Frames of peers within the limit of one frame that are never finished.
TEST_F(hostile_callers, unfinished_frames_of_peers)
{
    const char length[] = {0, 0, static_cast<char>(0xd0), 0};
    flood(entry.get_peer(), std::string(length, 4), make_block("a"), peer_crowd,
        peer_frame_bytes);
    entry.expect_in_service();
}

// A caller inside the limits, in calm: a job of 700 steps in a body of exactly
// the allowed size, with trailers.
TEST_F(hostile_callers, the_largest_request_is_served_in_calm)
{
    std::string body = R"({"spec":"s","steps":[)";
    for (int i = 0; i < 700; ++i)
        body += std::string(i == 0 ? "" : ",") +
                R"({"count":1,"cpu":100,"memMb":10,"estimateMs":50})";
    body += "]}";
    body.append(mebibyte - body.size(), ' ');
    std::string request = request_line +
                          "Connection: close\r\nTransfer-Encoding: chunked\r\n"
                          "X-Header: " +
                          std::string(8'000, 'a') + "\r\n\r\n100000\r\n" +
                          body + "\r\n0\r\nX-Trailer: a\r\n\r\n";
    auto& it = open(entry.get_front());
    EXPECT_TRUE(it.send(request));
    std::string answer = it.receive();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    entry.expect_in_service();
}

// The same with each byte of a job in a chunk of its own.
TEST_F(hostile_callers, single_byte_chunks_are_served_in_calm)
{
    std::string body = R"({"spec":")" + std::string(4'000, 's') +
                       R"(","steps":[{"count":1,"cpu":100,"memMb":10,
        "estimateMs":50}]})";
    std::string request = request_line + "Connection: close\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n";
    for (char c : body)
        request += std::string("1\r\n") + c + "\r\n";
    auto& it = open(entry.get_front());
    EXPECT_TRUE(it.send(request + "0\r\n\r\n"));
    std::string answer = it.receive();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    entry.expect_in_service();
}

} // namespace cowslippass
