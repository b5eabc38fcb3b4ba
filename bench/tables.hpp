#pragma once

#include "bench/scenarios.hpp"

#include <ostream>

namespace cowslippass::bench
{

void write_introduction(std::ostream& out);

/// The chosen strategy against each baseline.
void write_strategies(std::ostream& out, const scenario& plan, int seeds);

/// Work done with and without the mechanism against each fault.
void write_faults(std::ostream& out);

/// How much of the urgent work a rack failure hits.
void write_racks(std::ostream& out);

/// Three ways to divide placement inside a data centre.
void write_divisions(std::ostream& out);

} // namespace cowslippass::bench
