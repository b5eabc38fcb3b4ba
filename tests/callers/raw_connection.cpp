#include "tests/callers/raw_connection.hpp"

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace cowslippass
{

namespace
{

constexpr time_t send_timeout_s = 2;
constexpr time_t receive_timeout_s = 10;
constexpr std::size_t max_received_bytes = 64 * 1024;

} // namespace

raw_connection::raw_connection(const tcp::endpoint& to)
{
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket_ < 0 ||
        connect(socket_, to.data(), static_cast<socklen_t>(to.size())) != 0)
    {
        std::string why = std::strerror(errno);
        close(socket_);
        throw std::runtime_error("connect: " + why);
    }
    timeval send_timeout{send_timeout_s, 0};
    timeval receive_timeout{receive_timeout_s, 0};
    setsockopt(
        socket_, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
        sizeof receive_timeout);
}

raw_connection::~raw_connection()
{
    if (socket_ >= 0)
        close(socket_);
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1))
{
}

bool raw_connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        ssize_t n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::size_t raw_connection::send_repeatedly(
    std::string_view block, std::size_t total)
{
    std::size_t sent = 0;
    while (sent < total && send(block))
        sent += block.size();
    return sent;
}

std::string raw_connection::receive()
{
    std::string out;
    char buf[4096];
    while (out.size() < max_received_bytes)
    {
        ssize_t n = recv(socket_, buf, sizeof buf, 0);
        if (n <= 0)
            break;
        out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
}

} // namespace cowslippass
