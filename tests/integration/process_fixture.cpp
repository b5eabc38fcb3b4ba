#include "tests/integration/process_fixture.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace cowslippass
{

namespace
{

[[noreturn]] void throw_errno(const std::string& what, int code = errno)
{
    throw std::runtime_error(what + ": " + std::strerror(code));
}

/// Kills the children that are left when this program ends without running
/// destructors, as on the timeout of ctest. A shell waits for the end of its
/// standard input, whose other end is held by this program alone.
class child_guard
{
public:
    static child_guard& get()
    {
        static child_guard instance;
        return instance;
    }

    void add(pid_t pid) { write_line("add " + std::to_string(pid)); }

    void remove(pid_t pid) { write_line("remove " + std::to_string(pid)); }

private:
    child_guard()
    {
        // Ids that were waited for are removed, as the system reuses them.
        static const char script[] =
            "trap '' INT TERM HUP; left=' '\n"
            "while read -r verb pid; do\n"
            "  case $verb in\n"
            "    add) left=\"$left$pid \";;\n"
            "    remove) left=\"${left%% $pid *} ${left#* $pid }\";;\n"
            "  esac\n"
            "done\n"
            "for pid in $left; do kill -9 $pid 2> /dev/null; done\n";
        int ends[2];
        if (pipe2(ends, O_CLOEXEC) != 0)
            throw_errno("pipe2");
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[0], 0);
        posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
        posix_spawn_file_actions_addopen(&actions, 2, "/dev/null", O_WRONLY, 0);
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        char shell[] = "/bin/sh";
        char option[] = "-c";
        std::string text = script;
        char* argv[] = {shell, option, text.data(), nullptr};
        int code = posix_spawn(&pid_, shell, &actions, nullptr, argv, environ);
        posix_spawn_file_actions_destroy(&actions);
        close(ends[0]);
        input_ = ends[1];
        if (code != 0)
            throw_errno("posix_spawn /bin/sh", code);
    }

    ~child_guard()
    {
        close(input_);
        waitpid(pid_, nullptr, 0);
    }

    void write_line(const std::string& text)
    {
        std::string line = text + "\n";
        if (write(input_, line.data(), line.size()) !=
            static_cast<ssize_t>(line.size()))
            throw_errno("write to the child guard");
    }

    pid_t pid_ = -1;
    int input_ = -1;
};

} // namespace

temp_directory::temp_directory()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "cowslippass-XXXXXX");
    if (mkdtemp(name.data()) == nullptr)
        throw_errno("mkdtemp " + name);
    path_ = name;
}

temp_directory::~temp_directory()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

port_holder::port_holder(const std::string& address)
{
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket_ < 0)
        throw_errno("socket");
    int one = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    socklen_t size = sizeof name;
    auto* plain = reinterpret_cast<sockaddr*>(&name);
    if (bind(socket_, plain, size) != 0 ||
        getsockname(socket_, plain, &size) != 0)
    {
        int code = errno;
        close(socket_);
        throw_errno("bind " + address, code);
    }
    endpoint_ =
        tcp::endpoint(asio::ip::make_address(address), ntohs(name.sin_port));
}

port_holder::~port_holder()
{
    close(socket_);
}

child_process::child_process(const std::string& program,
    const std::vector<std::string>& arguments, std::size_t line_count,
    milliseconds timeout)
{
    spawn(std::string(PROGRAM_DIR) + "/" + program, arguments);
    bool is_complete = false;
    wait_until(
        [&]
        {
            is_complete = read_lines(line_count);
            return is_complete || wait(milliseconds(0));
        },
        timeout);
    // The lines may have been written between the last look and the end.
    if (is_complete || read_lines(line_count))
        return;
    std::string message = program +
                          (status_ ? " ended" : " printed too few lines") +
                          " at its start; standard error: " + get_errors();
    end();
    throw std::runtime_error(message);
}

child_process::~child_process()
{
    end();
}

