#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "systems/systems.hpp"

#include <iostream>

/// Applies two operator commands to a fleet state in memory and prints the
/// teams. Uses each of the three installed libraries (core, systems, drivers),
/// so that a header or dependency missing from the package fails the build.
int main()
try
{
    using namespace cowslippass;
    fleet_state state;
    for (const char* text : {"create team prints share 2 limit 40",
             "create pool previews max-unavailable 2"})
    {
        auto change = std::get<change_command>(parse_command(text));
        config_version next(state.get_version().get() + 1);
        state.apply(next, plan(state, change));
    }
    query_engine engine(state);
    auto query = std::get<query_command>(parse_command("show teams"));
    std::cout << format_table(engine.run(query));
    metrics_registry metrics(get_entry_metrics());
    metrics.set("cowslippass_config_version",
        static_cast<double>(state.get_version().get()));
    tcp::endpoint entry = parse_endpoint("127.0.0.1:8000");
    std::cout << "entry " << format_endpoint(entry) << '\n';
    return state.get_teams().size() == 1 ? 0 : 1;
}
catch (const cowslippass::error& e)
{
    std::cerr << e.get_code() << ": " << e.what() << '\n';
    return 1;
}
