#include "main/entryd/entryd_process.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "TOML file with the settings of this entry.");
DEFINE_bool(check, false, "Check the settings file and exit.");
DECLARE_bool(help);

namespace
{

constexpr int exit_usage = 2;
constexpr const char* usage =
    "the entry daemon of cowslippass on the users' platform.\n\n"
    "  cowslippass_entryd --settings=FILE          run until SIGTERM\n"
    "  cowslippass_entryd --settings=FILE --check  check the settings\n\n"
    "It logs JSON lines to standard output. SIGTERM makes a planned stop,\n"
    "SIGHUP reads the settings again; docs/platform.md describes both.\n\n"
    "Exit status:\n"
    "  0  a planned stop is complete, or the settings are valid\n"
    "  2  wrong flags or settings, or an address cannot be listened on";

int run(const std::string& path)
{
    using namespace cowslippass;
    entry_settings settings = load_entry_settings(path);
    if (FLAGS_check)
    {
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    return run_entryd(path, std::move(settings));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help)
    {
        gflags::ShowUsageWithFlagsRestrict(argv[0], "cowslippass_entryd_main");
        return 0;
    }
    gflags::HandleCommandLineHelpFlags();
    if (FLAGS_settings.empty() || argc > 1)
    {
        std::cerr
            << "cowslippass_entryd: --settings=FILE is required; see --help\n";
        return exit_usage;
    }
    try
    {
        int status = run(FLAGS_settings);
        // Skips the clean-up of suspended coroutines. Everything that must
        // survive is already in the store.
        std::cout.flush();
        std::_Exit(status);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return exit_usage;
    }
}
