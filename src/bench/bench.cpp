#include "bench.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iostream>

namespace peridotcleat::bench {

namespace {

int missed_count = 0;

}  // namespace

void print(const measurement& m, std::uint64_t seed)
{
    const bool within_bound = m.kind == bound_kind::none ||
                              (m.kind == bound_kind::at_most && m.value <= m.bound) ||
                              (m.kind == bound_kind::at_least && m.value >= m.bound);
    missed_count += within_bound ? 0 : 1;
    std::cout << "name=" << m.name << " value=" << m.value << " unit=" << m.unit << " bound=" << m.bound
              << " baseline=" << m.baseline << " seed=" << seed
              << " verdict=" << (within_bound ? "pass" : "fail")
              << std::endl;  // NOLINT(performance-avoid-endl): printed lines must not be lost if a later
                             // subject crashes
}

int missed_bounds() noexcept { return missed_count; }

line_fit fit(const std::vector<std::pair<double, double>>& points)
{
    double mean_x = 0;
    double mean_y = 0;
    for (const auto& [x, y] : points) {
        mean_x += x / static_cast<double>(points.size());
        mean_y += y / static_cast<double>(points.size());
    }
    double xy = 0;
    double xx = 0;
    for (const auto& [x, y] : points) {
        xy += (x - mean_x) * (y - mean_y);
        xx += (x - mean_x) * (x - mean_x);
    }
    line_fit line{xy / xx, mean_y - xy / xx * mean_x, 0};
    for (const auto& [x, y] : points) {
        line.residual = std::max(line.residual, std::abs(y - line.intercept - line.slope * x));
    }
    return line;
}

double cpu_us()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) * 1e-3;
}

double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace peridotcleat::bench