void child_process::end()
{
    if (status_)
        return;
    kill(SIGKILL);
    wait(milliseconds(10'000));
}

void child_process::spawn(
    const std::string& path, const std::vector<std::string>& arguments)
{
    std::vector<std::string> texts{path};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(texts.size() + 1);
    for (auto& it : texts)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    std::string out = directory_.get_path() / "stdout";
    std::string err = directory_.get_path() / "stderr";
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, out.c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, err.c_str(), flags, 0600);
    // A connection of the test would otherwise stay open in the child.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    child_guard& guard = child_guard::get();
    int code = posix_spawn(
        &pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (code != 0)
        throw_errno("posix_spawn " + path, code);
    guard.add(pid_);
}

bool child_process::read_lines(std::size_t line_count)
{
    lines_.clear();
    std::ifstream in(directory_.get_path() / "stdout");
    std::string line;
    // A line without its end may be incomplete.
    while (lines_.size() < line_count && std::getline(in, line) && !in.eof())
        lines_.push_back(line);
    return lines_.size() == line_count;
}

tcp::endpoint child_process::get_address(const std::string& name) const
{
    for (const auto& line : lines_)
        if (line.starts_with(name + " "))
            return parse_endpoint(line.substr(name.size() + 1));
    throw std::runtime_error("the program printed no address '" + name + "'");
}

void child_process::kill(int signal)
{
    if (!status_)
        ::kill(pid_, signal);
}

std::optional<int> child_process::wait(milliseconds timeout)
{
    auto try_wait = [&]
    {
        int status = 0;
        if (!status_ && waitpid(pid_, &status, WNOHANG) == pid_)
        {
            status_ = status;
            child_guard::get().remove(pid_);
        }
        return status_.has_value();
    };
    if (!try_wait())
        wait_until(try_wait, timeout);
    return status_;
}

bool child_process::stop(milliseconds timeout)
{
    kill(SIGTERM);
    if (!wait(timeout))
        end();
    return status_ && WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0;
}

std::string child_process::get_errors(std::size_t max_bytes) const
{
    std::ifstream in(directory_.get_path() / "stderr");
    std::stringstream buf;
    buf << in.rdbuf();
    std::string text = buf.str();
    if (text.size() > max_bytes)
        text.erase(0, text.size() - max_bytes);
    return text;
}

test_client::test_client(
    const tcp::endpoint& endpoint, std::size_t max_connections)
    : client_(io_, endpoint, max_connections)
{
}

http_result test_client::send(http_request request, milliseconds timeout)
{
    http_result out{{}, http_failure::no_reply, "the client did not return"};
    asio::co_spawn(
        io_,
        [&]() -> asio::awaitable<void>
        { out = co_await client_.send(std::move(request), timeout); },
        asio::detached);
    io_.restart();
    // The client keeps its own deadline; the margin only bounds a fault.
    io_.run_for(timeout + milliseconds(5'000));
    return out;
}

http_result fetch(
    const tcp::endpoint& endpoint, http_request request, milliseconds timeout)
{
    test_client client(endpoint);
    return client.send(std::move(request), timeout);
}

nlohmann::json fetch_json(const tcp::endpoint& endpoint,
    const std::string& method, const std::string& path,
    const nlohmann::json& body)
{
    http_request request;
    request.method = method;
    parse_request_target(path, request);
    if (!body.is_null())
        request.body = body.dump();
    std::string what =
        method + " " + format_endpoint(endpoint) + path + " failed: ";
    http_result result = fetch(endpoint, request);
    if (!result.response)
        throw std::runtime_error(what + result.message);
    if (result.response->status != 200)
        throw std::runtime_error(what + "status " +
                                 std::to_string(result.response->status) + " " +
                                 result.response->body);
    return nlohmann::json::parse(result.response->body);
}

void set_control(const tcp::endpoint& endpoint, const nlohmann::json& control)
{
    fetch_json(endpoint, "POST", "/control", control);
}

bool wait_until(const std::function<bool()>& predicate, milliseconds timeout)
{
    auto end = std::chrono::steady_clock::now() + timeout;
    while (!predicate())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

} // namespace cowslippass
