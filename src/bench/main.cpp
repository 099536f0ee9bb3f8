// Measurements. Each prints one line: name, value, unit, bound, baseline, seed and verdict.

#include <array>

#include "bench.h"
#include "peridotcleat/daemon.h"
#include "peridotcleat/settings.h"

namespace {

using namespace peridotcleat;
using namespace peridotcleat::bench;

const std::string usage = R"(Measures the parts of peridotcleat and prints one line for each figure.

Usage:
  peridotcleat-bench [options] [<subject>...]

Subjects: forward, table, control, flows, requests, scale. Without one, all are measured. "scale" measures how the cost of control grows with nodes, upstreams,
addresses and changes. The exit code is 1 if a figure misses its bound.

Options:
  --seed=N   Seed [default: 1].
  --help     Prints this text.
  --version  Prints the version.
)";

struct subject {
    const char* name;
    void (*run)(std::uint64_t seed);
};

constexpr std::array<subject, 6> subjects{{{"forward", bench_forward},
                                           {"table", bench_table},
                                           {"control", bench_control},
                                           {"flows", bench_flows},
                                           {"requests", bench_requests},
                                           {"scale", bench_scale}}};

int run(settings& s)
{
    const auto seed = static_cast<std::uint64_t>(s.integer("--seed", 0, INT64_MAX));
    if (!s.report()) {
        return 2;
    }
    // docopt gives the subjects as one list.
    std::string wanted = ',' + s.text("<subject>", false) + ',';
    const bool all = wanted == ",,";
    for (const subject& one : subjects) {
        const std::string name = std::string(one.name) + ',';
        if (const std::size_t at = wanted.find(',' + name); all || at != std::string::npos) {
            one.run(seed);
            wanted.erase(all ? wanted.size() : at + 1, name.size());
        }
    }
    if (!all && wanted != ",") {
        s.reject(error_code::invalid_setting, "<subject>", wanted, "a subject of --help");
        return s.report() ? 0 : 2;
    }
    return missed_bounds() == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) { return run_daemon(argc, argv, usage, "peridotcleat-bench", run); }
