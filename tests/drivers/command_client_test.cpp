#include "drivers/command_client.hpp"

#include "drivers/endpoint.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <list>

namespace cowslippass
{

namespace
{

const std::string command_text = "drain instance i1";

/// How a fake entry responds to one request.
struct behaviour
{
    unsigned status = 200; ///< 0 closes the connection without a response.
    std::string body = "{}";
};

/// Responds to the n-th request with the n-th behaviour, and to all later ones
/// with the last.
class fake_entry
{
public:
    fake_entry(asio::io_context& io, std::vector<behaviour> behaviours)
        : behaviours_(std::move(behaviours)),
          acceptor_(io, parse_endpoint("127.0.0.1:0"))
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    tcp::endpoint get_endpoint() const { return acceptor_.local_endpoint(); }

    std::vector<std::string> requests;

private:
    asio::awaitable<void> serve()
    {
        while (true)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            std::string buf;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(buf),
                command_text, asio::use_awaitable);
            std::size_t i = std::min(requests.size(), behaviours_.size() - 1);
            requests.push_back(buf);
            const behaviour& it = behaviours_[i];
            if (it.status == 0)
                continue;
            std::string answer = "HTTP/1.1 " + std::to_string(it.status) +
                                 " X\r\nConnection: close\r\nContent-Length: " +
                                 std::to_string(it.body.size()) + "\r\n\r\n" +
                                 it.body;
            co_await asio::async_write(
                socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    std::vector<behaviour> behaviours_;
    tcp::acceptor acceptor_;
};

command_request make_change()
{
    command_request out{command_text, "secret", command_id("c0ffee")};
    out.is_change = true;
    return out;
}

struct run_result
{
    command_reply reply;
    std::vector<std::vector<std::string>> requests; ///< Received, by entry.
};

/// Sends `command` to an unreachable entry and then to one entry for each list
/// of behaviours.
run_result run(std::vector<std::vector<behaviour>> behaviours,
    const command_request& command)
{
    asio::io_context io;
    // Bound but not listening: it refuses connections, and no other process
    // can take the port.
    tcp::socket dead(io, parse_endpoint("127.0.0.1:0"));
    std::vector<tcp::endpoint> endpoints{dead.local_endpoint()};
    std::list<fake_entry> entries;
    for (auto& it : behaviours)
        endpoints.push_back(
            entries.emplace_back(io, std::move(it)).get_endpoint());
    run_result out;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            out.reply = co_await send_command(io, endpoints, command);
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(60));
    for (const fake_entry& it : entries)
        out.requests.push_back(it.requests);
    return out;
}

const behaviour lost{0, ""};
const behaviour committed{200, R"({"committed":7})"};
const behaviour refused{409, R"({"code":"no_change","message":"m"})"};
const behaviour not_fresh{503, R"({"code":"not_fresh","message":"m"})"};
const behaviour broken{500, R"({"code":"internal","message":"m"})"};

} // namespace

// Guards against a change that is committed twice because the retry after a
// lost response carries another command id.
TEST(command_client, a_change_is_retried_with_the_same_id_after_a_lost_response)
{
    auto result = run({{lost, committed}}, make_change());
    EXPECT_EQ(result.reply.outcome, command_outcome::done);
    ASSERT_EQ(result.requests[0].size(), 2u);
    EXPECT_EQ(result.requests[0][0], result.requests[0][1]);
    const std::string& text = result.requests[0][0];
    for (const char* part : {"POST /v1/command ", "Command-Id: c0ffee\r\n",
             "Authorization: Bearer secret\r\n", "\r\n\r\ndrain instance i1"})
        EXPECT_NE(text.find(part), std::string::npos) << part;
}

// Guards against `refused` being reported for a change that an earlier attempt
// may have committed: its response was lost, and the retry was rejected.
TEST(command_client,
    a_refusal_does_not_decide_an_earlier_attempt_of_unknown_outcome)
{
    for (const behaviour& it : {refused, not_fresh, broken, lost})
    {
        auto result = run({{lost, it}, {it}}, make_change());
        EXPECT_EQ(result.reply.outcome, command_outcome::unknown);
        EXPECT_EQ(result.requests[0].size(), 2u);
    }
    auto result = run({{lost, refused}, {refused, committed}}, make_change());
    EXPECT_EQ(result.reply.outcome, command_outcome::done);
}

// Guards against sending a rejected change to further entries until one accepts
// it, and against giving up while another entry could serve the command.
TEST(command_client, only_unavailable_entries_are_skipped)
{
    auto result = run({{not_fresh}, {committed}}, make_change());
    EXPECT_EQ(result.reply.outcome, command_outcome::done);
    EXPECT_EQ(result.reply.body, committed.body);
    result = run({{not_fresh}, {refused}, {committed}}, make_change());
    EXPECT_EQ(result.reply.outcome, command_outcome::refused);
    EXPECT_EQ(result.reply.code, "no_change");
    EXPECT_TRUE(result.requests[2].empty());
    result = run({{not_fresh}}, make_change());
    EXPECT_EQ(result.reply.outcome, command_outcome::no_entry_available);
    EXPECT_EQ(result.requests[0].size(), 1u);
    EXPECT_EQ(result.reply.code, "not_fresh");
}

// Guards against a server error after the commit being taken for a rejection,
// and against an unknown outcome being reported for a query, which changes
// nothing.
TEST(command_client, server_errors_make_the_outcome_unknown_only_for_changes)
{
    command_request query = make_change();
    query.is_change = false;
    for (const behaviour& it : {broken, lost, behaviour{200, "no JSON"},
             behaviour{503, R"({"code":"x","run":"unknown"})"}})
    {
        EXPECT_EQ(
            run({{it}}, make_change()).reply.outcome, command_outcome::unknown);
        auto result = run({{it}, {behaviour{200, "{}"}}}, query);
        EXPECT_EQ(result.reply.outcome, command_outcome::done);
        EXPECT_EQ(run({{it}}, query).reply.outcome,
            command_outcome::no_entry_available);
    }
    behaviour proved{500, R"({"code":"x","run":"no"})"};
    EXPECT_EQ(run({{proved}}, make_change()).reply.outcome,
        command_outcome::no_entry_available);
}

} // namespace cowslippass
