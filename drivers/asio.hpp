#pragma once

// Boost.Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslippass
{

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

} // namespace cowslippass
