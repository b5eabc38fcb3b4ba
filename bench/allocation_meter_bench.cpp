#include "bench/allocation_meter.hpp"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::size_t allocated = 0;
std::uint64_t allocations = 0;

} // namespace

namespace cowslippass::bench
{

std::size_t get_allocated_bytes()
{
    return allocated;
}

std::uint64_t count_allocations()
{
    return allocations;
}

} // namespace cowslippass::bench

void* operator new(std::size_t size)
{
    void* memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    allocated += malloc_usable_size(memory);
    ++allocations;
    return memory;
}

void operator delete(void* memory) noexcept
{
    if (memory != nullptr)
        allocated -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}
