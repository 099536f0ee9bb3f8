#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotcleat::bench {

/// How a value compares with its bound.
enum class bound_kind : std::uint8_t { at_most, at_least, none };

/// One measured figure with its bound. `baseline` is the figure that a simpler method gave in the same run, 0
/// if there is none.
struct measurement {
    std::string_view name;
    double value = 0;
    std::string_view unit;
    double bound = 0;
    double baseline = 0;
    bound_kind kind = bound_kind::at_most;
};

/// Prints `m` with its verdict as one line of key=value fields. Counts a value that misses its bound, for the
/// exit code.
void print(const measurement& m, std::uint64_t seed);

/// Returns the number of bounds that were missed so far.
int missed_bounds() noexcept;

/// Least-squares line through points: y = intercept + slope * x.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    /// Largest distance of a point from the line, in the unit of y.
    double residual = 0;
};

/// Fits a line by least squares through points (x, y), which must have at least two different x.
line_fit fit(const std::vector<std::pair<double, double>>& points);

/// Returns the CPU time that the process has used so far, in microseconds.
double cpu_us();

/// Returns the number of bytes that are allocated on the heap now.
double heap_bytes();

/// Measures one subject and prints a line for each figure.
void bench_forward(std::uint64_t seed);
void bench_table(std::uint64_t seed);
void bench_control(std::uint64_t seed);
void bench_scale(std::uint64_t seed);
void bench_flows(std::uint64_t seed);
void bench_requests(std::uint64_t seed);

}  // namespace peridotcleat::bench
