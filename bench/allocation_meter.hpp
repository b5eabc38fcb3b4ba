#pragma once

#include <cstddef>

namespace cowslippass::bench
{

/// @return bytes that the program holds from operator new, as the allocator
///   rounds them up.
std::size_t get_allocated_bytes();

} // namespace cowslippass::bench
