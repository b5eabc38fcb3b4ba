#pragma once

#include "drivers/drivers.hpp"
#include "main/entryd/entryd_process.hpp"
#include "main/entryd/job_api.hpp"
#include "main/entryd/target_relay.hpp"
#include "tests/stand_ins/users_platform.hpp"

#include <gtest/gtest.h>

namespace cowslippass
{

/// The parts of one entry that serve callers and peers, follow the
/// configuration and take part in the election of the coordinator, without its
/// process.
struct test_entry
{
    /// @param peer_address with a port that is not listened at; port 0 for a
    ///   free port, at which the entry serves its peers.
    /// @param access the entry's way to the store; null for the one that all
    ///   entries share.
    test_entry(asio::io_context& context, users_platform& platform,
        const std::string& peer_address,
        const users_platform::store_access* access = nullptr)
        : io(context), settings(make_settings(platform, peer_address, access)),
          metrics(get_entryd_metrics()),
          tasks(io, [this](const std::string&, const std::string& why)
              { failures.push_back(why); }),
          store(io, settings.store),
          config(io, store, [this] { role.handle_published_change(); }),
          role(io, settings, store, metrics, tasks, config),
          relay(io, metrics, role.get_boot_id()), loop_delay(io),
          api(settings, config, role, metrics, loop_delay)
    {
        if (parse_endpoint(peer_address).port() == 0)
            serve_peers();
        asio::co_spawn(io, loop_delay.run(), asio::detached);
        asio::co_spawn(io, config.run(), asio::detached);
        asio::co_spawn(io, role.run(), asio::detached);
    }

    static entry_settings make_settings(users_platform& platform,
        const std::string& peer_address,
        const users_platform::store_access* access)
    {
        entry_settings out;
        out.entry = entry_id("e");
        out.data_centre = data_centre_id("z");
        out.peer_listen = parse_endpoint(peer_address);
        if (out.peer_listen.port() == 0)
            out.peer_listen.port(find_free_port());
        out.store = platform.get_store_endpoint();
        if (access)
            out.store.port(access->server->get_port());
        out.machines = platform.get_store_endpoint();
        return out;
    }

    static unsigned short find_free_port()
    {
        asio::io_context io;
        tcp::acceptor it(io, {asio::ip::make_address("127.0.0.1"), 0});
        return it.local_endpoint().port();
    }

    void serve_peers()
    {
        peers = std::make_unique<peer_server>(
            io, settings.peer_listen,
            [this](peer_body body) { return answer(std::move(body)); },
            [](const std::string&, const std::string&) {});
    }

    asio::awaitable<std::optional<peer_body>> answer(peer_body body)
    {
        // A frozen process keeps its connections, and continues afterwards
        // with what it has received.
        asio::steady_timer timer(io);
        while (is_frozen)
        {
            timer.expires_after(milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (auto* request = std::get_if<peer_target_call>(&body))
        {
            peer_body reply = co_await relay.handle(std::move(*request));
            co_return reply;
        }
        if (auto* call = std::get_if<peer_coordinator_call>(&body))
        {
            peer_body reply = co_await role.handle_peer_call(std::move(*call));
            co_return reply;
        }
        co_return peer_hello{};
    }

    asio::io_context& io;
    entry_settings settings;
    metrics_registry metrics;
    std::vector<std::string> failures; ///< Of the entry's own tasks.
    task_supervisor tasks;
    store_client store;
    config_watcher config;
    coordinator_role role;
    target_relay relay;
    loop_delay_meter loop_delay;
    job_api api;
    std::unique_ptr<peer_server> peers;
    bool is_frozen = false;
};

/// Base of the tests of entries and their platform in one process.
class entry_test : public testing::Test
{
protected:
    entry_test() { platform.publish_config(); }

    /// Runs the test's body as a coroutine. Fails if it needs longer.
    void run(std::function<asio::awaitable<void>()> body,
        std::chrono::seconds limit = std::chrono::seconds(20))
    {
        bool is_done = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                co_await body();
                is_done = true;
                io.stop();
            },
            asio::detached);
        io.run_for(limit);
        EXPECT_TRUE(is_done);
    }

    asio::awaitable<void> sleep(milliseconds time)
    {
        asio::steady_timer timer(io);
        timer.expires_after(time);
        boost::system::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }

    /// Sends a caller's request to an entry.
    static asio::awaitable<http_response> send_to(test_entry& to,
        std::string method, std::string path, std::string body = {})
    {
        http_request request;
        request.method = std::move(method);
        request.path = std::move(path);
        request.headers["Host"] = "h:80";
        request.body = std::move(body);
        return to.api.handle(std::move(request));
    }

    asio::io_context io;
    users_platform platform{io};
};

} // namespace cowslippass
