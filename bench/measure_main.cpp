#include "bench/scenarios.hpp"
#include "bench/tables.hpp"

#include <cstring>
#include <iostream>

/// Writes every table of docs/measurements.md to the standard output.
/// `measure quick` leaves out the design size.
int main(int argc, char** argv)
{
    using namespace cowslippass::bench;
    bool is_quick = argc > 1 && std::strcmp(argv[1], "quick") == 0;
    write_introduction(std::cout);
    write_strategies(std::cout, make_serrano(), 5);
    write_strategies(std::cout, make_resztka(), 5);
    if (!is_quick)
        write_strategies(std::cout, make_design_size(), 1);
    write_faults(std::cout);
    write_racks(std::cout);
    write_divisions(std::cout);
    return 0;
}
