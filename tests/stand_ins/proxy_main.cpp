#include "tests/stand_ins/proxy_service.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 picks a free one");
DEFINE_string(to, "", "IP:port that connections are forwarded to");
DEFINE_string(control, "127.0.0.1:0", "IP:port of the HTTP control interface");

int main(int argc, char** argv)
{
    using namespace cowslippass;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        asio::io_context io;
        proxy_service service(
            io, parse_endpoint(FLAGS_listen), parse_endpoint(FLAGS_to));
        constexpr std::size_t max_connections = 64;
        stand_in_server control(io, parse_endpoint(FLAGS_control),
            max_connections,
            [&](http_request request)
            { return service.handle(std::move(request)); });
        print_address("listening", service.get_endpoint());
        print_address("control", control.get_endpoint());
        run_until_signal(io);
    }
    catch (const std::exception& e)
    {
        std::cerr << "stand_in_proxy: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
