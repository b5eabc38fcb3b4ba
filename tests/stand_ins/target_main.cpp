#include "tests/stand_ins/target_service.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 picks a free one");
DEFINE_string(id, "target", "instance id");
DEFINE_uint32(slots, 8, "most tasks at once");
DEFINE_uint32(max_connections, 64, "connections over this are closed at once");
DEFINE_uint32(run_ms, 50, "run time of a task without a Run-Ms header");
DEFINE_uint32(usage_lag_ms, 0, "age of the usage that is reported");

int main(int argc, char** argv)
{
    using namespace cowslippass;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        asio::io_context io;
        target_service service(
            io, {FLAGS_id, FLAGS_slots, milliseconds(FLAGS_run_ms),
                    milliseconds(FLAGS_usage_lag_ms)});
        stand_in_server server(io, parse_endpoint(FLAGS_listen),
            FLAGS_max_connections,
            [&](http_request request)
            { return service.handle(std::move(request)); });
        service.set_server(&server);
        print_address("listening", server.get_endpoint());
        run_until_signal(io);
    }
    catch (const std::exception& e)
    {
        std::cerr << "stand_in_target: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
