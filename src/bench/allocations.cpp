#include "bench/allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

void* allocate(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    // malloc, because operator new must not call itself.
    // NOLINTNEXTLINE(cppcoreguidelines-no-malloc)
    void* p = std::malloc(size == 0 ? 1 : size);
    if (p == nullptr) {
        throw std::bad_alloc();
    }
    return p;
}

}  // namespace

// The standard library's array and nothrow forms call these operators, so that they are counted as well.
void* operator new(std::size_t size) { return allocate(size); }
void operator delete(void* p) noexcept { std::free(p); }               // NOLINT(cppcoreguidelines-no-malloc)
void operator delete(void* p, std::size_t) noexcept { std::free(p); }  // NOLINT(cppcoreguidelines-no-malloc)

namespace peridotcleat::bench {

std::uint64_t allocation_count() noexcept { return allocations.load(std::memory_order_relaxed); }

}  // namespace peridotcleat::bench
