#include "tests/stand_ins/proxy_service.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace cowslippass
{

using json = nlohmann::json;

namespace
{

constexpr std::size_t chunk_bytes = 64 * 1024;
/// Reading pauses above this, so that a slow receiver slows the sender.
constexpr std::size_t max_queued_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_links = 2048;

} // namespace

/// One direction of a connection.
struct proxy_stream
{
    proxy_stream(asio::io_context& io, tcp::socket& source, tcp::socket& sink)
        : from(source), to(sink), changed(io)
    {
    }

    struct chunk
    {
        monotonic_time due;
        std::vector<char> data;
    };

    asio::awaitable<void> wait_for_change()
    {
        boost::system::error_code ignored;
        changed.expires_at(monotonic_time::max());
        co_await changed.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }

    tcp::socket& from;
    tcp::socket& to;
    std::deque<chunk> queue;
    std::size_t queued_bytes = 0;
    asio::steady_timer changed;
    bool is_ended = false;    ///< The sender closed.
    bool is_finished = false; ///< All that it sent was forwarded or dropped.
    /// Bytes were swallowed, so forwarding later ones would hand the receiver
    /// a stream with a hole, which TCP never does.
    bool is_dead = false;
    std::uint64_t forwarded = 0; ///< Since `truncate_after_bytes` was set.
};

struct proxy_link : std::enable_shared_from_this<proxy_link>
{
    proxy_link(proxy_service& owner, tcp::socket socket)
        : service(owner), client(std::move(socket)), server(owner.io_),
          to_server(owner.io_, client, server),
          to_client(owner.io_, server, client)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        is_open = false;
        client.close(ignored);
        server.close(ignored);
        to_server.changed.cancel();
        to_client.changed.cancel();
        service.links_.erase(shared_from_this());
    }

    proxy_service& service;
    std::string source; ///< Address of the client, without the port.
    tcp::socket client;
    tcp::socket server;
    proxy_stream to_server;
    proxy_stream to_client;
    bool is_open = true;
    bool is_silent = false;
};

proxy_service::proxy_service(
    asio::io_context& io, const tcp::endpoint& listen, tcp::endpoint to)
    : io_(io), port_holder_(io, listen.protocol()), to_(std::move(to))
{
    port_holder_.set_option(tcp::socket::reuse_address(true));
    port_holder_.bind(listen);
    listen_ = port_holder_.local_endpoint();
    open_acceptor();
}

void proxy_service::open_acceptor()
{
    if (acceptor_)
        return;
    acceptor_ = std::make_shared<tcp::acceptor>(io_);
    acceptor_->open(listen_.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(listen_);
    acceptor_->listen();
    asio::co_spawn(
        io_, [this, acceptor = acceptor_] { return accept_loop(acceptor); },
        asio::detached);
}

asio::awaitable<void> proxy_service::accept_loop(
    std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open())
    {
        boost::system::error_code ec;
        tcp::socket socket = co_await acceptor->async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !acceptor->is_open())
            break;
        // A pause, as running out of descriptors lasts for a while.
        if (ec)
        {
            asio::steady_timer pause(io_);
            pause.expires_after(milliseconds(50));
            co_await pause.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (links_.size() >= max_links)
            continue;
        ++accepted_;
        auto link = std::make_shared<proxy_link>(*this, std::move(socket));
        link->source = link->client.remote_endpoint(ec).address().to_string();
        ++accepted_by_source_[link->source];
        links_.insert(link);
        asio::co_spawn(
            io_, [this, link] { return serve(link); }, asio::detached);
    }
}

asio::awaitable<void> proxy_service::serve(std::shared_ptr<proxy_link> link)
{
    boost::system::error_code ec;
    co_await link->server.async_connect(
        to_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || !link->is_open)
    {
        link->close();
        co_return;
    }
    link->client.set_option(tcp::no_delay(true), ec);
    link->server.set_option(tcp::no_delay(true), ec);
    for (proxy_stream* it : {&link->to_server, &link->to_client})
    {
        asio::co_spawn(
            io_, [this, link, it] { return read_from(link, *it); },
            asio::detached);
        asio::co_spawn(
            io_, [this, link, it] { return write_to(link, *it); },
            asio::detached);
    }
}

bool proxy_service::is_swallowed(
    const proxy_link& link, proxy_stream& stream) const
{
    bool is_to_server = &stream == &link.to_server;
    bool drops_all = is_to_server ? drops_to_server_ : drops_to_client_;
    const auto& sources = is_to_server ? dropped_from_ : dropped_to_;
    if (drops_all || sources.contains(link.source) || link.is_silent)
        stream.is_dead = true;
    return stream.is_dead;
}

