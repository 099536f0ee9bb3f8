#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotcleat::bench {

/// How a value compares with its bound.
enum class bound_kind : std::uint8_t { at_most, at_least, none };

/// One measurement. `baseline` is the figure of a simpler way in the same run, 0 if there is none.
struct measurement {
    std::string_view name;
    double value = 0;
    std::string_view unit;
    double bound = 0;
    double baseline = 0;
    bound_kind kind = bound_kind::at_most;
};

/// Prints one line. Misses of bounds are counted for the exit code.
void print(const measurement& m, std::uint64_t seed);

/// Number of bounds that were missed so far.
int missed_bounds() noexcept;

/// A line through points by least squares.
struct line_fit {
    double slope = 0;
    double constant = 0;
    /// Largest distance of a point from the line, in the unit of the points.
    double residual = 0;
};

/// Fits a line through points (x, y) with at least two different x.
line_fit fit(const std::vector<std::pair<double, double>>& points);

/// CPU time of the process so far, in microseconds.
double cpu_us();

/// Bytes that the heap holds now.
double heap_bytes();

/// Measurements by subject; each prints its lines.
void bench_forward(std::uint64_t seed);
void bench_table(std::uint64_t seed);
void bench_control(std::uint64_t seed);
void bench_scale(std::uint64_t seed);
void bench_flows(std::uint64_t seed);
void bench_requests(std::uint64_t seed);

}  // namespace peridotcleat::bench
