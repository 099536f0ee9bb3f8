#include "bench/allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

void* allocate(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    // The replaced operators must not call themselves.
    // NOLINTNEXTLINE(cppcoreguidelines-no-malloc)
    void* p = std::malloc(size == 0 ? 1 : size);
    if (p == nullptr) {
        throw std::bad_alloc();
    }
    return p;
}

}  // namespace

// The array and nothrow forms of the standard library call these.
void* operator new(std::size_t size) { return allocate(size); }
void operator delete(void* p) noexcept { std::free(p); }               // NOLINT(cppcoreguidelines-no-malloc)
void operator delete(void* p, std::size_t) noexcept { std::free(p); }  // NOLINT(cppcoreguidelines-no-malloc)

namespace peridotcleat::bench {

std::uint64_t allocation_count() noexcept { return allocations.load(std::memory_order_relaxed); }

}  // namespace peridotcleat::bench
