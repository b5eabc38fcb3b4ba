#pragma once

#include <cstddef>
#include <cstdint>

namespace cowslippass::bench
{

/// @return bytes that the program holds from operator new, as the allocator
///   rounds them up.
std::size_t get_allocated_bytes();

/// @return how often the program has called operator new.
std::uint64_t count_allocations();

} // namespace cowslippass::bench
