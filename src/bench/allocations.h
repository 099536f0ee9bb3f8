#pragma once

#include <cstdint>

namespace peridotcleat::bench {

/// Returns how often the program has called `operator new` since its start, over all threads.
std::uint64_t allocation_count() noexcept;

}  // namespace peridotcleat::bench
