#include "main/entry_process.hpp"

#include "main/entry_node.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <system_error>
#include <vector>

#include <unistd.h>

namespace cowslippass
{

namespace
{

/// Runs the program of this process again, with the same id and arguments.
[[noreturn]] void replace_image()
{
    std::ifstream in("/proc/self/cmdline", std::ios::binary);
    std::vector<std::string> arguments;
    for (std::string it; std::getline(in, it, '\0');)
        arguments.push_back(it);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    // Callers must see that their connections are gone.
    close_range(3, ~0U, 0);
    execv("/proc/self/exe", argv.data());
    throw std::system_error(errno, std::generic_category(), "execv");
}

} // namespace

int run_entry_process(settings config, const start_policy& policy)
{
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    configure_log(config.log_level, config.log_file);
    asio::io_context io(1);
    entry_node node(io, config, policy);
    int status = 0;
    bool is_stopping = false;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    std::function<void()> wait_for_signal = [&]
    {
        signals.async_wait(
            [&](boost::system::error_code ec, int)
            {
                if (ec)
                    return;
                if (is_stopping)
                {
                    status = 1;
                    io.stop();
                    return;
                }
                is_stopping = true;
                node.stop([&] { io.stop(); });
                wait_for_signal();
            });
    };
    wait_for_signal();
    bool joins_anew = false;
    node.start(
        [&]
        {
            joins_anew = true;
            node.stop([&] { io.stop(); });
        });
    std::cout << "http " << config.http_advertise << "\npeer "
              << config.peer_advertise << std::endl;
    io.run();
    if (joins_anew && !is_stopping)
        replace_image();
    return status;
}

} // namespace cowslippass
