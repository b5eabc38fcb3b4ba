#include "tests/stand_ins/platform_service.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 picks a free one");

int main(int argc, char** argv)
{
    using namespace cowslippass;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        asio::io_context io;
        platform_service service(io);
        constexpr std::size_t max_connections = 4096;
        stand_in_server server(io, parse_endpoint(FLAGS_listen),
            max_connections,
            [&](http_request request)
            { return service.handle(std::move(request)); });
        print_address("listening", server.get_endpoint());
        run_until_signal(io);
    }
    catch (const std::exception& e)
    {
        std::cerr << "stand_in_platform: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
