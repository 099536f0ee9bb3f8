#include "bench.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iostream>

namespace peridotcleat::bench {

namespace {

int missed = 0;

}  // namespace

void print(const measurement& m, std::uint64_t seed)
{
    const bool good = m.kind == bound_kind::none || (m.kind == bound_kind::at_most && m.value <= m.bound) ||
                      (m.kind == bound_kind::at_least && m.value >= m.bound);
    missed += good ? 0 : 1;
    std::cout
        << "name=" << m.name << " value=" << m.value << " unit=" << m.unit << " bound=" << m.bound
        << " baseline=" << m.baseline << " seed=" << seed << " verdict=" << (good ? "pass" : "fail")
        << std::endl;  // NOLINT(performance-avoid-endl): lines must not be lost if a later subject fails
}

int missed_bounds() noexcept { return missed; }

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
    line_fit f{xy / xx, mean_y - xy / xx * mean_x, 0};
    for (const auto& [x, y] : points) {
        f.residual = std::max(f.residual, std::abs(y - f.constant - f.slope * x));
    }
    return f;
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
