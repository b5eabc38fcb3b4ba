#include "main/entry_process.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "TOML file with the settings of this entry.");
DEFINE_bool(check, false, "Check the settings file and exit.");
DECLARE_bool(help);

// Defined by gflags but not declared in its header. Its default exits with 1,
// which would look like a second SIGTERM.
namespace GFLAGS_NAMESPACE
{
extern void (*gflags_exitfunc)(int);
}

namespace
{

constexpr int exit_usage = 2;
constexpr const char* usage =
    "the daemon of an entry instance of cowslippass.\n\n"
    "  cowslippassd --settings=FILE          run until SIGTERM\n"
    "  cowslippassd --settings=FILE --check  check the settings and exit\n\n"
    "It prints 'http IP:port' and 'peer IP:port' once it listens, and logs\n"
    "JSON lines to standard error or to the file named in the settings.\n"
    "SIGTERM makes a planned stop: the entry turns unready, hands over and\n"
    "exits with status 0. A second SIGTERM ends it at once with status 1.\n"
    "Settings are described in docs/configuration.md, operating in\n"
    "docs/OPERATIONS.md.\n\n"
    "Exit status:\n"
    "  0  a planned stop is complete, or the settings are valid\n"
    "  1  ended by a second SIGTERM\n"
    "  2  wrong flags or settings, or an address cannot be listened on";

int run(const std::string& path)
{
    using namespace cowslippass;
    settings config = load_settings(path);
    if (FLAGS_check)
    {
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    return run_entry_process(std::move(config), fresh_configuration_policy());
}

} // namespace

int main(int argc, char** argv)
{
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int status)
    { std::exit(status == 0 ? 0 : exit_usage); };
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help)
    {
        // Flags of the library itself would hide the few that matter here.
        gflags::ShowUsageWithFlagsRestrict(argv[0], "cowslippassd_main");
        return 0;
    }
    gflags::HandleCommandLineHelpFlags();
    if (FLAGS_settings.empty() || argc > 1)
    {
        std::cerr << "cowslippassd: --settings=FILE is required; see --help\n";
        return exit_usage;
    }
    try
    {
        int status = run(FLAGS_settings);
        // Pending coroutines are not unwound: everything durable is in the
        // platform already.
        std::cout.flush();
        std::_Exit(status);
    }
    catch (const cowslippass::error& e)
    {
        std::cerr << e.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& e)
    {
        std::cerr << "cowslippassd: " << e.what() << '\n';
        return exit_usage;
    }
}