asio::awaitable<void> proxy_service::read_from(
    std::shared_ptr<proxy_link> link, proxy_stream& stream)
{
    boost::system::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    while (link->is_open)
    {
        if (stream.queued_bytes > max_queued_bytes)
        {
            asio::steady_timer pause(io_);
            pause.expires_after(milliseconds(5));
            co_await pause.async_wait(token);
            continue;
        }
        std::vector<char> data(chunk_bytes);
        std::size_t n =
            co_await stream.from.async_read_some(asio::buffer(data), token);
        // The end of a stream is swallowed as its bytes are.
        bool is_swallowed_now = is_swallowed(*link, stream);
        if (ec && ec != asio::error::eof && !is_swallowed_now)
            link->close();
        if (ec)
            break;
        if (is_swallowed_now)
            continue;
        data.resize(n);
        stream.queued_bytes += n;
        stream.queue.push_back(
            {std::chrono::steady_clock::now() + delay_, std::move(data)});
        stream.changed.cancel();
    }
    stream.is_ended = true;
    stream.changed.cancel();
}

asio::awaitable<void> proxy_service::write_to(
    std::shared_ptr<proxy_link> link, proxy_stream& stream)
{
    boost::system::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    bool is_to_client = &stream == &link->to_client;
    while (link->is_open)
    {
        if (stream.queue.empty() && stream.is_ended)
            break;
        if (stream.queue.empty())
        {
            co_await stream.wait_for_change();
            continue;
        }
        auto chunk = std::move(stream.queue.front());
        stream.queue.pop_front();
        asio::steady_timer timer(io_);
        timer.expires_at(chunk.due);
        if (chunk.due > std::chrono::steady_clock::now())
            co_await timer.async_wait(token);
        stream.queued_bytes -= chunk.data.size();
        if (!link->is_open || is_swallowed(*link, stream))
            continue;
        bool is_truncated =
            is_to_client && truncate_after_ &&
            stream.forwarded + chunk.data.size() >= *truncate_after_;
        if (is_truncated)
            chunk.data.resize(*truncate_after_ -
                              std::min(*truncate_after_, stream.forwarded));
        co_await asio::async_write(stream.to, asio::buffer(chunk.data), token);
        stream.forwarded += chunk.data.size();
        (is_to_client ? bytes_to_client_ : bytes_to_server_) +=
            chunk.data.size();
        if (ec || is_truncated)
            link->close();
    }
    if (link->is_open && !is_swallowed(*link, stream))
        stream.to.shutdown(tcp::socket::shutdown_send, ec);
    stream.is_finished = true;
    if (link->to_server.is_finished && link->to_client.is_finished)
        link->close();
}

void proxy_service::cut()
{
    boost::system::error_code ignored;
    if (acceptor_)
        acceptor_->close(ignored);
    acceptor_.reset();
    // A copy, as closing removes the link.
    auto links = links_;
    for (const auto& link : links)
        link->close();
}

void proxy_service::restore()
{
    delay_ = milliseconds(0);
    drops_to_server_ = false;
    drops_to_client_ = false;
    dropped_from_.clear();
    dropped_to_.clear();
    truncate_after_.reset();
    open_acceptor();
}

void proxy_service::set_control(const json& control)
{
    if (control.value("restore", false))
        restore();
    delay_ = milliseconds(control.value("delay_ms", delay_.count()));
    drops_to_server_ = control.value("drop_to_server", drops_to_server_);
    drops_to_client_ = control.value("drop_to_client", drops_to_client_);
    dropped_from_ = control.value("drop_from", dropped_from_);
    dropped_to_ = control.value("drop_to", dropped_to_);
    if (control.contains("truncate_after_bytes"))
    {
        truncate_after_ = control["truncate_after_bytes"].get<std::uint64_t>();
        for (const auto& link : links_)
            link->to_client.forwarded = 0;
    }
    if (control.value("silence_open", false))
        for (const auto& link : links_)
            link->is_silent = true;
    if (control.value("cut", false))
        cut();
}

json proxy_service::get_counters() const
{
    return {{"accepted", accepted_},
        {"accepted_by_source", accepted_by_source_}, {"open", links_.size()},
        {"bytes_to_server", bytes_to_server_},
        {"bytes_to_client", bytes_to_client_}};
}

asio::awaitable<stand_in_response> proxy_service::handle(http_request request)
{
    json body = json::object();
    if (request.path == "/control" && request.method == "POST")
        set_control(json::parse(request.body));
    else if (request.path == "/control/counters")
        body = get_counters();
    else
        co_return stand_in_response{{404, {}, "no such path\n"}};
    co_return stand_in_response{
        {200, {{"Content-Type", "application/json"}}, body.dump()}};
}

} // namespace cowslippass
