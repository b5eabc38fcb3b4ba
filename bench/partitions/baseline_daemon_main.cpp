// The daemon with a policy that only serves comparison; it is not installed.
#include "bench/partitions/baseline_policies.hpp"
#include "main/entry_process.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "TOML file with the settings of this entry");
DEFINE_string(policy, "", "stop_everything or serve_stale");

int main(int argc, char** argv)
{
    using namespace cowslippass;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const stop_everything_policy stop_everything;
    const serve_stale_policy serve_stale;
    const start_policy* policy = &serve_stale;
    if (FLAGS_policy == "stop_everything")
        policy = &stop_everything;
    else if (FLAGS_policy != "serve_stale")
    {
        std::cerr << "baseline_daemon: unknown policy\n";
        return 2;
    }
    try
    {
        std::_Exit(run_entry_process(load_settings(FLAGS_settings), *policy));
    }
    catch (const std::exception& e)
    {
        std::cerr << "baseline_daemon: " << e.what() << '\n';
        return 2;
    }
}
