#pragma once

#include "core/core.hpp"
#include "drivers/drivers.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cowslippass
{

/// Fresh directory under the system's temporary one; removed at the end.
class temp_directory
{
public:
    temp_directory();
    ~temp_directory();
    temp_directory(const temp_directory&) = delete;
    temp_directory& operator=(const temp_directory&) = delete;

    const std::filesystem::path& get_path() const { return path_; }

private:
    std::filesystem::path path_;
};

/// Keeps a free port of a loopback address for programs that are started, or
/// started again, on it. Its socket never listens, and every listener of this
/// project sets SO_REUSEADDR, so both can be bound.
class port_holder
{
public:
    explicit port_holder(const std::string& address = "127.0.0.1");
    ~port_holder();
    port_holder(const port_holder&) = delete;
    port_holder& operator=(const port_holder&) = delete;

    const tcp::endpoint& get_endpoint() const { return endpoint_; }

private:
    int socket_ = -1;
    tcp::endpoint endpoint_;
};

/// A running program that ends with this object, and with the test program
/// even when that is killed.
class child_process
{
public:
    /// @param program path relative to the build directory.
    /// @param line_count lines of standard output to wait for.
    /// @throws std::runtime_error with the program's standard error when it
    ///   cannot be started or does not print the lines within `timeout`.
    child_process(const std::string& program,
        const std::vector<std::string>& arguments, std::size_t line_count = 1,
        milliseconds timeout = milliseconds(20'000));
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @return the address in the first line `<name> IP:port`.
    /// @throws std::runtime_error when there is no such line.
    tcp::endpoint get_address(const std::string& name) const;

    const std::vector<std::string>& get_lines() const { return lines_; }

    pid_t get_pid() const { return pid_; }

    /// Does nothing when the process has been waited for.
    void kill(int signal);

    /// @return the status as of `waitpid`, or nothing at the timeout.
    std::optional<int> wait(milliseconds timeout);

    /// Sends SIGTERM and waits; kills the process at the timeout.
    /// @return whether it ended by itself with exit code 0.
    bool stop(milliseconds timeout = milliseconds(10'000));

    /// @return at most the last `max_bytes` of standard error.
    std::string get_errors(std::size_t max_bytes = 65'536) const;

private:
    void spawn(
        const std::string& path, const std::vector<std::string>& arguments);
    bool read_lines(std::size_t line_count);
    void end();

    temp_directory directory_;
    pid_t pid_ = -1;
    std::optional<int> status_;
    std::vector<std::string> lines_;
};

/// Blocking HTTP client that keeps its connections between requests.
class test_client
{
public:
    explicit test_client(
        const tcp::endpoint& endpoint, std::size_t max_connections = 1);

    http_result send(http_request request, milliseconds timeout);

private:
    asio::io_context io_;
    http_client client_;
};

/// Sends one request over a connection of its own.
http_result fetch(const tcp::endpoint& endpoint, http_request request,
    milliseconds timeout = milliseconds(5'000));

/// @throws std::runtime_error unless a JSON answer with status 200 arrives.
nlohmann::json fetch_json(const tcp::endpoint& endpoint,
    const std::string& method, const std::string& path,
    const nlohmann::json& body = nullptr);

/// Sets faults of a stand-in.
void set_control(const tcp::endpoint& endpoint, const nlohmann::json& control);

/// Polls every 10 ms.
/// @return whether the predicate held before the timeout.
bool wait_until(const std::function<bool()>& predicate, milliseconds timeout);

} // namespace cowslippass
