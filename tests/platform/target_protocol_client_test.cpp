#include "platform/target_protocol_client.hpp"

#include "drivers/endpoint.hpp"
#include "drivers/http_server.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace cowslippass
{

namespace
{

/// The outcomes of one start and one poll at a target that gives the same
/// answer to every request.
struct outcomes
{
    request_reply start;
    poll_reply poll;
    int requests = 0; ///< That reached the target.
};

/// @param valid_until of both requests.
outcomes ask(
    unsigned status, std::string body, boot_time valid_until = boot_time::max())
{
    asio::io_context io;
    outcomes out;
    http_server_options options;
    options.endpoint = parse_endpoint("127.0.0.1:0");
    http_server server(io, options,
        [&](http_request) -> asio::awaitable<http_response>
        {
            ++out.requests;
            co_return http_response{status, {}, body};
        });
    target_protocol_client client(io,
        parse_endpoint("127.0.0.1:" + std::to_string(server.get_port())),
        target_id("t"), fencing_token(1));
    bool is_done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            run_start_request order;
            order.task = {job_id("j"), {}};
            out.start =
                co_await client.start(order, milliseconds(2'000), valid_until);
            out.poll =
                co_await client.poll({}, milliseconds(2'000), valid_until);
            is_done = true;
            server.stop();
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(10));
    EXPECT_TRUE(is_done);
    return out;
}

constexpr const char* whole_status =
    R"({"clockMs":5,"born":7,"running":[["j.0.1.2",3,"s",40,1.5]],
    "ended":[[9,"j.0.0.1",2,"done",""]]})";

} // namespace

// Guards against a status that is decoded into the wrong members.
TEST(target_protocol_client, decodes_a_status)
{
    outcomes it = ask(200, whole_status);
    EXPECT_EQ(it.start.outcome, request_outcome::accepted);
    EXPECT_EQ(it.start.clock, target_time(5));
    ASSERT_TRUE(it.poll.status);
    EXPECT_EQ(it.poll.status->incarnation_start, platform_time(7));
    ASSERT_EQ(it.poll.status->running.size(), 1U);
    EXPECT_EQ(it.poll.status->running[0].percent, 40);
    ASSERT_EQ(it.poll.status->ended.size(), 1U);
    EXPECT_EQ(it.poll.status->ended[0].number, 9U);
    EXPECT_EQ(it.poll.status->ended[0].end, run_outcome::done);
}

// Guards against an answer with a member of another type or with a number that
// is out of range, which would end the loop that polls the target.
TEST(target_protocol_client, survives_malformed_answers)
{
    for (const char* body : {"", "[]", "{", R"({"clockMs":"x","reason":7})",
             R"({"clockMs":1e300,"reason":null})", R"({"reason":{}})",
             R"({"clockMs":-1})"})
    {
        outcomes it = ask(409, body);
        EXPECT_EQ(it.start.outcome, request_outcome::invalid) << body;
        EXPECT_FALSE(it.start.clock) << body;
        EXPECT_EQ(it.poll.outcome, request_outcome::invalid) << body;
        EXPECT_FALSE(ask(200, body).poll.status) << body;
    }
    for (const char* row : {R"(["j.0.1.2",1e30,"s",40,1])",
             R"(["j.0.1.2",-1,"s",40,1])", R"(["j.0.1.2",3,"s",4e9,1])",
             R"([7,3,"s",40,1])", R"(["j.0.1.2"])", "7"})
        EXPECT_FALSE(ask(200, std::string(R"({"clockMs":5,"running":[)") + row +
                                  R"(],"ended":[]})")
                         .poll.status)
            << row;
}

// Guards against a target that is back under its id and gets the
// acknowledgement of its former life: it would forget ends that nobody has
// seen. Only a connection of the life that is acknowledged may carry it.
TEST(target_protocol_client, acknowledges_only_to_the_life_that_reported)
{
    asio::io_context io;
    std::vector<int> received; // What each poll acknowledges.
    int born = 7;
    http_server_options options;
    options.endpoint = parse_endpoint("127.0.0.1:0");
    auto make_server = [&]
    {
        return std::make_unique<http_server>(io, options,
            [&](http_request it) -> asio::awaitable<http_response>
            {
                received.push_back(
                    nlohmann::json::parse(it.body).at("seenUpto").get<int>());
                co_return http_response{200, {},
                    R"({"clockMs":5,"running":[],"ended":[],"born":)" +
                        std::to_string(born) + "}"};
            });
    };
    auto server = make_server();
    options.endpoint.port(server->get_port());
    target_protocol_client client(
        io, options.endpoint, target_id("t"), fencing_token(1));
    auto poll = [&]() -> asio::awaitable<void>
    {
        poll_request order;
        order.acknowledged = {platform_time(7), 3};
        co_await client.poll(order, milliseconds(1'000), boot_time::max());
    };
    bool is_done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            // The second answer shows that the connection leads to life 7.
            for (int i = 0; i < 3; ++i)
                co_await poll();
            EXPECT_EQ(received, (std::vector<int>{0, 0, 3}));
            received.clear();
            server->stop();
            ++born;
            server = make_server();
            for (int i = 0; i < 4; ++i)
                co_await poll();
            EXPECT_EQ(received, std::vector<int>(received.size(), 0));
            EXPECT_GE(received.size(), 3U);
            is_done = true;
            server->stop();
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(10));
    EXPECT_TRUE(is_done);
}

// Guards against any exception for a status in which some bytes were replaced.
RC_GTEST_PROP(target_protocol_client, never_throws_for_a_corrupted_status, ())
{
    std::string body = whole_status;
    int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i)
        body[*rc::gen::inRange<std::size_t>(0, body.size())] =
            *rc::gen::arbitrary<char>();
    outcomes it = ask(200, body);
    RC_ASSERT(it.poll.status.has_value() ==
              (it.poll.outcome == request_outcome::accepted));
}

// Guards against a request that is sent after the permission for it has
// expired, such as by a process that was paused.
TEST(target_protocol_client, sends_nothing_after_the_end_of_validity)
{
    outcomes it = ask(200, whole_status, boot_clock::now());
    EXPECT_EQ(it.start.outcome, request_outcome::not_sent);
    EXPECT_EQ(it.poll.outcome, request_outcome::not_sent);
    EXPECT_EQ(it.requests, 0);
}

} // namespace cowslippass
