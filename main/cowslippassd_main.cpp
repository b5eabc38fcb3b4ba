#include "main/entry_process.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "TOML file with the settings of this entry");
DEFINE_bool(check, false, "check the settings file and exit");
DECLARE_bool(help);

namespace
{

constexpr const char* usage =
    "the daemon of an entry instance of cowslippass.\n\n"
    "  cowslippassd --settings=FILE          run until SIGTERM\n"
    "  cowslippassd --settings=FILE --check  check the settings and exit\n\n"
    "It prints 'http IP:port' and 'peer IP:port' once it listens, and logs\n"
    "JSON lines to standard error or to the file named in the settings.\n"
    "SIGTERM makes a planned stop: the entry turns unready, hands over and\n"
    "exits with status 0. A second SIGTERM ends it at once with status 1.\n"
    "Settings are described in docs/configuration.md.";

int run(const std::string& path)
{
    using namespace cowslippass;
    settings config = load_settings(path);
    if (FLAGS_check)
    {
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    return run_entry_process(std::move(config), fresh_start_policy());
}

} // namespace

int main(int argc, char** argv)
{
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
        return 2;
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
        return 2;
    }
    catch (const std::exception& e)
    {
        std::cerr << "cowslippassd: " << e.what() << '\n';
        return 2;
    }
}
