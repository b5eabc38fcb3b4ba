#include "main/entryd/target_channel.hpp"

#include "tests/main/entryd/test_entry.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

namespace
{

/// A target that counts the requests that it gets, and the way to it.
class target_relay_test : public testing::Test
{
protected:
    target_relay_test()
    {
        http_server_options options;
        options.endpoint = parse_endpoint("127.0.0.1:0");
        server = std::make_unique<http_server>(io, options,
            [this](http_request) -> asio::awaitable<http_response>
            {
                ++request_count;
                co_return http_response{
                    200, {}, R"({"clockMs":5,"running":[],"ended":[]})"};
            });
    }

    peer_target_call make_start()
    {
        peer_target_call out;
        out.operation = target_operation::start;
        out.relay_boot = "boot";
        out.target = target_id("t");
        out.address = get_address();
        out.fence = fencing_token(3);
        out.timeout = milliseconds(1'000);
        out.valid_until = relay_time(std::chrono::floor<milliseconds>(
                                         boot_clock::now().time_since_epoch())
                                         .count() +
                                     1'000);
        out.start.task = {job_id("j"), {}};
        out.start.run = run_number(1);
        return out;
    }

    std::string get_address() const
    {
        return "127.0.0.1:" + std::to_string(server->get_port());
    }

    peer_target_reply handle(peer_target_call call)
    {
        peer_target_reply out;
        io.restart();
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                out = co_await relay.handle(std::move(call));
                io.stop();
            },
            asio::detached);
        io.run_for(std::chrono::seconds(10));
        return out;
    }

    asio::io_context io;
    metrics_registry metrics{get_entryd_metrics()};
    int request_count = 0;
    std::unique_ptr<http_server> server;
    target_relay relay{io, metrics, "boot"};
};

} // namespace

// Guards against a relayed request that does not reach its target, or an answer
// that is not passed back.
TEST_F(target_relay_test, passes_requests_to_targets)
{
    peer_target_reply it = handle(make_start());
    EXPECT_EQ(it.outcome, request_outcome::accepted);
    EXPECT_EQ(it.clock, target_time(5));
    EXPECT_EQ(it.relay_boot, "boot");
    EXPECT_EQ(request_count, 1);
    peer_target_call poll = make_start();
    poll.operation = target_operation::poll;
    it = handle(poll);
    ASSERT_TRUE(it.status);
    EXPECT_EQ(it.status->clock, target_time(5));
}

// Guards against a relay that was paused for some seconds and then acts on a
// permission that has run out meanwhile.
TEST_F(target_relay_test, sends_nothing_after_its_permission_has_expired)
{
    peer_target_call call = make_start();
    call.valid_until = relay_time(call.valid_until.get() - 1'001);
    EXPECT_EQ(handle(call).outcome, request_outcome::not_sent);
    EXPECT_EQ(request_count, 0);
}

// Guards against a restarted relay that acts on calls for its predecessor,
// whose clock they refer to.
TEST_F(target_relay_test, rejects_calls_for_another_process)
{
    peer_target_call call = make_start();
    call.relay_boot = "other";
    EXPECT_TRUE(handle(call).is_rejected);
    EXPECT_EQ(request_count, 0);
}

// Guards against two coordinators around a takeover that both act through one
// relay.
TEST_F(target_relay_test, refuses_a_coordinator_that_was_replaced)
{
    handle(make_start());
    peer_target_call call = make_start();
    call.fence = fencing_token(2);
    EXPECT_EQ(handle(call).outcome, request_outcome::stale_fence);
    EXPECT_EQ(request_count, 1);
}

// Guards against new requests at a relay that is about to stop, which would
// lose them.
TEST_F(target_relay_test, rejects_calls_when_it_leaves)
{
    relay.start_leaving();
    peer_target_reply it = handle(make_start());
    EXPECT_TRUE(it.is_rejected);
    EXPECT_TRUE(it.is_leaving);
    EXPECT_EQ(request_count, 0);
}

// Guards against an address that ends the process.
TEST_F(target_relay_test, reports_an_invalid_address)
{
    peer_target_call call = make_start();
    call.address = "10.0.0.1:99999";
    EXPECT_EQ(handle(call).outcome, request_outcome::invalid);
}

// Guards against members that are lost between coordinator and relay.
TEST(peer_target_call, survives_encoding)
{
    peer_target_call call;
    call.operation = target_operation::start;
    call.relay_boot = "b";
    call.target = target_id("t");
    call.address = "10.0.0.1:80";
    call.fence = fencing_token(7);
    call.valid_until = relay_time(123);
    call.timeout = milliseconds(600);
    call.start = {{job_id("j"), {1, 2, 3}}, run_number(4), "payload",
        target_time(99), "saved", "ticket"};
    call.poll.acknowledged = {platform_time(8), 5};
    auto out = std::get<peer_target_call>(
        decode_peer_message(encode_peer_message({1, false, call})).body);
    EXPECT_EQ(out.relay_boot, "b");
    EXPECT_EQ(out.target, target_id("t"));
    EXPECT_EQ(out.fence, fencing_token(7));
    EXPECT_EQ(out.valid_until, relay_time(123));
    EXPECT_EQ(out.timeout, milliseconds(600));
    EXPECT_EQ(out.start.task, call.start.task);
    EXPECT_EQ(out.start.run, run_number(4));
    EXPECT_EQ(out.start.payload, "payload");
    EXPECT_EQ(out.start.lease_end, target_time(99));
    EXPECT_EQ(out.start.saved, "saved");
    EXPECT_EQ(out.start.ticket, "ticket");
    EXPECT_EQ(out.poll.acknowledged.incarnation_start, platform_time(8));
    EXPECT_EQ(out.poll.acknowledged.up_to, 5U);
    peer_target_reply reply;
    reply.outcome = request_outcome::superseded;
    reply.clock = target_time(0);
    reply.relay_clock = relay_time(5);
    reply.relay_boot = "b";
    reply.is_leaving = true;
    target_status status;
    status.clock = target_time(3);
    status.incarnation_start = platform_time(4);
    status.running.push_back(
        {{job_id("j"), {1, 2, 3}}, run_number(4), "s", 50, 1.5});
    status.ended.push_back(
        {9, {job_id("k"), {}}, run_number(1), run_outcome::failed, "t"});
    reply.status = status;
    auto back = std::get<peer_target_reply>(
        decode_peer_message(encode_peer_message({1, true, reply})).body);
    EXPECT_EQ(back.outcome, request_outcome::superseded);
    EXPECT_EQ(back.clock, target_time(0));
    EXPECT_EQ(back.relay_clock, relay_time(5));
    EXPECT_TRUE(back.is_leaving);
    ASSERT_TRUE(back.status);
    EXPECT_EQ(back.status->incarnation_start, platform_time(4));
    ASSERT_EQ(back.status->running.size(), 1U);
    EXPECT_EQ(back.status->running[0].task, status.running[0].task);
    EXPECT_EQ(back.status->running[0].measured_value, 1.5);
    ASSERT_EQ(back.status->ended.size(), 1U);
    EXPECT_EQ(back.status->ended[0].end, run_outcome::failed);
    EXPECT_EQ(back.status->ended[0].saved, "t");
}

} // namespace cowslippass
