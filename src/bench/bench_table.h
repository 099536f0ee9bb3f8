#pragma once

#include <cstdint>

namespace peridotcleat::bench {

/// Measures table, copies and routes, and prints a line for each measurement.
void bench_table(std::uint64_t seed);

}  // namespace peridotcleat::bench
